package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells machines that fail what they start from jobs that were submitted with a mistake, by who
 * else fails where. A mistaken job may cost little: one task, or one gang, is tried at a time and
 * ever more rarely, in room that is free anyway. A job that succeeded once, or runs on longer than
 * it took to fail, is none.
 */
public final class FailureDiagnosis {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDiagnosis.class);

    /** Machines on which a job has to fail before it is held to be at fault itself. */
    private static final int MIN_FAILED_MACHINES = 3;

    /** After that many failed starts since its last success a machine is set aside. */
    private static final int QUARANTINE_FAILURES = 2;

    private final ClusterSettings settings;
    private final Map<String, Machine> machines;

    FailureDiagnosis(ClusterSettings settings, Map<String, Machine> machines) {
        this.settings = settings;
        this.machines = machines;
    }

    void recordSuccess(Attempt attempt) {
        Job job = attempt.job;
        attempt.machine.failuresByJob.clear();
        job.failedRetries = 0;
        if (job.successCount++ == 0) {
            job.notBefore = 0;
            forEachFailedMachine(job, this::updateQuarantine); // They are to blame after all.
        }
    }

    private void forEachFailedMachine(Job job, Consumer<Machine> then) {
        for (String id : job.failedMachines) {
            Machine machine = machines.get(id);
            if (machine != null) {
                then.accept(machine);
            }
        }
    }

    /**
     * What the job failed on is not to blame for it: the fault was its own, or can't be told any
     * more.
     */
    void clearBlame(Job job) {
        forEachFailedMachine(
                job,
                machine -> {
                    machine.failuresByJob.remove(job);
                    updateQuarantine(machine);
                });
    }

    void recordFailure(Attempt attempt, double now) {
        Job job = attempt.job;
        Machine machine = attempt.machine;
        LOG.info("attempt {} failed", attempt);
        job.failureCount++;
        job.failedMachines.add(machine.id);
        if (!Double.isNaN(attempt.runningSince)) {
            job.longestFailedRunSeconds =
                    Math.max(job.longestFailedRunSeconds, now - attempt.runningSince);
        }
        machine.failuresByJob.merge(job, 1, Integer::sum);
        if (!isJobAtFault(job, now)) {
            updateQuarantine(machine);
            return;
        }
        clearBlame(job);
        // The tasks of an array that were placed together count as one try.
        if (job.failedRetries == 0 || attempt.number > job.lastFailedRetryNumber) {
            job.lastFailedRetryNumber = Math.max(job.lastFailedRetryNumber, attempt.number);
            job.failedRetries++;
            double pause =
                    Math.min(
                            settings.workers().heartbeatIntervalSeconds()
                                    * (1 << Math.min(8, job.failedRetries)),
                            6 * settings.workers().leaseSeconds());
            job.notBefore = now + pause;
            LOG.info(
                    "job {} fails everywhere, {} times so far: tried again in {} s",
                    job.spec.id(),
                    job.failureCount,
                    Math.round(pause));
        }
    }

    /**
     * Failed on several machines, never succeeded, and nothing of it has run for much longer than
     * it took to fail: a good job that met several faulty machines is not held back.
     */
    public boolean isJobAtFault(Job job, double now) {
        if (job.successCount > 0 || job.failedMachines.size() < MIN_FAILED_MACHINES) {
            return false;
        }
        double proof =
                2 * (job.longestFailedRunSeconds + settings.workers().heartbeatIntervalSeconds());
        return job.liveAttempts.values().stream()
                .noneMatch(
                        attempt ->
                                attempt.state == Heartbeat.TaskState.RUNNING
                                        && now - attempt.runningSince > proof);
    }

    /**
     * Set aside after two failures since its last success; of a job that has not succeeded anywhere
     * only one counts. Guards against a mistaken job, all of whose tasks fail on the first machines
     * it comes to, costing those machines.
     */
    private void updateQuarantine(Machine machine) {
        int blame = 0;
        for (Map.Entry<Job, Integer> e : machine.failuresByJob.entrySet()) {
            blame += e.getKey().successCount > 0 ? e.getValue() : 1;
        }
        boolean bad = blame >= QUARANTINE_FAILURES;
        if (bad && !machine.isQuarantined) {
            LOG.info("machine {} set aside: starts fail on it", machine.id);
        }
        machine.isQuarantined = bad || machine.isQuarantined && machine.isReleasing;
    }
}
