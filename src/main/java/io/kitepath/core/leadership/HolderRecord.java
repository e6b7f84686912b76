package io.kitepath.core.leadership;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The stored record of a holder: of leadership, or of a role. Also the record of the highest
 * fencing token that was ever given out for one of them, which has that field only. Fields are
 * checked only when they are asked for, so that a record without those that this version does not
 * need still counts; each accessor throws {@link InvalidInputException} if its field is missing or
 * of the wrong type.
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

    /** Reads a record; throws {@link InvalidInputException} if it is no document at all. */
    public static HolderRecord fromRecord(Object value) {
        return new HolderRecord(DocumentReader.of(value));
    }

    /** The record with which {@code node}, the process of that incarnation, claims to hold. */
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

    /** The record of the highest fencing token that was ever given out. */
    public static Map<String, Object> toFencingTokenRecord(long fencingToken) {
        return Map.of(FENCING_TOKEN, fencingToken);
    }

    /**
     * The highest fencing token that was given out, from the record of it.
     *
     * <p>Guards against a role, or leadership, that nobody can claim any more as that record can't
     * be read. The revision takes its place then: each claim is a change of the store and raises
     * the token by one, or to one above a revision that was passed, so no token that the store gave
     * out is above the record's revision. Who claims also goes above every token that it has heard
     * of.
     */
    public static long highestFencingToken(Store.Entry entry) {
        try {
            return fromRecord(entry.value()).fencingToken();
        } catch (InvalidInputException invalid) {
            LOG.error(
                    "record {} is unreadable, its revision {} counts as the highest token: {}",
                    entry.key(),
                    entry.revision(),
                    invalid.getMessage());
            return entry.revision();
        }
    }

    /** The node that holds. */
    public String node() {
        return document.text(NODE);
    }

    /** The token it holds with, or the highest that was given out. */
    public long fencingToken() {
        return document.count(FENCING_TOKEN);
    }

    /** Whether the record names its lease; those of earlier versions don't. */
    public boolean hasLeaseId() {
        return document.has(LEASE_ID);
    }

    /** The lease that the record hangs on. */
    public long leaseId() {
        return document.count(LEASE_ID);
    }

    /** Whether this very process wrote it, under that lease. */
    public boolean isWrittenBy(Incarnation incarnation, long leaseId) {
        return document.textOr(PROCESS_ID, "").equals(incarnation.processId())
                && leaseId() == leaseId;
    }

    /** Whose record it is, as the process of that incarnation sees it. */
    public Incarnation.RecordOwner owner(Incarnation incarnation) {
        return incarnation.ownerOf(
                node(),
                document.numberOr(STARTED_AT_MILLIS, 0, 0),
                document.textOr(PROCESS_ID, ""));
    }
}
