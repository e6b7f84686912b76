package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Distinguishes machines on which tasks fail, which are quarantined, from jobs that fail because of
 * a fault of their own, by comparing which jobs fail on which machines. A job at fault may use few
 * resources: one task, or one gang, is retried at a time, with increasing back-off, and only in
 * capacity that is free anyway. A job that succeeded once, or that has run for longer than it took
 * to fail, is not at fault. Not thread-safe; belongs to the shard's thread.
 */
public final class FailureDiagnosis {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDiagnosis.class);

    /** Number of machines on which a job must fail before it is considered at fault. */
    private static final int MIN_FAILED_MACHINES = 3;

    /** Number of failures since its last success after which a machine is quarantined. */
    private static final int QUARANTINE_FAILURES = 2;

    /** Maximum number of times that the back-off between retries of a job at fault is doubled. */
    private static final int MAX_BACKOFF_DOUBLINGS = 8;

    /** Maximum back-off between retries of a job at fault, in lease durations. */
    private static final int MAX_BACKOFF_LEASES = 6;

    /**
     * A running task shows that its job is not at fault once it has run for this many times the
     * time that other tasks of the job took to fail.
     */
    private static final int HEALTHY_RUN_FACTOR = 2;

    private final ClusterSettings settings;
    private final Map<String, Machine> machines;

    /**
     * Creates a diagnosis without recorded failures.
     *
     * @param machines the machines by id; a live view that the caller keeps up to date
     */
    FailureDiagnosis(ClusterSettings settings, Map<String, Machine> machines) {
        this.settings = settings;
        this.machines = machines;
    }

    /** Records that the attempt completed its task. */
    void recordSuccess(Attempt attempt) {
        Job job = attempt.job;
        attempt.machine.failuresByJob().clear();
        if (job.failureHistory.recordSuccess()) {
            job.failureHistory.setNotBefore(0);
            // As the job is not at fault, the machines on which it failed may be.
            forEachFailedMachine(job, this::updateQuarantine);
        }
    }

    private void forEachFailedMachine(Job job, Consumer<Machine> action) {
        for (String id : job.failureHistory.failedMachines()) {
            Machine machine = machines.get(id);
            if (machine != null) {
                action.accept(machine);
            }
        }
    }

    /**
     * Removes the job's failures from the machines on which it failed: the job itself is at fault,
     * or the cause can no longer be determined.
     */
    void clearMachineFailures(Job job) {
        forEachFailedMachine(
                job,
                machine -> {
                    machine.failuresByJob().remove(job);
                    updateQuarantine(machine);
                });
    }

    /** Records that the attempt's task ended with an error. */
    void recordFailure(Attempt attempt, double now) {
        Job job = attempt.job;
        Machine machine = attempt.machine;
        LOG.info("attempt failed: attempt={}", attempt);
        job.failureHistory.recordFailure(attempt, now);
        machine.failuresByJob().merge(job, 1, Integer::sum);
        if (!isJobAtFault(job, now)) {
            updateQuarantine(machine);
            return;
        }
        clearMachineFailures(job);
        if (job.failureHistory.recordFailedRetry(attempt.number)) {
            backOff(job, now);
        }
    }

    private void backOff(Job job, double now) {
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, job.failureHistory.failedRetries());
        double backOffSeconds =
                Math.min(
                        settings.workers().heartbeatIntervalSeconds() * (1 << doublings),
                        MAX_BACKOFF_LEASES * settings.workers().leaseSeconds());
        job.failureHistory.setNotBefore(now + backOffSeconds);
        LOG.info(
                "job backed off after failures on several machines: job={} failures={}"
                        + " retryInSeconds={}",
                job.spec.id(),
                job.failureHistory.failureCount(),
                Math.round(backOffSeconds));
    }

    /**
     * Whether the job itself is considered at fault: it failed on several machines, never
     * succeeded, and no task of it has run for much longer than it took to fail. A healthy job that
     * was placed on several faulty machines is not backed off.
     */
    public boolean isJobAtFault(Job job, double now) {
        FailureHistory history = job.failureHistory;
        if (history.hasSucceeded() || history.failedMachines().size() < MIN_FAILED_MACHINES) {
            return false;
        }
        double healthyRunSeconds =
                HEALTHY_RUN_FACTOR
                        * (history.longestFailedRunSeconds()
                                + settings.workers().heartbeatIntervalSeconds());
        return job.liveAttempts.values().stream()
                .noneMatch(
                        attempt ->
                                attempt.state == Heartbeat.TaskState.RUNNING
                                        && now - attempt.runningSince > healthyRunSeconds);
    }

    /**
     * Quarantines the machine after {@value #QUARANTINE_FAILURES} failures since its last success;
     * of a job that has not succeeded on any machine, only one failure counts. Guards against a job
     * at fault causing the quarantine of the first machines on which all of its tasks fail. A
     * machine that is being released stays in quarantine.
     */
    private void updateQuarantine(Machine machine) {
        int failureCount = 0;
        for (Map.Entry<Job, Integer> failures : machine.failuresByJob().entrySet()) {
            failureCount +=
                    failures.getKey().failureHistory.hasSucceeded() ? failures.getValue() : 1;
        }
        boolean isFaulty = failureCount >= QUARANTINE_FAILURES;
        if (isFaulty && !machine.isQuarantined()) {
            LOG.info("machine quarantined after failed starts: machine={}", machine.id);
        }
        machine.setQuarantined(isFaulty || machine.isQuarantined() && machine.isReleasing());
    }
}
