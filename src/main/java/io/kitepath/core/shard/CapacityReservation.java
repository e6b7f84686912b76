package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;

/**
 * The job for which a machine's capacity is reserved, and how strictly. A strict reservation holds
 * capacity for which other work is being stopped. A reservation that allows backfill waits for
 * other work to end by itself: preemptible work, or work that ends before the reservation starts,
 * may run in the meantime. Guards against machines that are idle for minutes because a gang waits
 * for the last of the machines that it needs. Times are seconds on the steady clock.
 */
final class CapacityReservation {
    /** Null while nothing is reserved. */
    private Job reservedFor;

    /** End of a strict reservation. */
    private double reservedUntil;

    private boolean backfillAllowed;

    /** Start of a reservation that allows backfill. */
    private double startsAt;

    void reserve(Job job, double until) {
        reservedFor = job;
        backfillAllowed = false;
        reservedUntil = until;
    }

    void reserveAllowingBackfill(Job job, double from) {
        reservedFor = job;
        backfillAllowed = true;
        startsAt = from;
    }

    /** Ends the reservation. */
    void clear() {
        reservedFor = null;
        backfillAllowed = false;
    }

    /** Null while nothing is reserved. */
    Job reservedFor() {
        return reservedFor;
    }

    boolean isBackfillAllowed() {
        return backfillAllowed;
    }

    /** Whether, by its estimate, the job would end before the reservation starts. */
    boolean mayBackfill(Job job, double now) {
        return job.spec.shape() != JobSpec.Shape.SERVICE
                && now + job.spec.estimatedSeconds() <= startsAt;
    }

    /**
     * Refreshes the reservation at the start of a scheduling round: one that allows backfill ends
     * and is decided again; a strict one ends when its time has passed or its job has no tasks to
     * place any more.
     */
    void refresh(double now) {
        if (backfillAllowed
                || now >= reservedUntil
                || reservedFor != null && reservedFor.waitingTasks() == 0) {
            clear();
        }
    }
}
