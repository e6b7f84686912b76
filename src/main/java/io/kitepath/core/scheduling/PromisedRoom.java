package io.kitepath.core.scheduling;

import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Machines on which work was evicted for small tasks, for which they are not reserved: whoever is
 * served after the small tasks may use what they leave. Only a promoted job is served before them,
 * and must not take that room.
 */
final class PromisedRoom {
    /**
     * The job that work was evicted for, and until when it can be expected to take the room, in
     * seconds on the steady clock.
     */
    private record Promise(Job job, double until) {}

    private final Map<Machine, Promise> promises = new IdentityHashMap<>();

    private Optional<Job> promotedJob = Optional.empty();

    /**
     * Forgets promises that are over.
     *
     * @param promoted the job that is served first in this round whatever its rank, if there is one
     */
    void beginRound(Optional<Job> promoted, double now) {
        promotedJob = promoted;
        promises.values().removeIf(promise -> now >= promise.until || !waits(promise.job));
    }

    private static boolean waits(Job job) {
        return !job.isFinished() && job.waitingTasks() > 0;
    }

    /** Work on the machine was evicted for the job. */
    void promise(Machine machine, Job job, double until) {
        promises.put(machine, new Promise(job, until));
    }

    /**
     * Whether the job leaves the machine to another. Guards against a promoted job that takes the
     * room, for which the evicted work stops it in turn, and is evicted again, without end.
     */
    boolean isKeptFrom(Job job, Machine machine) {
        if (promotedJob.isEmpty() || promotedJob.get() != job) {
            return false;
        }
        Promise promise = promises.get(machine);
        return promise != null
                && promise.job != job
                && promise.job.queueRank() < job.queueRank()
                && waits(promise.job);
    }
}
