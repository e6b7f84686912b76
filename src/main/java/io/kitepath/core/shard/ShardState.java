package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * State of the shard as known to its leader: its machines, its jobs, the attempts that are not
 * confirmed ended, and the changes that are not committed to the store yet. It makes no placement
 * decisions; it accounts for the decisions made, so that every unconfirmed attempt counts against
 * every limit.
 *
 * <p>Other packages use this class; each concern has a class of its own: {@link MachineRegistry},
 * {@link JobRegistry}, {@link QuotaUsage}, {@link AttemptLedger}, {@link PendingWrites} and {@link
 * SchedulingSignal}. Not thread-safe: all of it belongs to the thread of the shard's controller.
 * Times are seconds on the steady clock unless a name says otherwise.
 */
public final class ShardState {
    private static final Logger LOG = LoggerFactory.getLogger(ShardState.class);

    private final ClusterSettings settings;
    private final SchedulingSignal signal = new SchedulingSignal();
    private final MachineRegistry machines;
    private final FailureDiagnosis failureDiagnosis;
    private final BootTimes bootTimes;
    private final QuotaUsage quotaUsage;
    private final PendingWrites writes;
    private final AttemptLedger attempts;
    private final JobRegistry jobs;
    private final PendingReasons pendingReasons = new PendingReasons(this);
    private long fencingToken;
    private long jobGeneration;

    /**
     * Creates an empty state.
     *
     * @param machineAddedListener called with every machine that becomes known
     */
    public ShardState(ClusterSettings settings, Consumer<Machine> machineAddedListener) {
        this.settings = settings;
        this.machines = new MachineRegistry(machineAddedListener);
        this.failureDiagnosis = new FailureDiagnosis(settings, machines.machines());
        this.bootTimes = new BootTimes(machines.types());
        this.quotaUsage = new QuotaUsage(settings);
        this.writes = new PendingWrites(settings, signal);
        this.attempts =
                new AttemptLedger(settings, machines, quotaUsage, failureDiagnosis, writes, signal);
        this.jobs = new JobRegistry(settings, machines, attempts, writes, signal);
    }

    /** The deployment's settings. */
    public ClusterSettings settings() {
        return settings;
    }

    // ---- leadership ---------------------------------------------------------------------------

    /** The fencing token of the leader's current term; 0 before the first. */
    public long fencingToken() {
        return fencingToken;
    }

    /**
     * Starts a term of leadership with this fencing token; every machine must send a heartbeat with
     * the token before it is given work.
     */
    public void takeLeadership(long newToken) {
        fencingToken = newToken;
        machines.machines()
                .values()
                .forEach(machine -> machine.heartbeats().resetTokenConfirmation());
    }

    /**
     * Clears jobs and machines because another node leads the shard: the state known to this one
     * may be wrong from now on.
     */
    public void giveUpLeadership() {
        clearJobs();
        machines.clear();
    }

    // ---- scheduling rounds --------------------------------------------------------------------

    /** Whether something changed that may allow work to be placed. */
    public boolean isSchedulingNeeded() {
        return signal.isNeeded();
    }

    /** Requests a scheduling round after a change that may allow work to be placed. */
    public void requestScheduling() {
        signal.request();
    }

    /** Begins a scheduling round, which takes all changes until now into account. */
    public void beginSchedulingRound(double now) {
        signal.beginRound();
        machines.machines().values().forEach(machine -> machine.refreshReservation(now));
    }

    /** Records that work is left waiting in this scheduling round. */
    public void markBacklog() {
        signal.markBacklog();
    }

    /** Whether work was left waiting in the last scheduling round. */
    public boolean hasBacklog() {
        return signal.hasBacklog();
    }

    // ---- machines -----------------------------------------------------------------------------

    /** Unmodifiable view of the machine types by name, empty until they are known. */
    public Map<String, MachineType> machineTypes() {
        return machines.types();
    }

    /** Replaces the machine types with those that the cloud offers now. */
    public void setMachineTypes(Collection<MachineType> offeredTypes) {
        machines.setTypes(offeredTypes);
    }

    /** Unmodifiable view of the machines by id, in the order of their ids. */
    public Map<String, Machine> machines() {
        return machines.machines();
    }

    /** Determines whether machines or jobs are at fault for failing tasks. */
    public FailureDiagnosis failureDiagnosis() {
        return failureDiagnosis;
    }

    /** Estimates how long machines take to boot. */
    public BootTimes bootTimes() {
        return bootTimes;
    }

    Machine getOrAddMachine(String id, double now) {
        return machines.getOrAdd(id, now);
    }

    /**
     * Marks the machine for release, also if it becomes known only later: it accepts no work any
     * more.
     */
    public void markForRelease(String id) {
        machines.markForRelease(id);
    }

    /**
     * Removes the machine and all attempts on it: it is confirmed to no longer exist, because it
     * was released, interrupted, or is unknown to the cloud.
     */
    public void removeMachine(String id, double now) {
        machines.remove(id)
                .ifPresent(
                        machine -> {
                            new ArrayList<>(machine.attempts())
                                    .forEach(attempt -> attempts.markLost(attempt, now));
                            signal.request();
                            LOG.info("machine removed: machine={}", id);
                        });
    }

    /** Whether the machine is confirmed to no longer exist, regardless of late messages. */
    boolean isKnownGone(String id) {
        return machines.isKnownGone(id);
    }

    /**
     * Applies a list of the machines that exist in the cloud. A list may be stale, so it never
     * proves that a machine no longer exists.
     */
    public void applyCloudList(Collection<Cloud.ListedMachine> entries, double now) {
        machines.applyCloudList(entries, now);
    }

    /** Adds a newly rented machine, whose boot began at {@code since}. */
    public void addRentedMachine(String id, MachineKind kind, double now, double since) {
        machines.addRented(id, kind, now, since);
    }

    /** Records that the attempt's image is now on its machine. */
    void recordImageUse(Attempt attempt) {
        machines.recordImageUse(attempt);
    }

    // ---- jobs ---------------------------------------------------------------------------------

    /**
     * Unmodifiable view of the jobs by id: open jobs, and finished ones that still have attempts or
     * records.
     */
    public Map<String, Job> jobs() {
        return jobs.jobs();
    }

    /** The recent arrivals, for forecasts. */
    public RecentArrivals recentArrivals() {
        return jobs.recentArrivals();
    }

    /** Estimates how long tasks take from their placement until they run. */
    public StartLatencies startLatencies() {
        return jobs.startLatencies();
    }

    /** Tracks which share of the jobs of classes and teams met their goals. */
    public ServiceLevels serviceLevels() {
        return jobs.serviceLevels();
    }

    /** The dependencies between jobs. */
    public JobDependencies jobDependencies() {
        return jobs.jobDependencies();
    }

    /**
     * Number of times that all jobs have been cleared; {@link Job} objects of an earlier generation
     * are stale.
     */
    public long jobGeneration() {
        return jobGeneration;
    }

    /** Clears all jobs and attempts, before they are loaded again. */
    public void clearJobs() {
        jobGeneration++;
        jobs.clear();
        quotaUsage.clear();
        writes.clear();
        machines.machines().values().forEach(Machine::clearJobReferences);
    }

    /** Adds a job that was submitted or loaded from the store. */
    public void addJob(Job job) {
        jobs.add(job);
    }

    /** Adds a finished job, some of whose attempts may still be on machines. */
    public void addFinishedJob(Job job) {
        jobs.addFinished(job);
    }

    /**
     * Restores from a part's record which tasks are done and which attempts are, or may be, on
     * machines.
     *
     * @throws io.kitepath.core.model.InvalidInputException if the record is not one of a part
     */
    public void restorePart(Job job, int part, Object record, long revision, double now) {
        jobs.restorePart(job, part, record, revision, now);
    }

    /**
     * Marks a part whose record cannot be read. Guards against a task that runs twice because the
     * record may list it on a machine: nothing of the job is placed, and all tasks of the part
     * count against the team's quota until all jobs are loaded again.
     */
    public void markPartUnreadable(Job job, int part) {
        job.markUnreadable(part);
        quotaUsage.countAttempts(job.spec, job.taskCountOfPart(part));
    }

    /**
     * Marks the job as finished, as it is completed or cancelled in the store; its attempts that
     * are still on machines must be stopped. Returns whether the job was not known to be finished
     * before.
     */
    public boolean finishJob(String id) {
        return jobs.finish(id);
    }

    /** Removes a finished job that has no attempts or records left. */
    public void removeJob(Job job) {
        jobs.remove(job, failureDiagnosis);
    }

    /**
     * Returns the progress of those jobs that are known here and are known not to be cancelled
     * because of a job that they depend on.
     */
    public List<JobProgress> progress(List<String> ids, double now, double wallMillis) {
        return jobs.progress(
                ids,
                now,
                wallMillis,
                settings.workers().heartbeatIntervalSeconds(),
                pendingReasons);
    }

    // ---- attempts -----------------------------------------------------------------------------

    /** The use of the teams' quotas by their attempts. */
    public QuotaUsage quotaUsage() {
        return quotaUsage;
    }

    /** Number of attempts that were confirmed ended. */
    public long attemptsEnded() {
        return attempts.endedCount();
    }

    /**
     * The number of ended attempts that were lost with their machine or its agent's incarnation.
     */
    public long attemptsLost() {
        return attempts.lostCount();
    }

    /**
     * Places the waiting task on the machine; the placement takes effect once it is committed. See
     * {@link #advanceAttemptNumber}.
     */
    public void place(Job job, int task, Machine machine, double now) {
        attempts.place(job, task, machine, now);
    }

    /**
     * Advances the attempt number of the job: the placements since the last call share one number,
     * the next ones get another.
     */
    public void advanceAttemptNumber(Job job) {
        job.nextAttempt++;
    }

    /**
     * Stops the attempt. An attempt whose placement is not known to be committed was never
     * launched, and is withdrawn.
     *
     * @param graceSeconds time that it gets to save its work; the shortest one requested applies
     */
    public void stopAttempt(Attempt attempt, double graceSeconds) {
        attempts.stop(attempt, graceSeconds);
    }

    /** Stops an attempt, as {@link #stopAttempt} does, to free capacity for the other job. */
    public void evictAttempt(Attempt attempt, Job other) {
        attempt.evictedFor = Optional.of(other);
        attempts.stop(attempt, attempt.job.spec.stopGraceSeconds());
    }

    /**
     * Stops the rest of an incomplete gang once none of its attempts is fetching its image any
     * more, so that the whole gang restarts together.
     */
    public void restartGangOnceImagesFetched(Job job) {
        attempts.restartGangOnceImagesFetched(job);
    }

    /**
     * Adds an attempt that an agent reports but that was not placed there; it counts as running,
     * and is stopped.
     */
    void addUnexpectedAttempt(
            Job job, int task, long number, TaskState state, Machine machine, double now) {
        attempts.addUnexpected(job, task, number, state, machine, now);
    }

    /** Ends the attempt, which is confirmed ended. */
    void endAttempt(Attempt attempt, EndCause cause, double now) {
        attempts.end(attempt, cause, now);
    }

    /** Ends the attempt as lost with its machine or its agent's incarnation. */
    void loseAttempt(Attempt attempt, double now) {
        attempts.markLost(attempt, now);
    }

    // ---- records and writes -------------------------------------------------------------------

    /** Parts of jobs that differ from their records. */
    public DirtyParts dirtyParts() {
        return writes.dirtyParts();
    }

    /** Number of tasks in a part of a job whose record does not specify it. */
    public int tasksPerPart() {
        return writes.tasksPerPart();
    }

    /**
     * Sets the number of tasks per part with which the deployment's records are laid out,
     * regardless of the current settings.
     */
    public void setTasksPerPart(int tasks) {
        writes.setTasksPerPart(tasks);
    }

    /**
     * Maximum size of a record in bytes: as configured, or smaller if the store has refused a
     * record of that size.
     */
    public int maxRecordBytes() {
        return writes.maxRecordBytes();
    }

    /** Lowers the maximum record size after the store has refused a record of that size. */
    public void lowerMaxRecordBytes(int refusedBytes) {
        writes.lowerMaxRecordBytes(refusedBytes);
    }

    /**
     * Whether the record of the task's part has space for one more attempt; no attempt may start
     * that is not on record.
     */
    public boolean fitsRecord(Job job, int task) {
        return writes.fitsRecord(job, task);
    }

    /**
     * Whether the records of the job's parts have space for all its tasks at once, or its parts
     * cannot be made smaller.
     */
    public boolean fitsRecord(Job job) {
        return writes.fitsRecord(job);
    }

    /**
     * Requests a new layout of the job's parts, as their records do not fit; nothing more of the
     * job is placed until they are laid out again.
     */
    public void requestMigration(Job job) {
        writes.requestMigration(job);
    }

    /** Jobs whose parts must be laid out again, in the order of the requests. */
    public List<Job> jobsToMigrate() {
        return writes.jobsToMigrate();
    }

    /**
     * Withdraws the request for a new layout of the job's parts, which is no longer needed or not
     * possible.
     */
    public void clearMigrationRequest(Job job) {
        writes.clearMigrationRequest(job);
    }

    /**
     * Applies the new layout of the job's records, which is committed to the store.
     *
     * @param version version of the job that the records contain
     * @param writtenParts the parts that have a record; the others need none
     */
    public void applyMigration(
            Job job, JobRecord record, long revision, int version, Set<Integer> writtenParts) {
        writes.applyMigration(job, record, revision, version, writtenParts);
    }

    /** Records that the part's state up to {@code version} of its job is committed to the store. */
    public void markPartWritten(JobPart part, int version, long revision) {
        writes.markPartWritten(part, version, revision);
    }

    /** Marks all parts of the job as possibly different from their records. */
    public void markAllPartsDirty(Job job) {
        writes.markAllPartsDirty(job);
    }
}
