package io.kitepath.core.leadership;

import java.util.Random;

/**
 * Distinguishes this process from all others that ran, or run, under the node's name. A node may
 * restart within a fraction of a second, before any peer has detected its silence. It has lost its
 * in-memory state, and the leases of its earlier process are still held under its name. A process
 * that finds a record of an earlier process of its own name knows that the record is no longer in
 * use: requests which the earlier process sent may still arrive, but are fenced off by token and
 * revisions.
 *
 * <p>Two processes under one name (an operator's mistake, or a process that was suspended, replaced
 * and resumed) are totally ordered by their start. Only the later process revokes leases of the
 * earlier one, so that they cannot revoke each other's leases forever; the earlier one steps down.
 */
public final class Incarnation {
    /** Relation of a leader's or role holder's record to this process. */
    public enum RecordOwner {
        /** The record belongs to another node. */
        OTHER_NODE,

        /**
         * The record belongs to this node and is not in use: it was written by an earlier process,
         * which is gone or to be replaced, or by this process for a claim that it gave up.
         */
        ABANDONED,

        /** The record belongs to a later process under this node's name. */
        LATER_PROCESS
    }

    private final String node;
    private final double startedAtMillis;
    private final String processId;

    /**
     * Creates the incarnation of this process; draws one number from {@code random}.
     *
     * @param node the node's name
     * @param startedAtMillis when this process started, in milliseconds since 1970
     */
    public Incarnation(String node, double startedAtMillis, Random random) {
        this.node = node;
        this.startedAtMillis = startedAtMillis;
        this.processId = Long.toHexString(random.nextLong());
    }

    /** Returns when this process started, in milliseconds since 1970 by its own clock. */
    public double startedAtMillis() {
        return startedAtMillis;
    }

    /**
     * Returns a random id that distinguishes this process from every other one, including those of
     * the same node name.
     */
    public String processId() {
        return processId;
    }

    /**
     * Returns whose record it is.
     *
     * @param recordNode the node in the record
     * @param recordStartedAtMillis when the process that wrote it started, in milliseconds since
     *     1970; 0 if the record does not contain it, as in earlier versions
     * @param recordProcessId the {@link #processId} of that process; empty if the record does not
     *     contain it
     */
    public RecordOwner ownerOf(
            String recordNode, double recordStartedAtMillis, String recordProcessId) {
        if (!recordNode.equals(node)) {
            return RecordOwner.OTHER_NODE;
        }
        if (recordProcessId.equals(processId)) {
            // A claim of this process that got no response and was given up.
            return RecordOwner.ABANDONED;
        }
        // A record without a start time was written by an earlier version, so before this process
        // started. If both started in the same millisecond by their clocks, the random ids decide.
        boolean isLater =
                recordStartedAtMillis > startedAtMillis
                        || recordStartedAtMillis == startedAtMillis
                                && recordProcessId.compareTo(processId) > 0;
        return isLater ? RecordOwner.LATER_PROCESS : RecordOwner.ABANDONED;
    }
}
