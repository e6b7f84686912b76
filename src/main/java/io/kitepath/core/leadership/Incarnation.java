package io.kitepath.core.leadership;

import java.util.Random;

/**
 * Which of the processes that ran, or run, under a node's name this one is. A node may be back a
 * fraction of a second after it ended, before anybody has seen it silent; it has forgotten
 * everything, and what it held is still held in its name. Whoever finds a record of an earlier
 * process of its own name knows that nobody stands behind it: what that one sent may still arrive,
 * and falls on its token and revisions.
 *
 * <p>Two processes under one name (an operator's mistake, or one that stood still, was replaced and
 * goes on) are in a total order by their start. Only the later ever ends what the earlier holds, so
 * they can't end each other's leases in turns for ever; the earlier one stands back.
 */
public final class Incarnation {
    /** What a record that names a holder says about us. */
    public enum Holder {
        /** Another node, or this very process. */
        OTHER_NODE,
        /** An earlier process of this node, which is gone, or to be replaced. */
        ABANDONED,
        /** A later process under our name. */
        LATER_PROCESS
    }

    private final String node;
    private final double startedAtMillis;
    private final String processId;

    /** {@code sinceMs}: the time of day at which the process started, in milliseconds. */
    public Incarnation(String node, double sinceMs, Random random) {
        this.node = node;
        this.startedAtMillis = sinceMs;
        this.processId = Long.toHexString(random.nextLong());
    }

    /** When the process started, in milliseconds by its time of day. */
    public double startedAtMillis() {
        return startedAtMillis;
    }

    /** Tells it from every other process, also of its own name. */
    public String processId() {
        return processId;
    }

    /**
     * Whose a record is.
     *
     * @param holder the node that it names
     * @param since when that process started; 0 if the record does not say, as those of earlier
     *     versions
     * @param itsLife as of {@link #processId}; empty if the record does not say
     */
    public Holder ownerOf(String holder, double since, String itsLife) {
        if (!holder.equals(node)) {
            return Holder.OTHER_NODE;
        }
        if (itsLife.equals(processId)) {
            // Our own claim, whose answer we did not get and which we gave up.
            return Holder.ABANDONED;
        }
        // Without a word on its start it is of an earlier version, so was there before this
        // process. Of two that started in the same millisecond, as far as their clocks can tell,
        // chance has the say.
        boolean later =
                since > startedAtMillis
                        || since == startedAtMillis && itsLife.compareTo(processId) > 0;
        return later ? Holder.LATER_PROCESS : Holder.ABANDONED;
    }
}
