package io.kitepath.core.leadership;

import java.util.Random;

/**
 * Tells this process from all others that ran, or run, under the node's name. A node may be back a
 * fraction of a second after it ended, before any peer has seen it silent. It has lost its memory,
 * and leases that its earlier process held are still held in its name. A process that finds a
 * record of an earlier one of its own name knows that nobody uses it any more: requests which that
 * one sent may still arrive, but are fenced off by token and revisions.
 *
 * <p>Two processes under one name (an operator's mistake, or one that was suspended, replaced and
 * resumed) are in a total order by their start. Only the later ever ends a lease of the earlier, so
 * that they can't end each other's leases in turns forever; the earlier one steps down.
 */
public final class Incarnation {
    /** What a record that names a holder says about this process. */
    public enum RecordOwner {
        /** Another node. */
        OTHER_NODE,

        /**
         * This node, and nobody uses it: it is of an earlier process, which is gone or to be
         * replaced, or a claim of this very process that it gave up.
         */
        ABANDONED,

        /** A later process under this node's name. */
        LATER_PROCESS
    }

    private final String node;
    private final double startedAtMillis;
    private final String processId;

    /**
     * Draws one number from {@code random}.
     *
     * @param node the node's name
     * @param startedAtMillis when this process started, in milliseconds since 1970
     */
    public Incarnation(String node, double startedAtMillis, Random random) {
        this.node = node;
        this.startedAtMillis = startedAtMillis;
        this.processId = Long.toHexString(random.nextLong());
    }

    /** When this process started, in milliseconds since 1970 by its own clock. */
    public double startedAtMillis() {
        return startedAtMillis;
    }

    /** Random; tells this process from every other one, also of its own name. */
    public String processId() {
        return processId;
    }

    /**
     * Whose a record is.
     *
     * @param recordNode the node that it names
     * @param recordStartedAtMillis when that process started; 0 if the record does not say, as
     *     those of earlier versions
     * @param recordProcessId that process's {@link #processId}; empty if the record does not say
     */
    public RecordOwner ownerOf(
            String recordNode, double recordStartedAtMillis, String recordProcessId) {
        if (!recordNode.equals(node)) {
            return RecordOwner.OTHER_NODE;
        }
        if (recordProcessId.equals(processId)) {
            // Our own claim, whose answer we did not get and which we gave up.
            return RecordOwner.ABANDONED;
        }
        // Without a start it was written by an earlier version, so before this process. Between two
        // that started in the same millisecond, as far as their clocks can tell, chance decides.
        boolean isLater =
                recordStartedAtMillis > startedAtMillis
                        || recordStartedAtMillis == startedAtMillis
                                && recordProcessId.compareTo(processId) > 0;
        return isLater ? RecordOwner.LATER_PROCESS : RecordOwner.ABANDONED;
    }
}
