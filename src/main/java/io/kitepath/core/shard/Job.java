package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SortedMap;

/**
 * The in-memory state of a job on the shard's leader: its specification, the progress of its tasks,
 * and the changes that are not stored yet.
 *
 * <p>This class is the facade for other packages. It delegates to {@link JobTasks} (the state of
 * each task), {@link JobAttempts} (live attempts), {@link JobParts} and {@link PartRecord} (changes
 * that are not stored yet, and the stored form), {@link JobLoans} (tasks lent to other cells) and
 * {@link JobStartGoals} (priority, deadlines and start goals).
 *
 * <p>Not thread-safe; accessed only from the event loop of the shard.
 */
public final class Job {
    /** The specification that the user submitted. */
    public final JobSpec spec;

    /** Submission time in milliseconds since 1970, by the clock of the node that accepted it. */
    public final double submittedMillis;

    /** The key of the record whose revision is a precondition of every write about the job. */
    public final String recordKey;

    private long revision;

    /** Whether the home cell is another cell, which lent some of the job's tasks to this one. */
    public final boolean isBorrowed;

    private JobRecord record;

    // ---- tasks and attempts ---------------------------------------------------------------------

    private final JobAttempts attempts = new JobAttempts();
    private final JobTasks tasks;

    /** Live attempts by task; read-only, changed by e.g. {@link #addLiveAttempt}. */
    final SortedMap<Integer, Attempt> liveAttempts = attempts.live();

    /** Attempts that are confirmed ended, but whose end is not stored in their part's record. */
    final List<Attempt> uncommittedEnds = new ArrayList<>();

    /** The number of live attempts that are to be stopped. */
    int stoppingAttemptCount;

    long nextAttempt = 1;

    /** Whether the job is done or cancelled; kept until all its attempts are confirmed ended. */
    boolean isFinished;

    /** Whether cancellation was requested; done once no other cell can run the job's tasks. */
    private boolean isCancelRequested;

    /** See {@link #markUnreadable}. */
    private boolean isUnreadable;

    private final JobParts parts;
    private final JobLoans loans = new JobLoans();

    // ---- dependencies and demand ---------------------------------------------------------------

    final DependencyState dependencyState = new DependencyState();

    final JobStartGoals startGoals;

    /** Whether the job has missed all its objectives; set once, when the miss is counted. */
    boolean hasMissedAllGoals;

    private final GuaranteeStanding guarantee = new GuaranteeStanding();

    /** Input of {@link FailureDiagnosis}. */
    final FailureHistory failureHistory = new FailureHistory();

    // ---- display and logging --------------------------------------------------------------------

    final JobTimeline timeline = new JobTimeline();

    private final ProgressCache progress = new ProgressCache();

    /**
     * @param submittedMillis in milliseconds since 1970
     * @param startWithinSeconds for each objective, the time after submission within which the job
     *     has to start to meet it
     * @param recordKey the key of its open record
     * @param revision the store revision of its open record
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
            boolean isBorrowed) {
        this.record = record;
        this.spec = record.spec();
        this.submittedMillis = record.submittedMillis();
        this.recordKey = recordKey;
        this.revision = revision;
        this.isBorrowed = isBorrowed;
        this.tasks = new JobTasks(spec.taskCount(), liveAttempts);
        this.startGoals = new JobStartGoals(spec, submittedMillis, startWithinSeconds);
        this.parts = new JobParts(this, tasksPerPart);
    }

    /**
     * Creates a job whose home cell is this cell from its record.
     *
     * @param key the key of its open record
     * @param revision the store revision of its open record
     * @param defaultTasksPerPart the size of a part if the record does not contain one
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
     * Creates a borrowed job, which has the tasks from {@code firstTask} (inclusive) to {@code
     * endTask} (exclusive) of a job whose home cell is another cell.
     *
     * @param key the key of the loan's record
     * @param revision the store revision of the loan's record
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
     * The job's record as of its acceptance or its last migration. A borrowed job has no such
     * record; for it, an equivalent one is returned.
     */
    public JobRecord record() {
        return record;
    }

    /** The store revision of the record at {@link #recordKey}. */
    public long revision() {
        return revision;
    }

    /** Whether the job is stored as done or cancelled. */
    public boolean isFinished() {
        return isFinished;
    }

    /** Whether the user requested cancellation, so that no more tasks of the job are placed. */
    public boolean isCancelRequested() {
        return isCancelRequested;
    }

    /** Records a cancellation request: no more tasks of the job are placed. */
    public void requestCancel() {
        isCancelRequested = true;
    }

    // ---- tasks ----------------------------------------------------------------------------------

    /** Whether the task is done; a done task stays done. */
    public boolean isDone(int task) {
        return tasks.isDone(task);
    }

    void markDone(int task) {
        tasks.markDone(task);
    }

    void markAllDone() {
        tasks.markAllDone();
    }

    /** The number of tasks that are done, in any cell. */
    public int doneTaskCount() {
        return tasks.doneCount();
    }

    /**
     * One bit per task from {@code firstTask} (inclusive) to {@code endTask} (exclusive), set if
     * the task is done; in the format of {@link BitSet#toByteArray}, where bit 0 is the first task.
     */
    public byte[] doneBitsOf(int firstTask, int endTask) {
        return tasks.doneBetween(firstTask, endTask).toByteArray();
    }

    /** The number of tasks not done; for a borrowed job, only those that were lent to this cell. */
    public int unfinishedTaskCount() {
        return spec.taskCount() - tasks.doneCount() - (isBorrowed ? tasks.elsewhereCount() : 0);
    }

    /** Whether all tasks are done; always false for a service, whose tasks do not complete. */
    public boolean areAllTasksDone() {
        return spec.shape() != JobSpec.Shape.SERVICE && unfinishedTaskCount() == 0;
    }

    /** Whether this cell places the task, and it is known to be neither done nor on a machine. */
    public boolean isPlaceable(int task) {
        return !isUnreadable && tasks.isWaiting(task);
    }

    /** The number of tasks that wait to be placed; 0 while the job as a whole may not start. */
    public int waitingTasks() {
        return isFinished || isCancelRequested || isHeld() || areAllTasksDone()
                ? 0
                : tasks.waitingCount();
    }

    /** The first {@link #isPlaceable placeable} task at or after {@code firstTask}, or -1. */
    public int nextWaitingTask(int firstTask) {
        return tasks.nextWaiting(firstTask);
    }

    /** Whether this leader knows of any task that has run or was reported on a machine. */
    public boolean hasStarted() {
        return timeline.hasAnyStarted() || tasks.doneCount() > 0 || attempts.isAnySeen();
    }

    // ---- attempts -------------------------------------------------------------------------------

    /** When this leader last placed a task, in steady-clock seconds; negative infinity if never. */
    public double lastPlacedAt() {
        return timeline.lastPlacedAt();
    }

    /** The number of the job's next attempts; higher than all earlier ones in any cell. */
    public long nextAttempt() {
        return nextAttempt;
    }

    /** Raises the next attempt's number to at least {@code number}. */
    public void raiseNextAttempt(long number) {
        nextAttempt = Math.max(nextAttempt, number);
    }

    /** The attempts that are not confirmed ended, by task; a read-only view. */
    public SortedMap<Integer, Attempt> liveAttempts() {
        return liveAttempts;
    }

    /** A copy of the part's live attempts, by task. */
    public List<Attempt> liveAttemptsInPart(int part) {
        return new ArrayList<>(attempts.liveBetween(parts.firstTask(part), parts.endTask(part)));
    }

    /** Whether any live attempt is to be stopped. */
    public boolean hasStoppingAttempts() {
        return stoppingAttemptCount > 0;
    }

    void addLiveAttempt(Attempt attempt) {
        attempts.add(attempt);
        parts.addLiveAttempt(attempt);
    }

    void removeLiveAttempt(Attempt attempt) {
        if (attempts.remove(attempt)) {
            parts.removeLiveAttempt(attempt);
        }
    }

    /** Ids of the machines on which a task of the job failed; a read-only view. */
    public Set<String> failedMachines() {
        return failureHistory.failedMachines();
    }

    /** The time before which no task of the job is placed, in seconds on the steady clock. */
    public double notBefore() {
        return failureHistory.notBefore();
    }

    // ---- dependencies ---------------------------------------------------------------------------

    /** Ids of the jobs that have to be done before any task of this job starts. */
    public List<String> dependencies() {
        return record.dependencies();
    }

    /** Ids of the dependencies that are not known to be done; a read-only view. */
    public Set<String> unmetDependencies() {
        return Collections.unmodifiableSet(dependencyState.unmet);
    }

    /** Whether the job's dependencies or an unreadable record keep it from starting. */
    public boolean isHeld() {
        return isUnreadable || hasCancelledDependency() || !dependencyState.unmet.isEmpty();
    }

    /** Whether a dependency was cancelled, so that this job has to be cancelled too. */
    public boolean hasCancelledDependency() {
        return dependencyState.hasCancelled;
    }

    /** Whether a direct or indirect dependency has ended and its outcome is not known yet. */
    public boolean hasUnresolvedDependency() {
        return dependencyState.unresolvedCount > 0;
    }

    // ---- priority, deadlines and start goals ----------------------------------------------------

    /**
     * The time since which the job may start: its submission, or the end of its last dependency, in
     * milliseconds since 1970.
     */
    public double eligibleSinceMillis() {
        return startGoals.eligibleSinceMillis();
    }

    /** The number of seconds after submission for which dependencies kept the job from starting. */
    public double heldSeconds() {
        return startGoals.heldSeconds();
    }

    /** The highest priority among the job itself and all jobs that depend on it. */
    public JobSpec.Priority effectivePriority() {
        return startGoals.effectivePriority();
    }

    /** Whether the job, or a job that depends on it, has a deadline. */
    public boolean hasDeadline() {
        return startGoals.hasDeadline();
    }

    /**
     * The time by which the job should be done to meet its own deadline and those of its
     * dependents, in milliseconds since 1970; infinite if there is no deadline.
     */
    public double dueMillis() {
        return startGoals.dueMillis();
    }

    /** The number of start goals of the job. */
    public int startGoalCount() {
        return startGoals.startGoalCount();
    }

    /**
     * The time by which the job's tasks have to start to meet a goal, in milliseconds since 1970.
     *
     * @param goal the index of the goal, from 0, earliest first
     */
    public double startGoalMillis(int goal) {
        return startGoals.startGoalMillis(goal);
    }

    /** Whether the job has missed all its objectives. */
    public boolean hasMissedAllGoals() {
        return hasMissedAllGoals;
    }

    // ---- the team's guarantee -------------------------------------------------------------------

    /** Whether it has been decided if the job fitted into its team's guarantee on arrival. */
    public boolean isGuaranteeClaimKnown() {
        return guarantee.isClaimKnown();
    }

    /** Sets, once, whether the job fits into its team's guarantee on arrival. */
    public void setGuaranteeClaim(boolean fits) {
        guarantee.setClaim(fits);
    }

    /** Whether the job is known to have fitted into its team's guarantee on arrival. */
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

    /** Sets the value of {@link #isWithinGuarantee}; called in each scheduling round. */
    public void setWithinGuarantee(boolean within) {
        guarantee.setWithin(within);
    }

    /**
     * The job's rank in the scheduling queue, lowest first: jobs within their team's guarantee
     * precede all others, then jobs are ordered by priority.
     */
    public int queueRank() {
        return (guarantee.isWithin() ? 0 : JobSpec.Priority.values().length)
                + effectivePriority().ordinal();
    }

    // ---- loans to other cells -------------------------------------------------------------------

    /** The job's loans, ordered by number; a read-only view. */
    public List<TaskLoan> loans() {
        return loans.all();
    }

    /** The store revision of the job's loan record, 0 if there is none. */
    public long loansRevision() {
        return loans.revision();
    }

    /** Sets the store revision at which the job's loan record was written or removed. */
    public void setLoansRevision(long atRevision) {
        loans.setRevision(atRevision);
    }

    /** Whether a write of the job's loan record is in progress. */
    public boolean isWritingLoans() {
        return loans.isBeingWritten();
    }

    /** Marks a write of the job's loan record as in progress, which prevents concurrent writes. */
    public void setWritingLoans(boolean isBeingWritten) {
        loans.setBeingWritten(isBeingWritten);
    }

    /** Stops the placement of the loan's tasks here. None of them may be done or on a machine. */
    public void lend(TaskLoan loan) {
        parts.advanceVersion();
        loans.add(loan);
        tasks.markElsewhere(loan.firstTask, loan.endTask);
    }

    /**
     * Takes back a loan that has ended in the remote cell's store: each of its tasks is either done
     * or placed by this cell again. The loan remains in the record until {@link #removeLoan}.
     *
     * @param doneInLoan one bit per task, set if the task is done; bit 0 is the loan's first task
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

    /** Removes a loan that is no longer in the stored loan record. */
    public void removeLoan(TaskLoan loan) {
        loans.remove(loan);
    }

    // ---- parts and changes that are not stored yet ----------------------------------------------

    /** The version of the job; increases with every change that has to be stored. */
    public int version() {
        return parts.version();
    }

    /** The number of parts of the job. */
    public int partCount() {
        return parts.count();
    }

    /** The part at the index, counted from 0. */
    public JobPart part(int index) {
        return parts.get(index);
    }

    List<JobPart> allParts() {
        return parts.all();
    }

    /** The index of the part that contains the task. */
    public int partIndexOf(int task) {
        return parts.indexOf(task);
    }

    /** The last task of the part that contains the task; may exceed the job's last task. */
    public int lastTaskOfPart(int task) {
        return parts.endTask(parts.indexOf(task)) - 1;
    }

    boolean hasPartsOfAtMost(int taskCount) {
        return parts.tasksPerPart() <= taskCount;
    }

    /** Marks the part that contains the task as changed since its last write, and returns it. */
    JobPart markDirty(int task) {
        return parts.markDirty(task);
    }

    JobPart markPartDirty(int index) {
        return parts.markDirty(parts.firstTask(index));
    }

    void markAllDirty() {
        parts.markAllDirty();
    }

    /** Marks the part that contains the task as having a placement that is not stored yet. */
    JobPart markPlacementDirty(int task) {
        return parts.markPlacementDirty(task);
    }

    /** Whether any part of the job has a record in the store. */
    public boolean hasPartRecords() {
        return parts.hasRecords();
    }

    /**
     * Applies a committed migration, which rewrote the job's record with another part size. The
     * revisions of the new parts' records are unknown until {@link JobPart#markWritten}.
     */
    public void applyMigration(JobRecord migrated, long atRevision) {
        record = migrated;
        revision = atRevision;
        parts.recreate(migrated.tasksPerPart(), liveAttempts.values());
    }

    // ---- the records of the parts ---------------------------------------------------------------

    /**
     * Whether one more attempt of the task can be added without making its part's record longer
     * than {@code maxRecordBytes}.
     */
    public boolean fitsRecord(int task, int maxRecordBytes) {
        return parts.fitsRecord(task, maxRecordBytes);
    }

    /**
     * Whether all tasks can be on machines at once, each on a different one, without making any
     * part's record longer than {@code maxRecordBytes}.
     */
    boolean allTasksFitRecords(int maxRecordBytes) {
        return allTasksFitRecords(spec, parts.tasksPerPart(), maxRecordBytes);
    }

    /** Like {@link #allTasksFitRecords(int)}, for a job that does not exist yet. */
    public static boolean allTasksFitRecords(JobSpec spec, int tasksPerPart, int maxRecordBytes) {
        return JobParts.allTasksFitRecords(spec, tasksPerPart, maxRecordBytes);
    }

    /** The record of the part in its current state; see {@link PartRecord}. */
    public Map<String, Object> partRecord(int part) {
        return partRecord(part, parts.tasksPerPart());
    }

    /**
     * The record that a part would have with {@code tasksPerPart} tasks per part, or empty if the
     * part has neither done tasks nor attempts and needs no record.
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
     * Restores a part's done tasks and the attempt counter from its record. The caller restores the
     * returned attempts, as it knows the machines.
     *
     * @throws io.kitepath.core.model.InvalidInputException if it is not this part's record
     */
    List<PartRecord.PlacedAttempt> readPart(int part, Object value, long partRevision) {
        PartRecord partRecord = PartRecord.of(value);
        parts.get(part).markRecordFound(partRevision);
        raiseNextAttempt(partRecord.nextAttempt());
        int firstTask = parts.firstTask(part);
        BitSet doneInPart = partRecord.doneTasks();
        List<PartRecord.PlacedAttempt> placed = partRecord.placedAttempts();
        PartRecord.requireTasksBelow(spec.taskCount(), firstTask + doneInPart.length(), placed);
        for (int i = doneInPart.nextSetBit(0); i >= 0; i = doneInPart.nextSetBit(i + 1)) {
            tasks.markDone(firstTask + i);
        }
        // A part gets a record only after a task was placed, so all dependencies are done.
        dependencyState.unmet.clear();
        startGoals.restoreEligibleSince(partRecord.eligibleSinceMillis());
        return placed;
    }

    /** The number of tasks in the part. */
    int taskCountOfPart(int part) {
        return Math.min(spec.taskCount(), parts.endTask(part)) - parts.firstTask(part);
    }

    /**
     * Marks the part's record as unreadable. It is unknown which of its tasks are done or on
     * machines, so no task of the job may be placed, and the record is left unchanged.
     */
    void markUnreadable(int part) {
        isUnreadable = true;
        parts.get(part).markUnreadable();
    }

    /** Whether a record of the job is unreadable, so that none of its tasks may be placed. */
    boolean isUnreadable() {
        return isUnreadable;
    }

    // ---- display and logging --------------------------------------------------------------------

    /**
     * The job's progress, recounted at most once in {@code everySeconds}, as a job may have many
     * tasks and many status queries.
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
     * Formats the job's timings for the log, in seconds: its age, and how long ago its tasks were
     * placed and started.
     *
     * @param now in seconds on the steady clock
     * @param wallMillis in milliseconds since 1970
     */
    public String describeTimings(double now, double wallMillis) {
        return timeline.describe(spec, (wallMillis - submittedMillis) / 1000, now);
    }
}
