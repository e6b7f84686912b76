package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SortedMap;

/**
 * A job in the memory of the shard's leader: what was submitted, how far its tasks are, and what of
 * that the store has not been told yet.
 *
 * <p>This class is the one that others use. The concerns behind it are in classes of their own:
 * {@link JobTasks} (the state of each task), {@link JobAttempts} (what is on machines), {@link
 * JobParts} and {@link PartRecord} (what differs from the records, and their form), {@link
 * JobLoans} (tasks lent to other cells) and {@link JobStartGoals} (priority, deadlines and start
 * goals).
 *
 * <p>Not thread safe: it belongs to the event loop of the shard.
 */
public final class Job {
    /** What the user submitted. */
    public final JobSpec spec;

    /** Milliseconds since 1970, by the clock of the node that accepted the job. */
    public final double submittedMillis;

    /** The key of the record on which every write about the job depends. */
    public final String recordKey;

    private long revision;

    /** Whether another cell is the job's home, which lent some of its tasks to this one. */
    public final boolean borrowed;

    private JobRecord record;

    // ---- tasks and attempts ---------------------------------------------------------------------

    private final JobAttempts attempts = new JobAttempts();
    private final JobTasks tasks;

    /** Live attempts by task; read only, changed by {@link #addLive} and {@link #removeLive}. */
    final SortedMap<Integer, Attempt> liveAttempts = attempts.live();

    /** Attempts that are proven over while their part's record does not say so yet. */
    final List<Attempt> unwrittenEnds = new ArrayList<>();

    /** How many live attempts are to be stopped. */
    int stoppingAttemptCount;

    long nextAttempt = 1;

    /** Done or cancelled; the job is kept only until all its attempts are proven over. */
    boolean isFinished;

    /** The user asked to cancel; done once no other cell can run anything of the job. */
    private boolean isCancelRequested;

    /** See {@link #markUnreadable}. */
    private boolean isUnreadable;

    private final JobParts parts;
    private final JobLoans loans = new JobLoans();

    // ---- dependencies and demand ---------------------------------------------------------------

    /** Dependencies that are not known to be done. */
    final Set<String> unmetDependencies = new LinkedHashSet<>();

    /** A dependency was cancelled, so this job has to be cancelled too. */
    boolean hasCancelledDependency;

    final JobStartGoals startGoals;

    /** Past all its objectives; set once, when that is counted. */
    boolean hasMissedAllGoals;

    private final GuaranteeStanding guarantee = new GuaranteeStanding();

    /** For {@link FailureDiagnosis}. */
    final FailureHistory failureHistory = new FailureHistory();

    // ---- for display and the log ----------------------------------------------------------------

    final JobTimeline timeline = new JobTimeline();

    private final ProgressCache progress = new ProgressCache();

    /**
     * @param submittedMillis in milliseconds since 1970
     * @param startWithinSeconds within what time after its submission it has to start to meet each
     *     of its objectives
     * @param recordKey of its open record
     * @param revision of its open record
     */
    public Job(
            JobSpec spec,
            double submittedMillis,
            double[] startWithinSeconds,
            String recordKey,
            long revision,
            int tasksPerPart) {
        this(
                new JobRecord(spec, submittedMillis, List.of(), 0, 0),
                startWithinSeconds,
                recordKey,
                revision,
                tasksPerPart,
                false);
    }

    private Job(
            JobRecord record,
            double[] startWithinSeconds,
            String recordKey,
            long revision,
            int tasksPerPart,
            boolean borrowed) {
        this.record = record;
        this.spec = record.spec();
        this.submittedMillis = record.submittedMillis();
        this.recordKey = recordKey;
        this.revision = revision;
        this.borrowed = borrowed;
        this.tasks = new JobTasks(spec.taskCount(), liveAttempts);
        this.startGoals = new JobStartGoals(spec, submittedMillis, startWithinSeconds);
        this.parts = new JobParts(this, tasksPerPart);
    }

    /**
     * A job whose home is this cell.
     *
     * @param key of its open record
     * @param revision of its open record
     * @param defaultTasksPerPart the size of a part where the record does not say
     */
    public static Job of(
            JobRecord record,
            ClusterSettings settings,
            String key,
            long revision,
            int defaultTasksPerPart) {
        Job job =
                new Job(
                        record,
                        settings.startDeadlinesSeconds(record.spec()),
                        key,
                        revision,
                        record.tasksPerPart() > 0 ? record.tasksPerPart() : defaultTasksPerPart,
                        false);
        job.raiseNextAttempt(record.nextAttempt());
        return job;
    }

    /**
     * The tasks from {@code firstTask} to before {@code endTask} of a job whose home is another
     * cell.
     *
     * @param key of the record of the loan
     * @param revision of the record of the loan
     */
    public static Job borrowed(
            JobSpec spec,
            double submittedMillis,
            double[] startWithinSeconds,
            String key,
            long revision,
            int tasksPerPart,
            int firstTask,
            int endTask) {
        Job job =
                new Job(
                        new JobRecord(spec, submittedMillis, List.of(), 0, 0),
                        startWithinSeconds,
                        key,
                        revision,
                        tasksPerPart,
                        true);
        job.tasks.markElsewhere(0, firstTask);
        job.tasks.markElsewhere(endTask, spec.taskCount());
        return job;
    }

    /**
     * What the job's record says, as of its acceptance or its last migration; of a borrowed job,
     * which has no such record, what it would say.
     */
    public JobRecord record() {
        return record;
    }

    /** The store revision of the record at {@link #recordKey}. */
    public long revision() {
        return revision;
    }

    /** Whether the job is done or cancelled in the store. */
    public boolean isFinished() {
        return isFinished;
    }

    /** Whether the user asked to cancel the job, so that nothing more of it is placed. */
    public boolean isCancelRequested() {
        return isCancelRequested;
    }

    /** The user asked to cancel the job: nothing more of it is placed. */
    public void requestCancel() {
        isCancelRequested = true;
    }

    // ---- tasks ----------------------------------------------------------------------------------

    /** Whether the task is done; never undone. */
    public boolean isDone(int task) {
        return tasks.isDone(task);
    }

    void markDone(int task) {
        tasks.markDone(task);
    }

    void markAllDone() {
        tasks.markAllDone();
    }

    /** How many tasks are done, in whatever cell. */
    public int doneTaskCount() {
        return tasks.doneCount();
    }

    /**
     * A bit per task from {@code firstTask} to before {@code endTask}, counted from the first one,
     * as {@link BitSet#toByteArray} has them: set if the task is done.
     */
    public byte[] doneBitsOf(int firstTask, int endTask) {
        return tasks.doneBetween(firstTask, endTask).toByteArray();
    }

    /** How many tasks are not done; of a borrowed job only those that were lent to this cell. */
    public int unfinishedTasks() {
        return spec.taskCount() - tasks.doneCount() - (borrowed ? tasks.elsewhereCount() : 0);
    }

    /** Whether no task is left; never of a service, whose tasks have no end. */
    public boolean areAllTasksDone() {
        return spec.shape() != JobSpec.Shape.SERVICE && unfinishedTasks() == 0;
    }

    /** Whether the task is this cell's to place, and known to be neither done nor on a machine. */
    public boolean isPlaceable(int task) {
        return !isUnreadable && tasks.isWaiting(task);
    }

    /** How many tasks wait to be placed; none while the job as a whole may not start. */
    public int waitingTasks() {
        return isFinished || isCancelRequested || isHeld() || areAllTasksDone()
                ? 0
                : tasks.waitingCount();
    }

    /** The first {@link #isPlaceable placeable} task from {@code firstTask} on, or -1. */
    public int nextWaitingTask(int firstTask) {
        return tasks.nextWaiting(firstTask);
    }

    /** Whether any task has run, or was seen on a machine, as far as this leader knows. */
    public boolean hasStarted() {
        return timeline.hasAnyStarted() || tasks.doneCount() > 0 || attempts.isAnySeen();
    }

    // ---- attempts -------------------------------------------------------------------------------

    /** When a task of it was last placed by this leader; negative infinity if none was. */
    public double lastPlacedAt() {
        return timeline.lastPlacedAt();
    }

    /** The number that the job's next attempts get; higher than all before, in any cell. */
    public long nextAttempt() {
        return nextAttempt;
    }

    /** Makes the next attempt's number at least this one. */
    public void raiseNextAttempt(long number) {
        nextAttempt = Math.max(nextAttempt, number);
    }

    /** The attempts that are not proven over, by task; read only. */
    public SortedMap<Integer, Attempt> liveAttempts() {
        return liveAttempts;
    }

    /** A copy of the part's live attempts, by task. */
    public List<Attempt> liveAttemptsInPart(int part) {
        return new ArrayList<>(attempts.liveBetween(parts.firstTask(part), parts.endTask(part)));
    }

    /** Whether some live attempts are to be stopped. */
    public boolean hasStoppingAttempts() {
        return stoppingAttemptCount > 0;
    }

    void addLive(Attempt attempt) {
        attempts.add(attempt);
        parts.countLive(attempt);
    }

    void removeLive(Attempt attempt) {
        if (attempts.remove(attempt)) {
            parts.uncountLive(attempt);
        }
    }

    /** Ids of the machines on which a task of the job failed; read only. */
    public Set<String> failedMachines() {
        return failureHistory.failedMachines();
    }

    /** Seconds on the steady clock before which nothing of the job is placed. */
    public double notBefore() {
        return failureHistory.notBefore();
    }

    // ---- dependencies ---------------------------------------------------------------------------

    /** Ids of the jobs that have to be done before any task of this one starts. */
    public List<String> dependencies() {
        return record.dependencies();
    }

    /** Those of them that are not known to be done; read only. */
    public Set<String> unmetDependencies() {
        return Collections.unmodifiableSet(unmetDependencies);
    }

    /** Whether the job can't start yet, or ever, because of its dependencies or its records. */
    public boolean isHeld() {
        return isUnreadable || hasCancelledDependency || !unmetDependencies.isEmpty();
    }

    /** Whether a dependency was cancelled, so that this job has to be cancelled too. */
    public boolean hasCancelledDependency() {
        return hasCancelledDependency;
    }

    // ---- priority, deadlines and start goals ----------------------------------------------------

    /**
     * Since when the job could start, in milliseconds since 1970: its submission, or the end of the
     * last of its dependencies.
     */
    public double eligibleSinceMillis() {
        return startGoals.eligibleSinceMillis();
    }

    /** For how many seconds after its submission the job was held by its dependencies. */
    public double heldSeconds() {
        return startGoals.heldSeconds();
    }

    /** The highest priority of the job itself and of all jobs that depend on it. */
    public JobSpec.Priority effectivePriority() {
        return startGoals.effectivePriority();
    }

    /** Whether a deadline counts for the job: its own, or one of a job that depends on it. */
    public boolean hasDeadline() {
        return startGoals.hasDeadline();
    }

    /**
     * By when the job should be done for the sake of a deadline, in milliseconds since 1970;
     * infinite without one.
     */
    public double dueMillis() {
        return startGoals.dueMillis();
    }

    /** How many goals there are for the start of its tasks. */
    public int startGoalCount() {
        return startGoals.startGoalCount();
    }

    /**
     * By when its tasks have to start to meet a goal, in milliseconds since 1970.
     *
     * @param goal from 0, the soonest first
     */
    public double startGoalMillis(int goal) {
        return startGoals.startGoalMillis(goal);
    }

    /** Whether the job is past all its objectives. */
    public boolean hasMissedAllGoals() {
        return hasMissedAllGoals;
    }

    // ---- its team's guarantee -------------------------------------------------------------------

    /** Whether it is known if the job fitted into its team's guarantee when it came. */
    public boolean isGuaranteeClaimKnown() {
        return guarantee.isClaimKnown();
    }

    /** Sets, once, whether the job fits into its team's guarantee as it comes. */
    public void setGuaranteeClaim(boolean fits) {
        guarantee.setClaim(fits);
    }

    /** Whether the job is known to have fitted into its team's guarantee when it came. */
    public boolean wasWithinGuaranteeOnArrival() {
        return guarantee.wasWithinOnArrival();
    }

    /**
     * Whether the job fits into its team's guarantee together with the team's earlier unfinished
     * jobs.
     */
    public boolean isWithinGuarantee() {
        return guarantee.isWithin();
    }

    /** Set anew in each round of scheduling; see {@link #isWithinGuarantee}. */
    public void setWithinGuarantee(boolean within) {
        guarantee.setWithin(within);
    }

    /**
     * The job's rank in the scheduling queue, the lowest first: work within its team's guarantee
     * before all other, then by priority.
     */
    public int queueRank() {
        return (guarantee.isWithin() ? 0 : JobSpec.Priority.values().length)
                + effectivePriority().ordinal();
    }

    // ---- loans to other cells -------------------------------------------------------------------

    /** The job's loans in the order of their numbers; read only. */
    public List<TaskLoan> loans() {
        return loans.all();
    }

    /** The store revision of the record of its loans, 0 if there is none. */
    public long loansRevision() {
        return loans.revision();
    }

    /** The record of its loans was written, or removed, at that revision. */
    public void setLoansRevision(long atRevision) {
        loans.setRevision(atRevision);
    }

    /** Whether the record of its loans is being written. */
    public boolean writingLoans() {
        return loans.isBeingWritten();
    }

    /** Keeps others from writing the record of its loans meanwhile. */
    public void writingLoans(boolean isBeingWritten) {
        loans.setBeingWritten(isBeingWritten);
    }

    /** Stops placing these tasks here. None of them may be done or on a machine. */
    public void lend(TaskLoan loan) {
        parts.advanceVersion();
        loans.add(loan);
        tasks.markElsewhere(loan.firstTask, loan.endTask);
    }

    /**
     * Takes back a loan that the other cell's store says is over: its tasks are done, or this
     * cell's to place again. The loan stays on the record until {@link #forgetLoan}.
     *
     * @param doneInLoan a bit per task that is done, counted from the loan's first task
     */
    public void closeLoan(TaskLoan loan, BitSet doneInLoan) {
        loan.isClosed = true;
        tasks.markHere(loan.firstTask, loan.endTask);
        parts.advanceVersion();
        for (int i = doneInLoan.nextSetBit(0);
                i >= 0 && i < loan.taskCount();
                i = doneInLoan.nextSetBit(i + 1)) {
            tasks.markDone(loan.firstTask + i);
            parts.markDirtyInVersion(loan.firstTask + i);
        }
    }

    /** Drops a loan that the store has no record of any more. */
    public void forgetLoan(TaskLoan loan) {
        loans.remove(loan);
    }

    // ---- parts and what differs from their records ----------------------------------------------

    /** Rises with every change that the records have to follow. */
    public int version() {
        return parts.version();
    }

    /** How many parts the job has. */
    public int partCount() {
        return parts.count();
    }

    /** The part with that index, from 0. */
    public JobPart part(int index) {
        return parts.get(index);
    }

    List<JobPart> allParts() {
        return parts.all();
    }

    /** The index of the part that the task is in. */
    public int partOf(int task) {
        return parts.indexOf(task);
    }

    /** The last task of the part that the task is in; may be beyond the job's last task. */
    public int lastOfPart(int task) {
        return parts.endTask(parts.indexOf(task)) - 1;
    }

    boolean hasPartsOfAtMost(int taskCount) {
        return parts.tasksPerPart() <= taskCount;
    }

    /** Marks the part that the task is in as differing from its record, and returns it. */
    JobPart markDirty(int task) {
        return parts.markDirty(task);
    }

    JobPart markPartDirty(int index) {
        return parts.markDirty(parts.firstTask(index));
    }

    void markAllDirty() {
        parts.markAllDirty();
    }

    /** Marks the part that the task is in as having a placement that its record lacks. */
    JobPart markPlacementDirty(int task) {
        return parts.markPlacementDirty(task);
    }

    /** Whether the store has any record about the job's tasks. */
    public boolean hasPartRecords() {
        return parts.hasRecords();
    }

    /**
     * The job's record was written anew with another size of its parts. The revisions of the parts'
     * records are unknown until {@link JobPart#markWritten}.
     */
    public void applyMigration(JobRecord migrated, long atRevision) {
        record = migrated;
        revision = atRevision;
        parts.recreate(migrated.tasksPerPart(), liveAttempts.values());
    }

    // ---- the records of its parts ---------------------------------------------------------------

    /**
     * Whether one more attempt of the task can be on record, with its part's record at most {@code
     * maxRecordBytes} long.
     */
    public boolean fitsRecord(int task, int maxRecordBytes) {
        return parts.fitsRecord(task, maxRecordBytes);
    }

    /**
     * Whether all tasks may be on machines of their own at once, with each part's record at most
     * {@code maxRecordBytes} long.
     */
    boolean allTasksFitRecords(int maxRecordBytes) {
        return allTasksFitRecords(spec, parts.tasksPerPart(), maxRecordBytes);
    }

    /** The same for a job that does not exist yet. */
    public static boolean allTasksFitRecords(JobSpec spec, int tasksPerPart, int maxRecordBytes) {
        return JobParts.allTasksFitRecords(spec, tasksPerPart, maxRecordBytes);
    }

    /** The record of the part as it is now; see {@link PartRecord}. */
    public Map<String, Object> partRecord(int part) {
        return partRecord(part, parts.tasksPerPart());
    }

    /**
     * The record of a part if parts had {@code tasksPerPart} tasks, or empty if the part has
     * neither done tasks nor attempts and needs no record.
     */
    public Optional<Map<String, Object>> partRecordOf(int part, int tasksPerPart) {
        int firstTask = part * tasksPerPart;
        int endTask = (part + 1) * tasksPerPart;
        boolean isEmpty =
                attempts.liveBetween(firstTask, endTask).isEmpty()
                        && !tasks.isAnyDoneBetween(firstTask, endTask);
        return isEmpty ? Optional.empty() : Optional.of(partRecord(part, tasksPerPart));
    }

    private Map<String, Object> partRecord(int part, int tasksPerPart) {
        int firstTask = part * tasksPerPart;
        int endTask = firstTask + tasksPerPart;
        return PartRecord.toRecord(
                nextAttempt,
                tasks.doneBetween(firstTask, Math.min(spec.taskCount(), endTask)),
                attempts.liveBetween(firstTask, endTask),
                dependencies().isEmpty()
                        ? OptionalDouble.empty()
                        : OptionalDouble.of(eligibleSinceMillis()));
    }

    /**
     * Takes over a part's done tasks and the attempt counter from its record. The attempts are for
     * the caller, which knows the machines.
     *
     * @throws io.kitepath.core.model.InvalidInputException if it is not this part's record
     */
    List<PartRecord.PlacedAttempt> readPart(int part, Object value, long partRevision) {
        PartRecord partRecord = PartRecord.of(value);
        parts.get(part).markFound(partRevision);
        raiseNextAttempt(partRecord.nextAttempt());
        int firstTask = parts.firstTask(part);
        BitSet done = partRecord.doneTasks();
        List<PartRecord.PlacedAttempt> placed = partRecord.placedAttempts();
        PartRecord.requireTasksBelow(spec.taskCount(), firstTask + done.length(), placed);
        for (int i = done.nextSetBit(0); i >= 0; i = done.nextSetBit(i + 1)) {
            tasks.markDone(firstTask + i);
        }
        // A part has a record only once some task was placed, so all dependencies are done.
        unmetDependencies.clear();
        startGoals.restoreEligibleSince(partRecord.eligibleSinceMillis());
        return placed;
    }

    /** How many tasks the part has. */
    int taskCountOfPart(int part) {
        return Math.min(spec.taskCount(), parts.endTask(part)) - parts.firstTask(part);
    }

    /**
     * The part's record can't be read, so it is not known what of it is done or on machines:
     * nothing of the job may be placed, and the record stays as it is.
     */
    void markUnreadable(int part) {
        isUnreadable = true;
        parts.get(part).markUnreadable();
    }

    /** Whether a record of it can't be read, so that nothing of it may be placed. */
    boolean isUnreadable() {
        return isUnreadable;
    }

    // ---- for display and the log ----------------------------------------------------------------

    /**
     * The job's progress, counted anew at most once in {@code everySeconds}, as a job may have many
     * tasks and many who ask.
     *
     * @param now in seconds on the steady clock
     */
    JobProgress progress(double now, double everySeconds, PendingReasons pendingReasons) {
        return progress.get(
                now,
                everySeconds,
                () ->
                        new JobProgress(
                                spec.id(),
                                tasks.doneCount(),
                                attempts.runningCount(),
                                pendingReasons.describe(this, now).orElse(null)));
    }

    /**
     * For the log, in seconds: how long the job took, and how long before its end its tasks were
     * placed and began.
     *
     * @param now in seconds on the steady clock
     * @param wallMillis in milliseconds since 1970
     */
    public String describeTimings(double now, double wallMillis) {
        return timeline.describe(spec, (wallMillis - submittedMillis) / 1000, now);
    }
}
