package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobProgress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The shard's jobs: all open ones, and finished ones that are not cleaned up yet. */
final class JobRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(JobRegistry.class);

    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Job> jobsView = Collections.unmodifiableMap(jobs);
    private final MachineRegistry machines;
    private final AttemptLedger attempts;
    private final PendingWrites writes;
    private final SchedulingSignal signal;
    private final RecentArrivals recentArrivals = new RecentArrivals();
    private final StartLatencies startLatencies = new StartLatencies();
    private final ServiceLevels serviceLevels;
    private final JobDependencies jobDependencies;

    JobRegistry(
            ClusterSettings settings,
            MachineRegistry machines,
            AttemptLedger attempts,
            PendingWrites writes,
            SchedulingSignal signal) {
        this.machines = machines;
        this.attempts = attempts;
        this.writes = writes;
        this.signal = signal;
        this.serviceLevels = new ServiceLevels(settings);
        this.jobDependencies =
                new JobDependencies(
                        settings,
                        jobs,
                        spec -> startLatencies.upperEstimateSeconds(spec.jobClass()),
                        signal::request);
    }

    /** Unmodifiable view of the jobs by id, in the order in which they were added. */
    Map<String, Job> jobs() {
        return jobsView;
    }

    RecentArrivals recentArrivals() {
        return recentArrivals;
    }

    StartLatencies startLatencies() {
        return startLatencies;
    }

    ServiceLevels serviceLevels() {
        return serviceLevels;
    }

    JobDependencies jobDependencies() {
        return jobDependencies;
    }

    void clear() {
        jobs.clear();
        serviceLevels.clear();
        jobDependencies.clear();
    }

    void add(Job job) {
        jobs.put(job.spec.id(), job);
        LOG.debug(
                "job added: job={} class={} tasks={} cpus={} image={}",
                job.spec.id(),
                job.spec.jobClass(),
                job.spec.taskCount(),
                job.spec.cpusPerTask(),
                job.spec.image());
        signal.request();
        recentArrivals.add(job);
        serviceLevels.recordArrival(job.spec);
        if (!job.isFinished) {
            jobDependencies.onJobOpened(job);
        }
    }

    /** Adds a finished job, some of whose attempts may still be on machines. */
    void addFinished(Job job) {
        job.isFinished = true;
        add(job);
    }

    /**
     * Restores a part's done tasks, and its attempts that are or may be on machines, from its
     * record.
     *
     * @throws io.kitepath.core.model.InvalidInputException if the record is not one of a part
     */
    void restorePart(Job job, int part, Object record, long revision, double now) {
        for (PartRecord.PlacedAttempt placed : job.readPart(part, record, revision)) {
            Machine machine = machines.getOrAdd(placed.machineId(), now);
            attempts.restore(job, placed.task(), placed.number(), machine, now);
        }
        jobDependencies.onJobStarted(job);
        if (job.isFinished) {
            writes.dirtyParts().enqueueIfDirty(job.markPartDirty(part));
        }
    }

    /**
     * Marks a job as finished after it was stored as done or cancelled. Attempts that are still on
     * machines have to be stopped.
     *
     * @return whether the job was open here until now
     */
    boolean finish(String id) {
        Job job = jobs.get(id);
        if (job == null || job.isFinished) {
            jobDependencies.onEndedElsewhere(id);
            return false;
        }
        job.isFinished = true;
        signal.request();
        jobDependencies.onJobClosed(job);
        for (Attempt attempt : new ArrayList<>(job.liveAttempts.values())) {
            if (!attempt.isDurable) {
                attempts.withdraw(attempt);
            }
        }
        job.markAllDirty();
        for (JobPart part : job.allParts()) {
            if (part.revision() > 0) {
                // The record is removed, or kept while attempts of the part are on machines.
                writes.dirtyParts().addChange(part);
            }
        }
        LOG.info("job finished: job={} liveAttempts={}", id, job.liveAttempts.size());
        return true;
    }

    /**
     * Removes a finished job that has no attempts or records left. If no task of it ever succeeded,
     * its failures are no longer held against machines.
     */
    void remove(Job job, FailureDiagnosis failureDiagnosis) {
        jobs.remove(job.spec.id());
        if (!job.failureHistory.hasSucceeded()) {
            failureDiagnosis.clearMachineFailures(job);
        }
        job.uncommittedEnds.forEach(
                attempt -> attempt.machine.placedWork().removeUncommittedEnd(attempt));
    }

    /**
     * The progress of the given jobs, without those that are unknown here and those that are, or
     * may be, cancelled because a dependency was cancelled.
     *
     * @param now the time on the steady clock, in seconds
     * @param wallMillis the time in milliseconds since 1970
     * @param maxAgeSeconds the maximum age of a cached count
     */
    List<JobProgress> progress(
            List<String> ids,
            double now,
            double wallMillis,
            double maxAgeSeconds,
            PendingReasons pendingReasons) {
        List<JobProgress> found = new ArrayList<>();
        for (String id : ids) {
            Job job = jobs.get(id);
            if (job != null && jobDependencies.mayReport(job, wallMillis)) {
                found.add(job.progress(now, maxAgeSeconds, pendingReasons));
            }
        }
        return found;
    }
}
