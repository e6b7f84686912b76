package io.kitepath.core.shard;

/**
 * What is known of a machine from its rental and the cloud: since when it exists, whether the cloud
 * lists it, and when the cloud takes it away. Times are seconds on the steady clock.
 */
final class MachineRental {
    private double knownSince;
    private boolean bootStartKnown;
    private boolean listed;

    /** NaN without an interruption notice. */
    private double interruptionAt = Double.NaN;

    MachineRental(double now) {
        knownSince = now;
    }

    /** When it was first heard of, or its boot began if that is known. */
    double knownSince() {
        return knownSince;
    }

    void setKnownSince(double since) {
        knownSince = since;
    }

    /** This leader rented it, or one that put the rental on record; its boot began then. */
    void recordBootStart(double at) {
        bootStartKnown = true;
        knownSince = at;
    }

    boolean isBootStartKnown() {
        return bootStartKnown;
    }

    void markListed() {
        listed = true;
    }

    /** Whether a list of the cloud has shown it. */
    boolean isListed() {
        return listed;
    }

    /** The cloud takes the machine away at that time. */
    void setInterruption(double at) {
        interruptionAt = at;
    }

    /** The agent reports no notice, or no more. */
    void clearInterruption() {
        interruptionAt = Double.NaN;
    }

    boolean hasInterruptionNotice() {
        return !Double.isNaN(interruptionAt);
    }
}
