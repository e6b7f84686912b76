package io.kitepath.core.state;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Store.Condition;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.JobDependencies;
import io.kitepath.core.shard.ShardState;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Which jobs a {@link CancellationVerifier} compares with the store, and how often. Jobs of other
 * cells are excluded: their home cell cancels them and waits for this cell's response before it
 * reports the cancellation.
 *
 * @param conditions the conditions that hold while none of the jobs was cancelled unnoticed
 * @param maxAgeSeconds how old the last verification may become
 * @param requestRate limits the requests, if they are limited
 */
record VerificationScope(
        Supplier<Stream<Condition>> conditions,
        double maxAgeSeconds,
        Optional<TokenBucket> requestRate) {
    /** Share of the store's request rate for the comparison of dependencies. */
    private static final double DEPENDENCIES_RATE_SHARE = 0.2;

    /** The jobs that may have a task on a machine. */
    static VerificationScope jobsWithTasks(ShardState shard) {
        return new VerificationScope(
                () ->
                        shard.jobs().values().stream()
                                .filter(job -> !job.isFinished() && !job.isBorrowed)
                                .filter(job -> !job.liveAttempts().isEmpty())
                                .map(VerificationScope::isOpen),
                shard.settings().workers().cancellationStalenessSeconds(),
                Optional.empty());
    }

    /** The jobs that others wait for. */
    static VerificationScope dependencies(ShardState shard) {
        ClusterSettings settings = shard.settings();
        JobDependencies dependencies = shard.jobDependencies();
        return new VerificationScope(
                () ->
                        Stream.concat(
                                dependencies.openDependencies().stream()
                                        .map(VerificationScope::isOpen),
                                dependencies.notEndedDependencies().stream()
                                        .map(id -> new Condition(StoreKeys.ENDED_JOBS + id, 0))),
                settings.workers().dependencyStalenessSeconds(),
                Optional.of(
                        new TokenBucket(
                                settings.store().requestsPerSecond() * DEPENDENCIES_RATE_SHARE)));
    }

    private static Condition isOpen(Job job) {
        return new Condition(job.recordKey, job.revision());
    }
}
