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
 * What the shard's leader knows: its machines, its jobs, which attempts are not proven over, and
 * what of all that the store has not been told. It decides nothing about where work goes; it keeps
 * account of what was decided, so that whatever is unproven counts against every limit.
 *
 * <p>This class is what other packages use; each concern has a class of its own: {@link
 * MachineRegistry}, {@link JobRegistry}, {@link QuotaUsage}, {@link AttemptLedger}, {@link
 * PendingWrites} and {@link SchedulingSignal}. Not thread-safe: all of it belongs to the thread of
 * the shard's controller. Times are seconds on the steady clock unless a name says otherwise.
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
     * @param machineAddedListener is called with every machine that becomes known
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

    /** From now on this token is ours; every machine has to report with it before it gets work. */
    public void takeLeadership(long newToken) {
        fencingToken = newToken;
        machines.machines()
                .values()
                .forEach(machine -> machine.heartbeats().resetTokenConfirmation());
    }

    /** Another node leads the shard: what this one knew may be wrong from now on. */
    public void giveUpLeadership() {
        clearJobs();
        machines.clear();
    }

    // ---- scheduling rounds --------------------------------------------------------------------

    /** Whether something changed that may let work be placed. */
    public boolean isSchedulingNeeded() {
        return signal.isNeeded();
    }

    /** Something changed that may let work be placed. */
    public void requestScheduling() {
        signal.request();
    }

    /** A scheduling round begins, which looks at all that changed until now. */
    public void beginSchedulingRound(double now) {
        signal.beginRound();
        machines.machines().values().forEach(machine -> machine.refreshReservation(now));
    }

    /** Work is left waiting in this round. */
    public void markBacklog() {
        signal.markBacklog();
    }

    /** Whether work was left waiting in the last round. */
    public boolean hasBacklog() {
        return signal.hasBacklog();
    }

    // ---- machines -----------------------------------------------------------------------------

    /** Unmodifiable view of the machine types by name, empty until they are known. */
    public Map<String, MachineType> machineTypes() {
        return machines.types();
    }

    /** Replaces the machine types by those that the cloud offers now. */
    public void setMachineTypes(Collection<MachineType> all) {
        machines.setTypes(all);
    }

    /** Unmodifiable view of the machines by id, in the order of their ids. */
    public Map<String, Machine> machines() {
        return machines.machines();
    }

    /** Which machines are at fault for failing tasks, and which jobs. */
    public FailureDiagnosis failureDiagnosis() {
        return failureDiagnosis;
    }

    /** How long machines take to boot. */
    public BootTimes bootTimes() {
        return bootTimes;
    }

    Machine getOrAddMachine(String id, double now) {
        return machines.getOrAdd(id, now);
    }

    /**
     * The machine is on record as one to be given back: whenever it is heard of, it takes no work
     * any more.
     */
    public void markForRelease(String id) {
        machines.markForRelease(id);
    }

    /** The machine and all on it are gone for certain: released, taken, or unknown to the cloud. */
    public void removeMachine(String id, double now) {
        machines.remove(id)
                .ifPresent(
                        machine -> {
                            new ArrayList<>(machine.attempts())
                                    .forEach(attempt -> attempts.markLost(attempt, now));
                            signal.request();
                            LOG.info("machine gone: machine={}", id);
                        });
    }

    /** Whether the machine is gone for certain, whatever late messages say. */
    boolean isKnownGone(String id) {
        return machines.isKnownGone(id);
    }

    /** What the cloud says exists. A list can be old, so it never proves a machine gone. */
    public void applyCloudList(Collection<Cloud.ListedMachine> entries, double now) {
        machines.applyCloudList(entries, now);
    }

    /** The cloud has rented this machine to us; its boot began at {@code since}. */
    public void addRentedMachine(String id, MachineKind kind, double now, double since) {
        machines.addRented(id, kind, now, since);
    }

    /** The attempt's image is on its machine now. */
    void recordImageUse(Attempt attempt) {
        machines.recordImageUse(attempt);
    }

    // ---- jobs ---------------------------------------------------------------------------------

    /** Unmodifiable view by id: jobs that are open, or over with something of them left. */
    public Map<String, Job> jobs() {
        return jobs.jobs();
    }

    /** What came lately, for forecasts. */
    public RecentArrivals recentArrivals() {
        return jobs.recentArrivals();
    }

    /** How long tasks take from their placement until they run. */
    public StartLatencies startLatencies() {
        return jobs.startLatencies();
    }

    /** How much of what classes and teams asked for was served in time. */
    public ServiceLevels serviceLevels() {
        return jobs.serviceLevels();
    }

    /** Which jobs wait for which. */
    public JobDependencies jobDependencies() {
        return jobs.jobDependencies();
    }

    /**
     * Rises whenever all jobs are forgotten: {@link Job} objects of an earlier generation stand for
     * nothing any more.
     */
    public long jobGeneration() {
        return jobGeneration;
    }

    /** Forgets all jobs and attempts, before they are loaded anew. */
    public void clearJobs() {
        jobGeneration++;
        jobs.clear();
        quotaUsage.clear();
        writes.clear();
        machines.machines().values().forEach(Machine::forgetJobs);
    }

    /** A job has become known, by its submission or from the store. */
    public void addJob(Job job) {
        jobs.add(job);
    }

    /** Adds a job that is over, some of whose attempts may still be on machines. */
    public void addFinishedJob(Job job) {
        jobs.addFinished(job);
    }

    /**
     * Takes over what a part's record says is done and what is, or may be, on machines.
     *
     * @throws io.kitepath.core.model.InvalidInputException if the record is not one of a part
     */
    public void restorePart(Job job, int part, Object record, long revision, double now) {
        jobs.restorePart(job, part, record, revision, now);
    }

    /**
     * A part's record can't be read. Guards against a task that runs twice, as the record may have
     * it on a machine: nothing of the job is placed, and all tasks of the part count against the
     * team's quota until all jobs are loaded again.
     */
    public void holdUnreadable(Job job, int part) {
        job.markUnreadable(part);
        quotaUsage.countAttempts(job.spec, job.taskCountOfPart(part));
    }

    /**
     * The job is done or cancelled in the store; whatever of it is still on machines has to be
     * stopped. Returns whether that is news here.
     */
    public boolean finishJob(String id) {
        return jobs.finish(id);
    }

    /** Removes a job that is over, with nothing of it left anywhere. */
    public void removeJob(Job job) {
        jobs.remove(job, failureDiagnosis);
    }

    /**
     * Progress of those of the jobs that are known here and not about to be cancelled for a job
     * that they depend on.
     */
    public List<JobProgress> progress(List<String> ids, double now) {
        return jobs.progress(
                ids, now, settings.workers().heartbeatIntervalSeconds(), pendingReasons);
    }

    // ---- attempts -----------------------------------------------------------------------------

    /** What each team's attempts use of its quota. */
    public QuotaUsage quotaUsage() {
        return quotaUsage;
    }

    /** How many attempts were proven over. */
    public long attemptsEnded() {
        return attempts.endedCount();
    }

    /** Of those, the ones that were lost with their machine or its agent's incarnation. */
    public long attemptsLost() {
        return attempts.lostCount();
    }

    /**
     * A decision: this waiting task goes to that machine, once that is written. See {@link
     * #advanceAttemptNumber}.
     */
    public void place(Job job, int task, Machine machine, double now) {
        attempts.place(job, task, machine, now);
    }

    /**
     * What was placed of the job since the last call shares an attempt number; the next placements
     * get another.
     */
    public void advanceAttemptNumber(Job job) {
        job.nextAttempt++;
    }

    /**
     * The attempt is to be stopped. One that is not known to be written was never launched, and is
     * withdrawn.
     *
     * @param graceSeconds time it gets to save its work; the shortest that was asked for counts
     */
    public void stopAttempt(Attempt attempt, double graceSeconds) {
        attempts.stop(attempt, graceSeconds);
    }

    /** Stops an attempt, as {@link #stopAttempt} does, so that the other job gets its room. */
    public void evictAttempt(Attempt attempt, Job other) {
        attempt.evictedFor = Optional.of(other);
        attempts.stop(attempt, attempt.job.spec.stopGraceSeconds());
    }

    /**
     * Stops the rest of an incomplete gang once none of it fetches its image any more, so that all
     * of it restarts together.
     */
    public void restartGangOnceImagesFetched(Job job) {
        attempts.restartGangOnceImagesFetched(job);
    }

    /** An agent reports an attempt that nothing placed there; it counts, and is stopped. */
    void addUnexpectedAttempt(
            Job job, int task, long number, TaskState state, Machine machine, double now) {
        attempts.addUnexpected(job, task, number, state, machine, now);
    }

    /** The attempt is proven over. */
    void endAttempt(Attempt attempt, EndCause cause, double now) {
        attempts.end(attempt, cause, now);
    }

    /** The attempt went with its machine or its agent's incarnation. */
    void loseAttempt(Attempt attempt, double now) {
        attempts.markLost(attempt, now);
    }

    // ---- records and writes -------------------------------------------------------------------

    /** Parts of jobs that differ from their records. */
    public DirtyParts dirtyParts() {
        return writes.dirtyParts();
    }

    /** How many tasks one part of a job holds whose record does not say. */
    public int tasksPerPart() {
        return writes.tasksPerPart();
    }

    /** What the deployment's records are laid out by, whatever the settings say by now. */
    public void setTasksPerPart(int tasks) {
        writes.setTasksPerPart(tasks);
    }

    /**
     * The bytes that a record may have: as the settings say, or fewer if the store has refused one
     * of that size.
     */
    public int maxRecordBytes() {
        return writes.maxRecordBytes();
    }

    /** The store has refused a record of that size. */
    public void lowerMaxRecordBytes(int refusedBytes) {
        writes.lowerMaxRecordBytes(refusedBytes);
    }

    /**
     * Whether the record of the task's part can take one more attempt; nothing may start that is
     * not on record.
     */
    public boolean fitsRecord(Job job, int task) {
        return writes.fitsRecord(job, task);
    }

    /** Whether the records of its parts can take all its tasks at once, or can't be made to. */
    public boolean fitsRecord(Job job) {
        return writes.fitsRecord(job);
    }

    /**
     * The job's parts can't be on record as they are laid out; nothing more of it is placed until
     * they are laid out anew.
     */
    public void requestMigration(Job job) {
        writes.requestMigration(job);
    }

    /** Jobs whose parts are to be laid out anew, in the order in which that was requested. */
    public List<Job> jobsToMigrate() {
        return writes.jobsToMigrate();
    }

    /** The job's parts need not, or can't, be laid out anew any more. */
    public void migrationDone(Job job) {
        writes.endMigration(job);
    }

    /**
     * The store has the job's records in their new layout.
     *
     * @param version of the job, as of which they were written
     * @param writtenParts the parts that have a record; the others need none
     */
    public void applyMigration(
            Job job, JobRecord record, long revision, int version, Set<Integer> writtenParts) {
        writes.applyMigration(job, record, revision, version, writtenParts);
    }

    /** Everything about this part up to {@code version} of its job is in the store now. */
    public void markPartWritten(JobPart part, int version, long revision) {
        writes.markPartWritten(part, version, revision);
    }

    /** All the job's parts may differ from their records. */
    public void markAllPartsDirty(Job job) {
        writes.markAllPartsDirty(job);
    }
}
