package io.kitepath.core.leadership;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The stored record of the leader or of a role holder. Also the record of the highest fencing token
 * that was ever issued for leadership or a role, which has only that field. Fields are validated
 * only on access, so that a record without fields that this version does not need is still valid;
 * each accessor throws {@link InvalidInputException} if its field is missing or of the wrong type.
 */
public final class HolderRecord {
    private static final Logger LOG = LoggerFactory.getLogger(HolderRecord.class);

    private static final String NODE = "node";
    private static final String FENCING_TOKEN = "token";
    private static final String LEASE_ID = "lease";
    private static final String STARTED_AT_MILLIS = "since";
    private static final String PROCESS_ID = "life";

    private final DocumentReader document;

    private HolderRecord(DocumentReader document) {
        this.document = document;
    }

    /**
     * Reads a record.
     *
     * @throws InvalidInputException if the value is not a document
     */
    public static HolderRecord fromRecord(Object value) {
        return new HolderRecord(DocumentReader.of(value));
    }

    /**
     * Returns the record with which the process of {@code incarnation} on {@code node} claims
     * leadership or a role.
     */
    public static Map<String, Object> toRecord(
            String node, long fencingToken, long leaseId, Incarnation incarnation) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put(NODE, node);
        record.put(FENCING_TOKEN, fencingToken);
        record.put(LEASE_ID, leaseId);
        record.put(STARTED_AT_MILLIS, incarnation.startedAtMillis());
        record.put(PROCESS_ID, incarnation.processId());
        return record;
    }

    /** Returns the record of the highest fencing token that was ever issued. */
    public static Map<String, Object> toFencingTokenRecord(long fencingToken) {
        return Map.of(FENCING_TOKEN, fencingToken);
    }

    /**
     * Returns the highest fencing token that was issued, from its record.
     *
     * <p>Guards against leadership or a role that can no longer be claimed because this record is
     * unreadable. The record's revision is used instead: each claim changes the store and raises
     * the token by one, or to one above an earlier revision, so no issued token is above the
     * record's revision. A claimant also uses a token above all that are known to it.
     */
    public static long highestFencingToken(Store.Entry entry) {
        try {
            return fromRecord(entry.value()).fencingToken();
        } catch (InvalidInputException invalid) {
            LOG.error(
                    "fencing token record is unreadable, using its revision as highest token:"
                            + " key={} revision={} cause={}",
                    entry.key(),
                    entry.revision(),
                    invalid.getMessage());
            return entry.revision();
        }
    }

    /** Returns the node that is the leader or role holder. */
    public String node() {
        return document.text(NODE);
    }

    /** Returns the holder's fencing token, or the highest that was issued. */
    public long fencingToken() {
        return document.count(FENCING_TOKEN);
    }

    /** Whether the record contains its lease; records of earlier versions do not. */
    public boolean hasLeaseId() {
        return document.has(LEASE_ID);
    }

    /** Returns the lease to which the record is attached. */
    public long leaseId() {
        return document.count(LEASE_ID);
    }

    /** Whether the process of that incarnation wrote the record, under that lease. */
    public boolean isWrittenBy(Incarnation incarnation, long leaseId) {
        return document.textOr(PROCESS_ID, "").equals(incarnation.processId())
                && leaseId() == leaseId;
    }

    /** Returns whose record it is, from the point of view of the process of that incarnation. */
    public Incarnation.RecordOwner owner(Incarnation incarnation) {
        return incarnation.ownerOf(
                node(),
                document.numberOr(STARTED_AT_MILLIS, 0, 0),
                document.textOr(PROCESS_ID, ""));
    }
}
