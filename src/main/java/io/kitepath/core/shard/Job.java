package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JsonSize;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.DoubleStream;

/** A job in the holder's memory: its tasks' progress, and what of that the store knows already. */
public final class Job {
    /** What it needs of a record for all but attempts: its names, two numbers. */
    private static final int PART_BYTES = 110;

    /** An attempt on a machine of its own. */
    private static final int MAX_ATTEMPT_BYTES = 32;

    private static final double[] NO_DEPENDENTS_DUE = {
        Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY
    };

    /**
     * A slice of the job's tasks, which is one record in the store; revision 0: not written yet.
     */
    public static final class JobPart {
        public final Job job;
        public final int index;
        private long revision;
        private int changedVersion;

        /** The version of the last placing in it. */
        private int placedVersion;

        private int writtenVersion;

        /**
         * What its attempts take of its record, in bytes, and how many of them are on each machine.
         */
        private int liveBytes;

        private final Map<String, Integer> attemptsPerMachine = new HashMap<>();

        JobPart(Job job, int index) {
            this.job = job;
            this.index = index;
        }

        /** The revision of its record, 0 if there is none. */
        public long revision() {
            return revision;
        }

        /** Whether it differs from its record. */
        public boolean isDirty() {
            return changedVersion > writtenVersion;
        }

        /** Whether a placing in it is not in its record, which nothing may start before. */
        boolean hasUnwrittenPlacement() {
            return placedVersion > writtenVersion;
        }

        /** Nothing about it is in the store, and nothing needs to be. */
        public void markRecordUnneeded() {
            writtenVersion = job.version;
        }

        void markDirty() {
            changedVersion = job.version;
        }

        /** An attempt of it is live (1), or no more (-1). */
        private void countAttempt(Attempt attempt, int sign) {
            int machines = attemptsPerMachine.merge(attempt.machine.id, sign, Integer::sum);
            boolean first = sign > 0 ? machines == 1 : machines == 0;
            if (machines == 0) {
                attemptsPerMachine.remove(attempt.machine.id);
            }
            liveBytes +=
                    sign
                            * (JsonSize.digits(attempt.task)
                                    + JsonSize.digits(attempt.number)
                                    + 4
                                    + (first ? attempt.machine.id.length() + 8 : 0));
        }

        /** Its record holds everything up to that version of the job. */
        void markWritten(int version, long atRevision) {
            revision = atRevision;
            writtenVersion = version;
        }
    }

    public final JobSpec spec;

    /** Milliseconds since 1970, by the clock of the node that accepted it. */
    public final double submittedMillis;

    /** The record on which every write about the job depends, and its revision. */
    public final String recordKey;

    private long revision;

    /** Whether another cell is its home, which lent some of its tasks to this one. */
    public final boolean borrowed;

    private JobPart[] partCount;
    private int tasksPerPart;

    /** What its record says; null of a guest, whose record is its loan's. */
    private JobRecord record;

    /** Jobs that it needs and that are not known to be done. */
    final Set<String> unmetDependencies = new LinkedHashSet<>();

    /** A job before it is cancelled, so it will be. */
    boolean hasCancelledDependency;

    /**
     * From when on it could start, by the time of day: its submission, or the end of the last job
     * that it needed.
     */
    private double eligibleSinceMillis;

    /** The highest of its own and of all jobs that need it. */
    private JobSpec.Priority effectivePriority;

    /**
     * By when it has to be done for the jobs that need it, the soonest and the latest that is still
     * worth it.
     */
    private double[] dependentsDueMillis = NO_DEPENDENTS_DUE;

    final BitSet doneTasks = new BitSet();

    /**
     * Tasks that are not this cell's to place: lent to another, or of a guest those that were not
     * lent to us.
     */
    private final BitSet tasksElsewhere = new BitSet();

    /** What of it is lent to other cells; see {@link TaskLoan}. */
    private final List<TaskLoan> loans = new ArrayList<>();

    /** The revision of the record of its loans, 0 if there is none. */
    private long loansRevision;

    private boolean writingLoans;

    /** Its user asked to cancel it; it is over once no other cell may run anything of it. */
    private boolean isCancelRequested;

    final TreeMap<Integer, Attempt> liveAttempts = new TreeMap<>();
    private final SortedMap<Integer, Attempt> liveView =
            Collections.unmodifiableSortedMap(liveAttempts);

    /** Proven over, but not written yet. */
    final List<Attempt> unwrittenEnds = new ArrayList<>();

    /** Attempts that are wanted stopped. */
    int hasStoppingAttempts;

    /** When its tasks have to start to meet what is expected of it, the soonest first. */
    private double[] startGoalsMillis;

    long nextAttempt = 1;
    private int version = 1;

    /** Done or cancelled; kept only until all attempts are proven over. */
    boolean isFinished;

    private boolean isWithinGuarantee;

    /** Whether it fitted into its team's guarantee when this holder saw it first; null before. */
    private Boolean fittedOnArrival;

    /** Past all that is expected of it, which is counted once. */
    boolean hasMissedAllGoals;

    double notBefore;

    /** Machines on which this job's tasks failed, and how often in all. */
    final Set<String> failedMachines = new HashSet<>();

    int failureCount;
    int successCount;

    /**
     * Tries that failed in a row since it is held to be mistaken, and the last one's attempt
     * number.
     */
    int failedRetries;

    long lastFailedRetryNumber;

    /** The longest that a task of it ran before it failed. */
    double longestFailedRunSeconds;

    /**
     * Of this holder's placings and of the starts it saw: how many, when on average, and when the
     * last one was.
     */
    final EventTimes placementTimes = new EventTimes();

    final EventTimes startTimes = new EventTimes();

    /** Moments on the steady clock, in seconds. */
    static final class EventTimes {
        private int count;
        private double sum;
        private double last;

        void add(double at) {
            count++;
            sum += at;
            last = Math.max(last, at);
        }

        /** How long before {@code now} they were, on average and the last of them. */
        String describeBefore(double now) {
            return count == 0
                    ? "unknown"
                    : String.format("%.1f (the last %.1f)", now - sum / count, now - last);
        }
    }

    /**
     * @param startWithinS within what time after its submission it has to start to meet each of its
     *     goals, in seconds
     * @param key of its open record
     * @param revision of its open record
     * @param partSize tasks in one part
     */
    public Job(
            JobSpec spec,
            double submittedMs,
            double[] startWithinS,
            String key,
            long revision,
            int partSize) {
        this(spec, submittedMs, startWithinS, key, revision, partSize, false);
    }

    private Job(
            JobSpec spec,
            double submittedMs,
            double[] startWithinS,
            String key,
            long revision,
            int partSize,
            boolean guest) {
        this.spec = spec;
        this.recordKey = key;
        this.borrowed = guest;
        this.submittedMillis = submittedMs;
        this.eligibleSinceMillis = submittedMs;
        this.effectivePriority = spec.priority();
        this.startGoalsMillis =
                Arrays.stream(startWithinS).map(g -> submittedMs + g * 1000).toArray();
        this.revision = revision;
        createParts(partSize);
    }

    private void createParts(int tasks) {
        tasksPerPart = tasks;
        partCount = new JobPart[(spec.taskCount() + tasksPerPart - 1) / tasksPerPart];
        for (int i = 0; i < partCount.length; i++) {
            partCount[i] = new JobPart(this, i);
        }
    }

    /**
     * A job of this cell.
     *
     * @param partTasks how many tasks are in one part where the record does not say
     */
    public static Job of(
            JobRecord record, ClusterSettings settings, String key, long revision, int partTasks) {
        Job job =
                new Job(
                        record.spec(),
                        record.submittedMillis(),
                        settings.startDeadlinesSeconds(record.spec()),
                        key,
                        revision,
                        record.tasksPerPart() > 0 ? record.tasksPerPart() : partTasks,
                        false);
        job.record = record;
        job.raiseNextAttempt(record.nextAttempt());
        return job;
    }

    /** What its record says, as of its acceptance or its last lay-out. */
    public JobRecord record() {
        return record != null ? record : new JobRecord(spec, submittedMillis, List.of(), 0, 0);
    }

    /** The revision of the record on which every write about the job depends. */
    public long revision() {
        return revision;
    }

    /**
     * Tasks {@code from} to before {@code until} of a job whose home is another cell; {@code key}:
     * of that loan.
     */
    public static Job borrowed(
            JobSpec spec,
            double submittedMs,
            double[] startWithinS,
            String key,
            long revision,
            int partSize,
            int from,
            int until) {
        Job job = new Job(spec, submittedMs, startWithinS, key, revision, partSize, true);
        job.tasksElsewhere.set(0, from);
        job.tasksElsewhere.set(until, spec.taskCount());
        return job;
    }

    public boolean isFinished() {
        return isFinished;
    }

    /** Its loans, in the order of their numbers. */
    public List<TaskLoan> loans() {
        return Collections.unmodifiableList(loans);
    }

    public long loansRevision() {
        return loansRevision;
    }

    public void setLoansRevision(long atRevision) {
        loansRevision = atRevision;
    }

    /** From now on these tasks are not placed here. None of them may be done or on a machine. */
    public void lend(TaskLoan loan) {
        version++;
        loans.add(loan);
        tasksElsewhere.set(loan.firstTask, loan.endTask);
    }

    /**
     * What the other cell's store says is over: its tasks are done, or ours to place again. It
     * stays on the record until {@link #forgetLoan}.
     */
    public void closeLoan(TaskLoan loan, BitSet doneOfIt) {
        loan.isClosed = true;
        tasksElsewhere.clear(loan.firstTask, loan.endTask);
        version++;
        for (int i = doneOfIt.nextSetBit(0);
                i >= 0 && i < loan.taskCount();
                i = doneOfIt.nextSetBit(i + 1)) {
            doneTasks.set(loan.firstTask + i);
            partCount[partOf(loan.firstTask + i)].markDirty();
        }
    }

    /** The store has no record of it any more. */
    public void forgetLoan(TaskLoan loan) {
        loans.remove(loan);
    }

    /** Its record of loans is being written by whoever keeps them. */
    public boolean writingLoans() {
        return writingLoans;
    }

    public void writingLoans(boolean so) {
        writingLoans = so;
    }

    /**
     * The next attempt's number is at least that one, which another cell's attempts have not
     * reached.
     */
    public void raiseNextAttempt(long number) {
        nextAttempt = Math.max(nextAttempt, number);
    }

    public long nextAttempt() {
        return nextAttempt;
    }

    /**
     * Of the tasks from that one to before the other, those that are done, counted from the first.
     */
    public byte[] doneBitsOf(int from, int until) {
        return doneTasks.get(from, until).toByteArray();
    }

    public boolean isCancelRequested() {
        return isCancelRequested;
    }

    /** Its user wants it cancelled: nothing more of it is placed. */
    public void requestCancel() {
        isCancelRequested = true;
    }

    /** Its tasks that are this cell's and not done, or lent. */
    public int unfinishedTasks() {
        return spec.taskCount()
                - doneTasks.cardinality()
                - (borrowed ? tasksElsewhere.cardinality() : 0);
    }

    public boolean isDone(int task) {
        return doneTasks.get(task);
    }

    /** Whether the task is this cell's to place. */
    public boolean isPlaceable(int task) {
        return !doneTasks.get(task) && !tasksElsewhere.get(task) && !liveAttempts.containsKey(task);
    }

    /** How many goals there are for its start, the soonest first. */
    public int startGoalCount() {
        return startGoalsMillis.length;
    }

    /** By when its tasks have to start to meet that goal, in milliseconds since 1970. */
    public double startGoalMillis(int goal) {
        return startGoalsMillis[goal];
    }

    /** Whether it is past all that is expected of it. */
    public boolean hasMissedAllGoals() {
        return hasMissedAllGoals;
    }

    /** Whether it is known if it fitted into its team's guarantee when it came. */
    public boolean isGuaranteeClaimKnown() {
        return fittedOnArrival != null;
    }

    public void setGuaranteeClaim(boolean fits) {
        fittedOnArrival = fits;
    }

    public boolean wasWithinGuaranteeOnArrival() {
        return Boolean.TRUE.equals(fittedOnArrival);
    }

    /**
     * Whether it fits into its team's guarantee together with the team's earlier unfinished jobs.
     */
    public boolean isWithinGuarantee() {
        return isWithinGuarantee;
    }

    public void setWithinGuarantee(boolean within) {
        isWithinGuarantee = within;
    }

    /** The lower, the sooner served: work within its team's guarantee first, then by priority. */
    public int queueRank() {
        return (isWithinGuarantee ? 0 : JobSpec.Priority.values().length)
                + effectivePriority.ordinal();
    }

    // ---- jobs before it, and behind it ----------------------------------------------------------

    /** Jobs that have to be done before any of its tasks starts. */
    public List<String> dependencies() {
        return record == null ? List.of() : record.dependencies();
    }

    /** Those of them that are not known to be done. */
    public Set<String> unmetDependencies() {
        return Collections.unmodifiableSet(unmetDependencies);
    }

    /** Whether it can't start yet, or ever, for the jobs that it needs. */
    public boolean isHeld() {
        return hasCancelledDependency || !unmetDependencies.isEmpty();
    }

    /** Whether a job before it is cancelled, so that it has to be cancelled too. */
    public boolean hasCancelledDependency() {
        return hasCancelledDependency;
    }

    /** From when on it could start, in milliseconds since 1970. */
    public double eligibleSinceMillis() {
        return eligibleSinceMillis;
    }

    /** For how many seconds after its submission it waited for others. */
    public double heldSeconds() {
        return (eligibleSinceMillis - submittedMillis) / 1000;
    }

    /** The highest of its own and of all jobs that need it: the one that counts. */
    public JobSpec.Priority effectivePriority() {
        return effectivePriority;
    }

    /** Whether a deadline counts for it: its own, or one of a job that needs it. */
    public boolean hasDeadline() {
        return spec.deadlineSeconds() != null || dependentsDueMillis != NO_DEPENDENTS_DUE;
    }

    /**
     * By when it should be done for the sake of a deadline, in milliseconds since 1970; infinite
     * without one.
     */
    public double dueMillis() {
        double own =
                spec.deadlineSeconds() == null
                        ? Double.POSITIVE_INFINITY
                        : submittedMillis + 1000 * spec.deadlineSeconds();
        return Math.min(own, dependentsDueMillis[0]);
    }

    double[] dependentsDueMillis() {
        return dependentsDueMillis;
    }

    /** The last job that it needed was done then. */
    void becomeEligible(double atMs, ClusterSettings settings) {
        eligibleSinceMillis = Math.max(submittedMillis, atMs);
        recomputeStartGoals(settings);
    }

    /** What the jobs that need it ask of it; returns whether that is news. */
    boolean applyDependentsDemand(
            JobSpec.Priority highest, double[] endByMs, ClusterSettings settings) {
        if (highest == effectivePriority && Arrays.equals(endByMs, dependentsDueMillis)) {
            return false;
        }
        effectivePriority = highest;
        dependentsDueMillis =
                Arrays.equals(endByMs, NO_DEPENDENTS_DUE) ? NO_DEPENDENTS_DUE : endByMs;
        recomputeStartGoals(settings);
        return true;
    }

    private void recomputeStartGoals(ClusterSettings settings) {
        double[] own =
                Arrays.stream(settings.startDeadlinesSeconds(spec, heldSeconds()))
                        .map(g -> submittedMillis + g * 1000)
                        .toArray();
        if (dependentsDueMillis == NO_DEPENDENTS_DUE) {
            startGoalsMillis = own;
            return;
        }
        // What its own class is expected to do, and what those behind it need; what is only a habit
        // goes.
        boolean expected =
                spec.deadlineSeconds() != null
                        || settings.objectives().stream()
                                .anyMatch(
                                        objective -> objective.jobClass().equals(spec.jobClass()));
        double[] behind =
                Arrays.stream(dependentsDueMillis)
                        .map(ms -> ms - spec.estimatedSeconds() * 1000)
                        .distinct()
                        .toArray();
        startGoalsMillis =
                DoubleStream.concat(
                                Arrays.stream(behind),
                                expected ? Arrays.stream(own) : DoubleStream.empty())
                        .sorted()
                        .toArray();
    }

    // ---- records --------------------------------------------------------------------------------

    /**
     * Whether one more attempt of the task can be on record: its part's record would hold that many
     * bytes at most.
     */
    public boolean fitsRecord(int task, int bytes) {
        return partBytes(partOf(task)) + MAX_ATTEMPT_BYTES <= bytes;
    }

    /** The last task in the part that this task is in. */
    public int lastOfPart(int task) {
        return (partOf(task) + 1) * tasksPerPart - 1;
    }

    /** At least the bytes of the part's record as it is now. */
    public int partBytes(int part) {
        return PART_BYTES + (tasksPerPart + 7) / 8 * 4 / 3 + 4 + partCount[part].liveBytes;
    }

    /**
     * Whether all tasks of each part may be on machines of their own and its record still has that
     * many bytes at most.
     */
    boolean allTasksFitRecords(int bytes) {
        return allTasksFitRecords(spec, tasksPerPart, bytes);
    }

    /** The same for a job that is not there yet. */
    public static boolean allTasksFitRecords(JobSpec spec, int partTasks, int bytes) {
        int at = Math.min(spec.taskCount(), partTasks);
        return PART_BYTES + (partTasks + 7) / 8 * 4 / 3 + 4 + at * MAX_ATTEMPT_BYTES <= bytes;
    }

    /** Whether its parts hold no more than so many tasks. */
    boolean hasPartsOfAtMost(int tasks) {
        return tasksPerPart <= tasks;
    }

    void addLive(Attempt attempt) {
        liveAttempts.put(attempt.task, attempt);
        partCount[partOf(attempt.task)].countAttempt(attempt, 1);
    }

    void removeLive(Attempt attempt) {
        if (liveAttempts.remove(attempt.task, attempt)) {
            partCount[partOf(attempt.task)].countAttempt(attempt, -1);
        }
    }

    /**
     * Its record was written anew at that revision; nothing is known of its parts' records until
     * they are told.
     */
    public void applyMigration(JobRecord anew, long atRevision) {
        record = anew;
        revision = atRevision;
        createParts(anew.tasksPerPart());
        liveAttempts
                .values()
                .forEach(attempt -> partCount[partOf(attempt.task)].countAttempt(attempt, 1));
    }

    /** Seconds on the steady clock before which nothing of it is placed. */
    public double notBefore() {
        return notBefore;
    }

    /** Its attempts that are not proven over, by task. */
    public SortedMap<Integer, Attempt> liveAttempts() {
        return liveView;
    }

    /** Whether some of its attempts are wanted stopped. */
    public boolean hasStoppingAttempts() {
        return hasStoppingAttempts > 0;
    }

    /** Machines on which its tasks failed. */
    public Set<String> failedMachines() {
        return Collections.unmodifiableSet(failedMachines);
    }

    public int doneTaskCount() {
        return doneTasks.cardinality();
    }

    public int version() {
        return version;
    }

    public JobPart part(int index) {
        return partCount[index];
    }

    /** How many parts it has. */
    public int partCount() {
        return partCount.length;
    }

    List<JobPart> allParts() {
        return List.of(partCount);
    }

    public int partOf(int task) {
        return task / tasksPerPart;
    }

    /** The part that the task is in differs from its record now. */
    JobPart markDirty(int task) {
        version++;
        JobPart part = partCount[partOf(task)];
        part.markDirty();
        return part;
    }

    JobPart markPartDirty(int index) {
        return markDirty(index * tasksPerPart);
    }

    /** The same for all its parts. */
    void markAllDirty() {
        version++;
        for (JobPart part : partCount) {
            part.markDirty();
        }
    }

    /** The part that the task is in has a placing which its record lacks. */
    JobPart markPlacementDirty(int task) {
        JobPart part = markDirty(task);
        part.placedVersion = version;
        return part;
    }

    public boolean areAllTasksDone() {
        return spec.shape() != JobSpec.Shape.SERVICE && unfinishedTasks() == 0;
    }

    private JobProgress progress;
    private double progressCountedAt;

    /** Counted at most once in {@code everyS}: guards against a large job that many ask about. */
    JobProgress progress(double now, double everyS, PendingReasons notes) {
        if (progress == null || now - progressCountedAt > everyS) {
            int running =
                    (int)
                            liveAttempts.values().stream()
                                    .filter(attempt -> attempt.state == Heartbeat.TaskState.RUNNING)
                                    .count();
            progress =
                    new JobProgress(
                            spec.id(), doneTasks.cardinality(), running, notes.describe(this, now));
            progressCountedAt = now;
        }
        return progress;
    }

    /**
     * For the log, in seconds: how long it took, and how long before its end its tasks were placed
     * and began.
     */
    public String describeTimings(double now, double wallMs) {
        String deadline =
                spec.deadlineSeconds() == null
                        ? ""
                        : String.format(" of %.1f", spec.deadlineSeconds());
        return String.format(
                "%s, %d tasks of %.0f s, after %.1f s%s; placed %s, begun %s before",
                spec.jobClass(),
                spec.taskCount(),
                spec.estimatedSeconds(),
                (wallMs - submittedMillis) / 1000,
                deadline,
                placementTimes.describeBefore(now),
                startTimes.describeBefore(now));
    }

    /** Whether any of its tasks has run, or was seen on a machine, as far as this holder knows. */
    public boolean hasStarted() {
        return startTimes.count > 0
                || doneTasks.cardinality() > 0
                || liveAttempts.values().stream().anyMatch(attempt -> attempt.isSeen);
    }

    /** Whether the store still has anything about its tasks. */
    public boolean hasPartRecords() {
        for (JobPart part : partCount) {
            if (part.revision > 0) {
                return true;
            }
        }
        return false;
    }

    public int waitingTasks() {
        return isFinished || isCancelRequested || isHeld() || areAllTasksDone()
                ? 0
                : spec.taskCount()
                        - doneTasks.cardinality()
                        - tasksElsewhere.cardinality()
                        - liveAttempts.size();
    }

    /** The first task from {@code from} on that is neither done nor placed, or -1. */
    public int nextWaitingTask(int from) {
        for (int t = doneTasks.nextClearBit(from);
                t < spec.taskCount();
                t = doneTasks.nextClearBit(t + 1)) {
            if (!liveAttempts.containsKey(t) && !tasksElsewhere.get(t)) {
                return t;
            }
        }
        return -1;
    }

    public List<Attempt> liveAttemptsInPart(int part) {
        return new ArrayList<>(
                liveAttempts.subMap(part * tasksPerPart, (part + 1) * tasksPerPart).values());
    }

    public Map<String, Object> partRecord(int part) {
        return partRecord(part, tasksPerPart);
    }

    /** The same of a part that holds so many tasks; null if there is nothing to say in it. */
    public Map<String, Object> partRecordOf(int part, int tasks) {
        boolean said =
                !liveAttempts.subMap(part * tasks, (part + 1) * tasks).isEmpty()
                        || doneTasks.nextSetBit(part * tasks) >= 0
                                && doneTasks.nextSetBit(part * tasks) < (part + 1) * tasks;
        return said ? partRecord(part, tasks) : null;
    }

    private Map<String, Object> partRecord(int part, int tasks) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("next", nextAttempt);
        int from = part * tasks;
        BitSet bits = doneTasks.get(from, Math.min(spec.taskCount(), from + tasks));
        m.put("done", Base64.getEncoder().encodeToString(bits.toByteArray()));
        Map<String, List<Object>> on = new HashMap<>();
        for (Attempt attempt : liveAttempts.subMap(from, from + tasks).values()) {
            List<Object> l = on.computeIfAbsent(attempt.machine.id, key -> new ArrayList<>());
            l.add((long) attempt.task);
            l.add(attempt.number);
        }
        Map<String, Object> live = new LinkedHashMap<>();
        on.keySet().stream()
                .sorted(Comparator.naturalOrder())
                .forEach(key -> live.put(key, on.get(key)));
        m.put("live", live);
        if (!dependencies().isEmpty()) {
            m.put("ready", eligibleSinceMillis);
        }
        return m;
    }

    /**
     * How far the records of a job's parts say that it is: tasks done, and placed, running or not.
     */
    public static JobProgress hasPartRecords(String id, List<Object> records) {
        int done = 0;
        int placed = 0;
        for (Object record : records) {
            DocumentReader document = DocumentReader.of(record);
            done += decodeDoneBits(document).cardinality();
            for (Object on : ((Map<?, ?>) document.raw("live")).values()) {
                placed += ((List<?>) on).size() / 2;
            }
        }
        return new JobProgress(id, done, placed, null);
    }

    private static BitSet decodeDoneBits(DocumentReader part) {
        return BitSet.valueOf(Base64.getDecoder().decode(part.text("done")));
    }

    /**
     * Reads a part's done bits and attempt counter; the attempts are for the caller, which knows
     * the machines.
     */
    Map<?, ?> readPart(int part, Object record, long partRevision) {
        DocumentReader document = DocumentReader.of(record);
        partCount[part].revision = partRevision;
        nextAttempt = Math.max(nextAttempt, document.count("next"));
        BitSet bits = decodeDoneBits(document);
        for (int i = bits.nextSetBit(0); i >= 0; i = bits.nextSetBit(i + 1)) {
            doneTasks.set(part * tasksPerPart + i);
        }
        // It was placed, so all that it needs is done.
        unmetDependencies.clear();
        eligibleSinceMillis = Math.max(eligibleSinceMillis, document.numberOr("ready", 0, 0));
        return document.raw("live") instanceof Map<?, ?> m ? m : Map.of();
    }
}
