package io.kitepath.core.role;

import io.kitepath.core.leadership.Incarnation;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The stored record of a role's holder, or of the highest fencing token that was given out for a
 * role, which has that field only. Fields are checked only when they are asked for, so that a
 * record without those that this version does not need still counts; each accessor throws {@link
 * InvalidInputException} if its field is missing or of the wrong type.
 */
final class RoleRecord {
    private static final String NODE = "node";
    private static final String FENCING_TOKEN = "token";
    private static final String LEASE_ID = "lease";
    private static final String STARTED_AT_MILLIS = "since";
    private static final String PROCESS_ID = "life";

    private final DocumentReader document;

    private RoleRecord(DocumentReader document) {
        this.document = document;
    }

    /** Reads a record; throws {@link InvalidInputException} if it is no document at all. */
    static RoleRecord fromRecord(Object value) {
        return new RoleRecord(DocumentReader.of(value));
    }

    /** The record with which {@code node}, the process of that incarnation, claims a role. */
    static Map<String, Object> toRecord(
            String node, long fencingToken, long leaseId, Incarnation incarnation) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put(NODE, node);
        record.put(FENCING_TOKEN, fencingToken);
        record.put(LEASE_ID, leaseId);
        record.put(STARTED_AT_MILLIS, incarnation.startedAtMillis());
        record.put(PROCESS_ID, incarnation.processId());
        return record;
    }

    /** The record of the highest fencing token that was ever given out for a role. */
    static Map<String, Object> toFencingTokenRecord(long fencingToken) {
        return Map.of(FENCING_TOKEN, fencingToken);
    }

    String node() {
        return document.text(NODE);
    }

    long fencingToken() {
        return document.count(FENCING_TOKEN);
    }

    long leaseId() {
        return document.count(LEASE_ID);
    }

    /** Whether this very process wrote it, under that lease. */
    boolean isWrittenBy(Incarnation incarnation, long leaseId) {
        return document.textOr(PROCESS_ID, "").equals(incarnation.processId())
                && leaseId() == leaseId;
    }

    /** Whether an earlier process of this node wrote it, which will not renew its lease. */
    boolean isAbandoned(Incarnation incarnation) {
        return incarnation.ownerOf(
                        node(),
                        document.numberOr(STARTED_AT_MILLIS, 0, 0),
                        document.textOr(PROCESS_ID, ""))
                == Incarnation.RecordOwner.ABANDONED;
    }
}
