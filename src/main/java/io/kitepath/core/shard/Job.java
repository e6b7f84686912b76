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
    private static final int MOST_PER_ATTEMPT = 32;

    private static final double[] NOBODY = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};

    /**
     * A slice of the job's tasks, which is one record in the store; revision 0: not written yet.
     */
    public static final class Part {
        public final Job job;
        public final int index;
        private long revision;
        private int changed;

        /** The version of the last placing in it. */
        private int placed;

        private int written;

        /**
         * What its attempts take of its record, in bytes, and how many of them are on each machine.
         */
        private int liveBytes;

        private final Map<String, Integer> on = new HashMap<>();

        Part(Job job, int index) {
            this.job = job;
            this.index = index;
        }

        /** The revision of its record, 0 if there is none. */
        public long revision() {
            return revision;
        }

        /** Whether it differs from its record. */
        public boolean due() {
            return changed > written;
        }

        /** Whether a placing in it is not in its record, which nothing may start before. */
        boolean placingDue() {
            return placed > written;
        }

        /** Nothing about it is in the store, and nothing needs to be. */
        public void needsNoRecord() {
            written = job.version;
        }

        void touched() {
            changed = job.version;
        }

        /** An attempt of it is live (1), or no more (-1). */
        private void count(Attempt attempt, int sign) {
            int machines = on.merge(attempt.machine.id, sign, Integer::sum);
            boolean first = sign > 0 ? machines == 1 : machines == 0;
            if (machines == 0) {
                on.remove(attempt.machine.id);
            }
            liveBytes +=
                    sign
                            * (JsonSize.digits(attempt.task)
                                    + JsonSize.digits(attempt.number)
                                    + 4
                                    + (first ? attempt.machine.id.length() + 8 : 0));
        }

        /** Its record holds everything up to that version of the job. */
        void recorded(int version, long atRevision) {
            revision = atRevision;
            written = version;
        }
    }

    public final JobSpec spec;

    /** Milliseconds since 1970, by the clock of the node that accepted it. */
    public final double submittedMs;

    /** The record on which every write about the job depends, and its revision. */
    public final String key;

    private long revision;

    /** Whether another cell is its home, which lent some of its tasks to this one. */
    public final boolean guest;

    private Part[] parts;
    private int partSize;

    /** What its record says; null of a guest, whose record is its loan's. */
    private JobRecord record;

    /** Jobs that it needs and that are not known to be done. */
    final Set<String> unmet = new LinkedHashSet<>();

    /** A job before it is cancelled, so it will be. */
    boolean doomed;

    /**
     * From when on it could start, by the time of day: its submission, or the end of the last job
     * that it needed.
     */
    private double sinceMs;

    /** The highest of its own and of all jobs that need it. */
    private JobSpec.Priority priority;

    /**
     * By when it has to be done for the jobs that need it, the soonest and the latest that is still
     * worth it.
     */
    private double[] behindMs = NOBODY;

    final BitSet done = new BitSet();

    /**
     * Tasks that are not this cell's to place: lent to another, or of a guest those that were not
     * lent to us.
     */
    private final BitSet away = new BitSet();

    /** What of it is lent to other cells; see {@link TaskLoan}. */
    private final List<TaskLoan> loans = new ArrayList<>();

    /** The revision of the record of its loans, 0 if there is none. */
    private long lentRevision;

    private boolean lentBusy;

    /** Its user asked to cancel it; it is over once no other cell may run anything of it. */
    private boolean leaving;

    final TreeMap<Integer, Attempt> live = new TreeMap<>();
    private final SortedMap<Integer, Attempt> liveView = Collections.unmodifiableSortedMap(live);

    /** Proven over, but not written yet. */
    final List<Attempt> unwritten = new ArrayList<>();

    /** Attempts that are wanted stopped. */
    int stopping;

    /** When its tasks have to start to meet what is expected of it, the soonest first. */
    private double[] goalsMs;

    long nextAttempt = 1;
    private int version = 1;

    /** Done or cancelled; kept only until all attempts are proven over. */
    boolean over;

    private boolean guaranteed;

    /** Whether it fitted into its team's guarantee when this holder saw it first; null before. */
    private Boolean fitted;

    /** Past all that is expected of it, which is counted once. */
    boolean missed;

    double notBefore;

    /** Machines on which this job's tasks failed, and how often in all. */
    final Set<String> failedOn = new HashSet<>();

    int failures;
    int successes;

    /**
     * Tries that failed in a row since it is held to be mistaken, and the last one's attempt
     * number.
     */
    int triesFailed;

    long lastFailed;

    /** The longest that a task of it ran before it failed. */
    double failedWithinS;

    /**
     * Of this holder's placings and of the starts it saw: how many, when on average, and when the
     * last one was.
     */
    final Times placed = new Times();

    final Times ran = new Times();

    /** Moments on the steady clock, in seconds. */
    static final class Times {
        private int count;
        private double sum;
        private double last;

        void add(double at) {
            count++;
            sum += at;
            last = Math.max(last, at);
        }

        /** How long before {@code now} they were, on average and the last of them. */
        String before(double now) {
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
        this.key = key;
        this.guest = guest;
        this.submittedMs = submittedMs;
        this.sinceMs = submittedMs;
        this.priority = spec.priority();
        this.goalsMs = Arrays.stream(startWithinS).map(g -> submittedMs + g * 1000).toArray();
        this.revision = revision;
        layOut(partSize);
    }

    private void layOut(int tasks) {
        partSize = tasks;
        parts = new Part[(spec.taskCount() + partSize - 1) / partSize];
        for (int i = 0; i < parts.length; i++) {
            parts[i] = new Part(this, i);
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
        job.attemptsFrom(record.nextAttempt());
        return job;
    }

    /** What its record says, as of its acceptance or its last lay-out. */
    public JobRecord record() {
        return record != null ? record : new JobRecord(spec, submittedMs, List.of(), 0, 0);
    }

    /** The revision of the record on which every write about the job depends. */
    public long revision() {
        return revision;
    }

    /**
     * Tasks {@code from} to before {@code until} of a job whose home is another cell; {@code key}:
     * of that loan.
     */
    public static Job guest(
            JobSpec spec,
            double submittedMs,
            double[] startWithinS,
            String key,
            long revision,
            int partSize,
            int from,
            int until) {
        Job job = new Job(spec, submittedMs, startWithinS, key, revision, partSize, true);
        job.away.set(0, from);
        job.away.set(until, spec.taskCount());
        return job;
    }

    public boolean over() {
        return over;
    }

    /** Its loans, in the order of their numbers. */
    public List<TaskLoan> loans() {
        return Collections.unmodifiableList(loans);
    }

    public long lentRevision() {
        return lentRevision;
    }

    public void lentRecorded(long atRevision) {
        lentRevision = atRevision;
    }

    /** From now on these tasks are not placed here. None of them may be done or on a machine. */
    public void lend(TaskLoan loan) {
        version++;
        loans.add(loan);
        away.set(loan.from, loan.until);
    }

    /**
     * What the other cell's store says is over: its tasks are done, or ours to place again. It
     * stays on the record until {@link #forget}.
     */
    public void close(TaskLoan loan, BitSet doneOfIt) {
        loan.closed = true;
        away.clear(loan.from, loan.until);
        version++;
        for (int i = doneOfIt.nextSetBit(0);
                i >= 0 && i < loan.tasks();
                i = doneOfIt.nextSetBit(i + 1)) {
            done.set(loan.from + i);
            parts[partOf(loan.from + i)].touched();
        }
    }

    /** The store has no record of it any more. */
    public void forget(TaskLoan loan) {
        loans.remove(loan);
    }

    /** Its record of loans is being written by whoever keeps them. */
    public boolean lentBusy() {
        return lentBusy;
    }

    public void lentBusy(boolean so) {
        lentBusy = so;
    }

    /**
     * The next attempt's number is at least that one, which another cell's attempts have not
     * reached.
     */
    public void attemptsFrom(long number) {
        nextAttempt = Math.max(nextAttempt, number);
    }

    public long nextAttempt() {
        return nextAttempt;
    }

    /**
     * Of the tasks from that one to before the other, those that are done, counted from the first.
     */
    public byte[] doneFrom(int from, int until) {
        return done.get(from, until).toByteArray();
    }

    public boolean leaving() {
        return leaving;
    }

    /** Its user wants it cancelled: nothing more of it is placed. */
    public void leave() {
        leaving = true;
    }

    /** Its tasks that are this cell's and not done, or lent. */
    public int left() {
        return spec.taskCount() - done.cardinality() - (guest ? away.cardinality() : 0);
    }

    public boolean isDone(int task) {
        return done.get(task);
    }

    /** Whether the task is this cell's to place. */
    public boolean placeable(int task) {
        return !done.get(task) && !away.get(task) && !live.containsKey(task);
    }

    /** How many goals there are for its start, the soonest first. */
    public int goals() {
        return goalsMs.length;
    }

    /** By when its tasks have to start to meet that goal, in milliseconds since 1970. */
    public double goalMs(int goal) {
        return goalsMs[goal];
    }

    /** Whether it is past all that is expected of it. */
    public boolean missed() {
        return missed;
    }

    /** Whether it is known if it fitted into its team's guarantee when it came. */
    public boolean claimed() {
        return fitted != null;
    }

    public void claims(boolean fits) {
        fitted = fits;
    }

    public boolean fittedWhenItCame() {
        return Boolean.TRUE.equals(fitted);
    }

    /**
     * Whether it fits into its team's guarantee together with the team's earlier unfinished jobs.
     */
    public boolean guaranteed() {
        return guaranteed;
    }

    public void guarantee(boolean within) {
        guaranteed = within;
    }

    /** The lower, the sooner served: work within its team's guarantee first, then by priority. */
    public int rank() {
        return (guaranteed ? 0 : JobSpec.Priority.values().length) + priority.ordinal();
    }

    // ---- jobs before it, and behind it ----------------------------------------------------------

    /** Jobs that have to be done before any of its tasks starts. */
    public List<String> needs() {
        return record == null ? List.of() : record.dependencies();
    }

    /** Those of them that are not known to be done. */
    public Set<String> unmet() {
        return Collections.unmodifiableSet(unmet);
    }

    /** Whether it can't start yet, or ever, for the jobs that it needs. */
    public boolean held() {
        return doomed || !unmet.isEmpty();
    }

    /** Whether a job before it is cancelled, so that it has to be cancelled too. */
    public boolean doomed() {
        return doomed;
    }

    /** From when on it could start, in milliseconds since 1970. */
    public double sinceMs() {
        return sinceMs;
    }

    /** For how many seconds after its submission it waited for others. */
    public double heldS() {
        return (sinceMs - submittedMs) / 1000;
    }

    /** The highest of its own and of all jobs that need it: the one that counts. */
    public JobSpec.Priority priority() {
        return priority;
    }

    /** Whether a deadline counts for it: its own, or one of a job that needs it. */
    public boolean hasDeadline() {
        return spec.deadlineSeconds() != null || behindMs != NOBODY;
    }

    /**
     * By when it should be done for the sake of a deadline, in milliseconds since 1970; infinite
     * without one.
     */
    public double dueMs() {
        double own =
                spec.deadlineSeconds() == null
                        ? Double.POSITIVE_INFINITY
                        : submittedMs + 1000 * spec.deadlineSeconds();
        return Math.min(own, behindMs[0]);
    }

    double[] behindMs() {
        return behindMs;
    }

    /** The last job that it needed was done then. */
    void ready(double atMs, ClusterSettings settings) {
        sinceMs = Math.max(submittedMs, atMs);
        aim(settings);
    }

    /** What the jobs that need it ask of it; returns whether that is news. */
    boolean serves(JobSpec.Priority highest, double[] endByMs, ClusterSettings settings) {
        if (highest == priority && Arrays.equals(endByMs, behindMs)) {
            return false;
        }
        priority = highest;
        behindMs = Arrays.equals(endByMs, NOBODY) ? NOBODY : endByMs;
        aim(settings);
        return true;
    }

    private void aim(ClusterSettings settings) {
        double[] own =
                Arrays.stream(settings.startDeadlinesSeconds(spec, heldS()))
                        .map(g -> submittedMs + g * 1000)
                        .toArray();
        if (behindMs == NOBODY) {
            goalsMs = own;
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
                Arrays.stream(behindMs)
                        .map(ms -> ms - spec.estimatedSeconds() * 1000)
                        .distinct()
                        .toArray();
        goalsMs =
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
    public boolean recordable(int task, int bytes) {
        return partBytes(partOf(task)) + MOST_PER_ATTEMPT <= bytes;
    }

    /** The last task in the part that this task is in. */
    public int lastOfPart(int task) {
        return (partOf(task) + 1) * partSize - 1;
    }

    /** At least the bytes of the part's record as it is now. */
    public int partBytes(int part) {
        return PART_BYTES + (partSize + 7) / 8 * 4 / 3 + 4 + parts[part].liveBytes;
    }

    /**
     * Whether all tasks of each part may be on machines of their own and its record still has that
     * many bytes at most.
     */
    boolean recordableWhole(int bytes) {
        return recordableWhole(spec, partSize, bytes);
    }

    /** The same for a job that is not there yet. */
    public static boolean recordableWhole(JobSpec spec, int partTasks, int bytes) {
        int at = Math.min(spec.taskCount(), partTasks);
        return PART_BYTES + (partTasks + 7) / 8 * 4 / 3 + 4 + at * MOST_PER_ATTEMPT <= bytes;
    }

    /** Whether its parts hold no more than so many tasks. */
    boolean narrow(int tasks) {
        return partSize <= tasks;
    }

    void liveAdd(Attempt attempt) {
        live.put(attempt.task, attempt);
        parts[partOf(attempt.task)].count(attempt, 1);
    }

    void liveRemove(Attempt attempt) {
        if (live.remove(attempt.task, attempt)) {
            parts[partOf(attempt.task)].count(attempt, -1);
        }
    }

    /**
     * Its record was written anew at that revision; nothing is known of its parts' records until
     * they are told.
     */
    public void laidOut(JobRecord anew, long atRevision) {
        record = anew;
        revision = atRevision;
        layOut(anew.tasksPerPart());
        live.values().forEach(attempt -> parts[partOf(attempt.task)].count(attempt, 1));
    }

    /** Seconds on the steady clock before which nothing of it is placed. */
    public double notBefore() {
        return notBefore;
    }

    /** Its attempts that are not proven over, by task. */
    public SortedMap<Integer, Attempt> live() {
        return liveView;
    }

    /** Whether some of its attempts are wanted stopped. */
    public boolean stopping() {
        return stopping > 0;
    }

    /** Machines on which its tasks failed. */
    public Set<String> failedOn() {
        return Collections.unmodifiableSet(failedOn);
    }

    public int tasksDone() {
        return done.cardinality();
    }

    public int version() {
        return version;
    }

    public Part part(int index) {
        return parts[index];
    }

    /** How many parts it has. */
    public int parts() {
        return parts.length;
    }

    List<Part> allParts() {
        return List.of(parts);
    }

    public int partOf(int task) {
        return task / partSize;
    }

    /** The part that the task is in differs from its record now. */
    Part touch(int task) {
        version++;
        Part part = parts[partOf(task)];
        part.touched();
        return part;
    }

    Part touchPart(int index) {
        return touch(index * partSize);
    }

    /** The same for all its parts. */
    void touchAll() {
        version++;
        for (Part part : parts) {
            part.touched();
        }
    }

    /** The part that the task is in has a placing which its record lacks. */
    Part placing(int task) {
        Part part = touch(task);
        part.placed = version;
        return part;
    }

    public boolean complete() {
        return spec.shape() != JobSpec.Shape.SERVICE && left() == 0;
    }

    private JobProgress progress;
    private double progressAt;

    /** Counted at most once in {@code everyS}: guards against a large job that many ask about. */
    JobProgress progress(double now, double everyS, PendingReasons notes) {
        if (progress == null || now - progressAt > everyS) {
            int running =
                    (int)
                            live.values().stream()
                                    .filter(attempt -> attempt.state == Heartbeat.TaskState.RUNNING)
                                    .count();
            progress = new JobProgress(spec.id(), done.cardinality(), running, notes.of(this, now));
            progressAt = now;
        }
        return progress;
    }

    /**
     * For the log, in seconds: how long it took, and how long before its end its tasks were placed
     * and began.
     */
    public String took(double now, double wallMs) {
        String deadline =
                spec.deadlineSeconds() == null ? "" : String.format(" of %.1f", spec.deadlineSeconds());
        return String.format(
                "%s, %d tasks of %.0f s, after %.1f s%s; placed %s, begun %s before",
                spec.jobClass(),
                spec.taskCount(),
                spec.estimatedSeconds(),
                (wallMs - submittedMs) / 1000,
                deadline,
                placed.before(now),
                ran.before(now));
    }

    /** Whether any of its tasks has run, or was seen on a machine, as far as this holder knows. */
    public boolean begun() {
        return ran.count > 0
                || done.cardinality() > 0
                || live.values().stream().anyMatch(attempt -> attempt.seen);
    }

    /** Whether the store still has anything about its tasks. */
    public boolean recorded() {
        for (Part part : parts) {
            if (part.revision > 0) {
                return true;
            }
        }
        return false;
    }

    public int waiting() {
        return over || leaving || held() || complete()
                ? 0
                : spec.taskCount() - done.cardinality() - away.cardinality() - live.size();
    }

    /** The first task from {@code from} on that is neither done nor placed, or -1. */
    public int nextWaiting(int from) {
        for (int t = done.nextClearBit(from); t < spec.taskCount(); t = done.nextClearBit(t + 1)) {
            if (!live.containsKey(t) && !away.get(t)) {
                return t;
            }
        }
        return -1;
    }

    public List<Attempt> liveIn(int part) {
        return new ArrayList<>(live.subMap(part * partSize, (part + 1) * partSize).values());
    }

    public Map<String, Object> partRecord(int part) {
        return partRecord(part, partSize);
    }

    /** The same of a part that holds so many tasks; null if there is nothing to say in it. */
    public Map<String, Object> partRecordOf(int part, int tasks) {
        boolean said =
                !live.subMap(part * tasks, (part + 1) * tasks).isEmpty()
                        || done.nextSetBit(part * tasks) >= 0
                                && done.nextSetBit(part * tasks) < (part + 1) * tasks;
        return said ? partRecord(part, tasks) : null;
    }

    private Map<String, Object> partRecord(int part, int tasks) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("next", nextAttempt);
        int from = part * tasks;
        BitSet bits = done.get(from, Math.min(spec.taskCount(), from + tasks));
        m.put("done", Base64.getEncoder().encodeToString(bits.toByteArray()));
        Map<String, List<Object>> on = new HashMap<>();
        for (Attempt attempt : live.subMap(from, from + tasks).values()) {
            List<Object> l = on.computeIfAbsent(attempt.machine.id, key -> new ArrayList<>());
            l.add((long) attempt.task);
            l.add(attempt.number);
        }
        Map<String, Object> live = new LinkedHashMap<>();
        on.keySet().stream()
                .sorted(Comparator.naturalOrder())
                .forEach(key -> live.put(key, on.get(key)));
        m.put("live", live);
        if (!needs().isEmpty()) {
            m.put("ready", sinceMs);
        }
        return m;
    }

    /**
     * How far the records of a job's parts say that it is: tasks done, and placed, running or not.
     */
    public static JobProgress recorded(String id, List<Object> records) {
        int done = 0;
        int placed = 0;
        for (Object record : records) {
            DocumentReader document = DocumentReader.of(record);
            done += doneBits(document).cardinality();
            for (Object on : ((Map<?, ?>) document.raw("live")).values()) {
                placed += ((List<?>) on).size() / 2;
            }
        }
        return new JobProgress(id, done, placed, null);
    }

    private static BitSet doneBits(DocumentReader part) {
        return BitSet.valueOf(Base64.getDecoder().decode(part.text("done")));
    }

    /**
     * Reads a part's done bits and attempt counter; the attempts are for the caller, which knows
     * the machines.
     */
    Map<?, ?> readPart(int part, Object record, long partRevision) {
        DocumentReader document = DocumentReader.of(record);
        parts[part].revision = partRevision;
        nextAttempt = Math.max(nextAttempt, document.count("next"));
        BitSet bits = doneBits(document);
        for (int i = bits.nextSetBit(0); i >= 0; i = bits.nextSetBit(i + 1)) {
            done.set(part * partSize + i);
        }
        // It was placed, so all that it needs is done.
        unmet.clear();
        sinceMs = Math.max(sinceMs, document.numberOr("ready", 0, 0));
        return document.raw("live") instanceof Map<?, ?> m ? m : Map.of();
    }
}
