package io.kitepath.core.scheduling;

import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks machines on which work was evicted for small tasks without reserving the machines for
 * them: jobs served after the small tasks may use the remaining capacity. Only a promoted job is
 * served before the small tasks, and it must not take the promised capacity.
 */
final class CapacityPromises {
    /**
     * A promise of freed capacity.
     *
     * @param job the job for which work was evicted
     * @param untilSeconds the time until which the job can be expected to take the capacity, in
     *     seconds on the steady clock
     */
    private record Promise(Job job, double untilSeconds) {}

    private final Map<Machine, Promise> promises = new IdentityHashMap<>();

    private Optional<Job> promotedJob = Optional.empty();

    /**
     * Removes promises that have expired or whose job has no waiting tasks.
     *
     * @param promoted the job that is served first in this scheduling round regardless of its rank,
     *     if there is one
     */
    void beginRound(Optional<Job> promoted, double now) {
        promotedJob = promoted;
        promises.values()
                .removeIf(promise -> now >= promise.untilSeconds || !hasWaitingTasks(promise.job));
    }

    private static boolean hasWaitingTasks(Job job) {
        return !job.isFinished() && job.waitingTasks() > 0;
    }

    /** Records that work on the machine was evicted for the job. */
    void promise(Machine machine, Job job, double untilSeconds) {
        promises.put(machine, new Promise(job, untilSeconds));
    }

    /**
     * Whether the machine's capacity is withheld from the job because it is promised to another
     * one. Guards against an endless cycle: a promoted job takes the capacity, the evicted work
     * preempts it in turn, and is evicted again.
     */
    boolean isWithheldFrom(Job job, Machine machine) {
        if (promotedJob.isEmpty() || promotedJob.get() != job) {
            return false;
        }
        Promise promise = promises.get(machine);
        return promise != null
                && promise.job != job
                && promise.job.queueRank() < job.queueRank()
                && hasWaitingTasks(promise.job);
    }
}
