package io.kitepath.core.shard;

/**
 * The rental state of a machine as known from its rental and the cloud: since when it exists,
 * whether the cloud lists it, and when the cloud interrupts it. Times are seconds on the steady
 * clock.
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

    /** When its boot began if that is known, otherwise when it became known. */
    double knownSince() {
        return knownSince;
    }

    void setKnownSince(double since) {
        knownSince = since;
    }

    /**
     * Records the start of its boot, known because this leader rented it or an earlier one recorded
     * the rental.
     */
    void recordBootStart(double startedAt) {
        bootStartKnown = true;
        knownSince = startedAt;
    }

    boolean isBootStartKnown() {
        return bootStartKnown;
    }

    void markListed() {
        listed = true;
    }

    /** Whether a list of the cloud has contained it. */
    boolean isListed() {
        return listed;
    }

    /** Records that the cloud will interrupt the machine at that time. */
    void setInterruption(double at) {
        interruptionAt = at;
    }

    /** Clears the interruption notice, as the agent reports none, or none any more. */
    void clearInterruption() {
        interruptionAt = Double.NaN;
    }

    boolean hasInterruptionNotice() {
        return !Double.isNaN(interruptionAt);
    }
}
