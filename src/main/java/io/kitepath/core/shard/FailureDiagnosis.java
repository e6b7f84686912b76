package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells machines that fail what they start, which are quarantined, from jobs that were submitted
 * with a mistake, by who else fails where. A job at fault may cost little: one task, or one gang,
 * is tried at a time and ever more rarely, in room that is free anyway. A job that succeeded once,
 * or runs on longer than it took to fail, is not at fault. Not thread-safe; belongs to the shard's
 * thread.
 */
public final class FailureDiagnosis {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDiagnosis.class);

    /** Machines on which a job has to fail before it is held to be at fault itself. */
    private static final int MIN_FAILED_MACHINES = 3;

    /** After that many failed starts since its last success a machine is quarantined. */
    private static final int QUARANTINE_FAILURES = 2;

    /** The pause between tries of a job at fault doubles that many times at most. */
    private static final int MAX_BACKOFF_DOUBLINGS = 8;

    /** The longest pause between tries of a job at fault, in leases. */
    private static final int MAX_BACKOFF_LEASES = 6;

    /** A task that runs for that many times what others took to fail shows that the job is good. */
    private static final int PROOF_FACTOR = 2;

    private final ClusterSettings settings;
    private final Map<String, Machine> machines;

    /** Reads the machines by id from a map that is kept up to date by others. */
    FailureDiagnosis(ClusterSettings settings, Map<String, Machine> machines) {
        this.settings = settings;
        this.machines = machines;
    }

    /** The attempt has completed its task. */
    void recordSuccess(Attempt attempt) {
        Job job = attempt.job;
        attempt.machine.failuresByJob().clear();
        if (job.failureHistory.recordSuccess()) {
            job.failureHistory.setNotBefore(0);
            forEachFailedMachine(job, this::updateQuarantine); // They are to blame after all.
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
     * The machines on which the job failed are not to blame for that: the fault was its own, or
     * can't be told any more.
     */
    void clearBlame(Job job) {
        forEachFailedMachine(
                job,
                machine -> {
                    machine.failuresByJob().remove(job);
                    updateQuarantine(machine);
                });
    }

    /** The attempt's task has ended with an error. */
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
        clearBlame(job);
        if (job.failureHistory.recordFailedRetry(attempt.number)) {
            holdBack(job, now);
        }
    }

    private void holdBack(Job job, double now) {
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, job.failureHistory.failedRetries());
        double pauseSeconds =
                Math.min(
                        settings.workers().heartbeatIntervalSeconds() * (1 << doublings),
                        MAX_BACKOFF_LEASES * settings.workers().leaseSeconds());
        job.failureHistory.setNotBefore(now + pauseSeconds);
        LOG.info(
                "job {} fails everywhere, {} times so far: tried again in {} s",
                job.spec.id(),
                job.failureHistory.failureCount(),
                Math.round(pauseSeconds));
    }

    /**
     * Whether the job itself is held to be at fault: it failed on several machines, never
     * succeeded, and nothing of it has run for much longer than it took to fail. A good job that
     * met several faulty machines is not held back.
     */
    public boolean isJobAtFault(Job job, double now) {
        FailureHistory history = job.failureHistory;
        if (history.hasSucceeded() || history.failedMachines().size() < MIN_FAILED_MACHINES) {
            return false;
        }
        double proofSeconds =
                PROOF_FACTOR
                        * (history.longestFailedRunSeconds()
                                + settings.workers().heartbeatIntervalSeconds());
        return job.liveAttempts.values().stream()
                .noneMatch(
                        attempt ->
                                attempt.state == Heartbeat.TaskState.RUNNING
                                        && now - attempt.runningSince > proofSeconds);
    }

    /**
     * Quarantines the machine after {@value #QUARANTINE_FAILURES} failures since its last success;
     * of a job that has not succeeded anywhere only one counts. Guards against a job at fault, all
     * of whose tasks fail on the first machines it comes to, costing those machines. A machine that
     * is being given back stays in quarantine.
     */
    private void updateQuarantine(Machine machine) {
        int blame = 0;
        for (Map.Entry<Job, Integer> failures : machine.failuresByJob().entrySet()) {
            blame += failures.getKey().failureHistory.hasSucceeded() ? failures.getValue() : 1;
        }
        boolean isBlamed = blame >= QUARANTINE_FAILURES;
        if (isBlamed && !machine.isQuarantined()) {
            LOG.info("machine quarantined, starts fail on it: machine={}", machine.id);
        }
        machine.setQuarantined(isBlamed || machine.isQuarantined() && machine.isReleasing());
    }
}
