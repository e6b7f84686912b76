package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accounts for attempts from their placement until they are confirmed ended. An attempt counts
 * against its team's quota and its machine's capacity until its end is confirmed, even if it has
 * probably ended earlier.
 */
final class AttemptLedger {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptLedger.class);

    private final ClusterSettings settings;
    private final QuotaUsage quotaUsage;
    private final FailureDiagnosis failureDiagnosis;
    private final PendingWrites writes;
    private final SchedulingSignal signal;
    private final GangRestarts gangRestarts;
    private long endedCount;
    private long lostCount;

    AttemptLedger(
            ClusterSettings settings,
            MachineRegistry machines,
            QuotaUsage quotaUsage,
            FailureDiagnosis failureDiagnosis,
            PendingWrites writes,
            SchedulingSignal signal) {
        this.settings = settings;
        this.quotaUsage = quotaUsage;
        this.failureDiagnosis = failureDiagnosis;
        this.writes = writes;
        this.signal = signal;
        this.gangRestarts = new GangRestarts(settings, machines, attempt -> stop(attempt, 0));
    }

    /** The number of attempts that are confirmed ended. */
    long endedCount() {
        return endedCount;
    }

    /** The number of these that were lost with their machine or its agent's incarnation. */
    long lostCount() {
        return lostCount;
    }

    // ---- placing ------------------------------------------------------------------------------

    /** Adds the attempt to the accounts of its job, its machine and its team. */
    void add(Attempt attempt) {
        attempt.job.addLiveAttempt(attempt);
        attempt.machine.addAttempt(attempt);
        quotaUsage.countAttempts(attempt.job.spec, 1);
        attempt.job.stoppingAttemptCount += attempt.isStopping() ? 1 : 0;
    }

    /** Places a waiting task on a machine, where it starts once the placement is stored. */
    void place(Job job, int task, Machine machine, double now) {
        JobPart part = job.markPlacementDirty(task);
        writes.dirtyParts().addPlacement(part);
        add(new Attempt(job, task, job.nextAttempt, machine, now, job.version()));
        job.timeline.recordPlacement(now);
        LOG.debug(
                "attempt placed: job={} task={} number={} machine={}",
                job.spec.id(),
                task,
                job.nextAttempt,
                machine.id);
    }

    /** Restores an attempt that is or may be on the machine according to the job's record. */
    void restore(Job job, int task, long number, Machine machine, double now) {
        Attempt attempt = new Attempt(job, task, number, machine, now, 0);
        attempt.isDurable = true;
        attempt.mayBeLaunched = true;
        add(attempt);
        job.nextAttempt = Math.max(job.nextAttempt, number + 1);
    }

    /**
     * Adds an attempt that an agent reports although it was not placed there. It is stopped, and
     * counts until it is confirmed ended.
     */
    void addUnexpected(
            Job job, int task, long number, TaskState state, Machine machine, double now) {
        LOG.error(
                "unexpected attempt reported: machine={} job={} task={}",
                machine.id,
                job.spec.id(),
                task);
        writes.dirtyParts().addChange(job.markDirty(task));
        Attempt attempt = new Attempt(job, task, number, machine, now, job.version());
        attempt.isDurable = true;
        attempt.mayBeLaunched = true;
        attempt.isSeen = true;
        attempt.state = state;
        attempt.stopGraceSeconds = 0;
        job.nextAttempt = Math.max(job.nextAttempt, number + 1);
        add(attempt);
    }

    // ---- stopping -----------------------------------------------------------------------------

    /**
     * Requests that the attempt is stopped, with the shortest grace period requested so far. An
     * attempt whose placement is not known to be stored was never launched and is withdrawn.
     */
    void stop(Attempt attempt, double graceSeconds) {
        if (attempt.isEnded) {
            return;
        }
        if (!attempt.isDurable) {
            withdraw(attempt);
            return;
        }
        if (!attempt.isStopping()) {
            attempt.job.stoppingAttemptCount++;
            attempt.stopGraceSeconds = graceSeconds;
        }
        attempt.stopGraceSeconds = Math.min(attempt.stopGraceSeconds, graceSeconds);
    }

    /**
     * Withdraws a placement that is not known to be stored, so it was never launched. Its write may
     * nonetheless be in progress, so the part is marked as changed.
     */
    void withdraw(Attempt attempt) {
        LOG.debug("placement withdrawn, commit not confirmed: attempt={}", attempt);
        quotaUsage.countAttempts(attempt.job.spec, -1);
        attempt.job.removeLiveAttempt(attempt);
        writes.dirtyParts().addChange(attempt.job.markDirty(attempt.task));
        attempt.job.stoppingAttemptCount -= attempt.isStopping() ? 1 : 0;
        attempt.machine.removeAttempt(attempt);
        signal.request();
    }

    // ---- ending -------------------------------------------------------------------------------

    /** Ends an attempt that was lost with its machine or its agent's incarnation. */
    void markLost(Attempt attempt, double now) {
        lostCount++;
        end(attempt, EndCause.STOPPED, now);
    }

    /**
     * Marks the attempt as confirmed ended. It remains among its machine's unwritten ends until the
     * end is stored.
     *
     * @param cause the cause reported by the agent; null counts as stopped
     */
    void end(Attempt attempt, EndCause cause, double now) {
        if (attempt.isEnded) {
            return;
        }
        Job job = attempt.job;
        quotaUsage.countAttempts(job.spec, -1);
        attempt.isEnded = true;
        attempt.state = TaskState.ENDED;
        job.removeLiveAttempt(attempt);
        job.stoppingAttemptCount -= attempt.isStopping() ? 1 : 0;
        endedCount++;
        signal.request();
        Machine machine = attempt.machine;
        machine.removeAttempt(attempt);
        if (attempt.isDurable) {
            machine.placedWork().addUncommittedEnd(attempt);
            job.unwrittenEnds.add(attempt);
        }
        if (!machine.isBusy()) {
            machine.setIdleSince(now);
        }
        if (!job.isFinished) {
            applyEndCause(attempt, cause == null ? EndCause.STOPPED : cause, now);
        }
        writes.dirtyParts().addChange(job.markDirty(attempt.task));
        attempt.endedVersion = job.version();
    }

    private void applyEndCause(Attempt attempt, EndCause cause, double now) {
        Job job = attempt.job;
        switch (cause) {
            case DONE -> complete(attempt);
            case ERROR -> failureDiagnosis.recordFailure(attempt, now);
            case INSUFFICIENT_RESOURCES, OTHER_ATTEMPT_PRESENT, UNKNOWN_TASK -> {
                LOG.info("attempt refused: attempt={} cause={}", attempt, cause);
                job.failureHistory.setNotBefore(
                        Math.max(
                                job.failureHistory.notBefore(),
                                now + settings.workers().heartbeatIntervalSeconds()));
            }
            default -> LOG.debug("attempt ended: attempt={} cause={}", attempt, cause);
        }
        if (job.spec.isGang() && cause != EndCause.DONE) {
            gangRestarts.onTaskLost(attempt, cause, now);
        }
    }

    private void complete(Attempt attempt) {
        Job job = attempt.job;
        failureDiagnosis.recordSuccess(attempt);
        if (job.spec.shape() == JobSpec.Shape.SERVICE) {
            return;
        }
        if (job.spec.isGang()) {
            // The tasks of a gang complete together.
            job.markAllDone();
            writes.markAllPartsDirty(job);
        } else {
            job.markDone(attempt.task);
        }
    }

    /** See {@link GangRestarts#restartOnceImagesFetched}. */
    void restartGangOnceImagesFetched(Job job) {
        gangRestarts.restartOnceImagesFetched(job);
    }
}
