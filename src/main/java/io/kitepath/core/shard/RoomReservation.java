package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;

/**
 * For which job a machine's room is reserved, and how strictly. A strict reservation holds room for
 * which other work is being stopped. One that allows backfill waits for other work to end by
 * itself: preemptible work, or work that ends before the reservation starts, may run meanwhile.
 * Guards against machines that idle for minutes because a gang waits for the last of those that it
 * needs. Times are seconds on the steady clock.
 */
final class RoomReservation {
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

    /** Ends the reservation, as the jobs are loaded anew. */
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

    /** Whether the job would by its estimate end before the reservation starts. */
    boolean mayBackfill(Job job, double now) {
        return job.spec.shape() != JobSpec.Shape.SERVICE
                && now + job.spec.estimatedSeconds() <= startsAt;
    }

    /**
     * At the start of a scheduling round: reservations that allow backfill are decided anew, and
     * strict ones end when their time is over or their job has nothing to place any more.
     */
    void refresh(double now) {
        if (backfillAllowed
                || now >= reservedUntil
                || reservedFor != null && reservedFor.waitingTasks() == 0) {
            clear();
        }
    }
}
