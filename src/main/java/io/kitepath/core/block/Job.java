package io.kitepath.core.block;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.Progress;
import io.kitepath.core.model.Report;
import io.kitepath.core.model.Tree;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** A job in the holder's memory: its tasks' progress, and what of that the store knows already. */
public final class Job {
    /** A slice of the job's tasks, which is one record in the store; revision 0: not written yet. */
    public static final class Part {
        public final Job job;
        public final int index;
        private long revision;
        private int changed;
        /** The version of the last placing in it. */
        private int placed;
        private int written;

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

        /** Its record holds everything up to that version of the job. */
        void recorded(int version, long atRevision) {
            revision = atRevision;
            written = version;
        }
    }

    public final JobSpec spec;
    /** Milliseconds since 1970, by the clock of the node that accepted it. */
    public final double submittedMs;
    /** Revision of the job's open record, on which every write about it depends. */
    public final long revision;
    private final Part[] parts;
    private final int partSize;
    final BitSet done = new BitSet();
    final TreeMap<Integer, Attempt> live = new TreeMap<>();
    private final SortedMap<Integer, Attempt> liveView = Collections.unmodifiableSortedMap(live);
    /** Proven over, but not written yet. */
    final List<Attempt> unwritten = new ArrayList<>();
    /** Attempts that are wanted stopped. */
    int stopping;
    /** When its tasks have to start to meet what is expected of it, the soonest first. */
    private final double[] goalsMs;
    long nextAttempt = 1;
    private int version = 1;
    /** Done or cancelled; kept only until all attempts are proven over. */
    boolean over;
    private boolean guaranteed;
    /** Past all that is expected of it, which is counted once. */
    boolean missed;
    double notBefore;
    /** Machines on which this job's tasks failed, and how often in all. */
    final Set<String> failedOn = new HashSet<>();
    int failures;
    int successes;
    /** Tries that failed in a row since it is held to be mistaken, and the last one's attempt number. */
    int triesFailed;
    long lastFailed;
    /** The longest that a task of it ran before it failed. */
    double failedWithinS;
    /** Of this holder's placings and of the starts it saw: how many, when on average, and when the last one was. */
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
            return count == 0 ? "unknown" : String.format("%.1f (the last %.1f)", now - sum / count, now - last);
        }
    }

    /**
     * @param startWithinS within what time after its submission it has to start to meet each of its goals, in seconds
     * @param revision of its open record
     * @param partSize tasks in one part
     */
    public Job(JobSpec spec, double submittedMs, double[] startWithinS, long revision, int partSize) {
        this.spec = spec;
        this.submittedMs = submittedMs;
        this.goalsMs = Arrays.stream(startWithinS).map(g -> submittedMs + g * 1000).toArray();
        this.revision = revision;
        this.partSize = partSize;
        this.parts = new Part[(spec.tasks() + partSize - 1) / partSize];
        for (int i = 0; i < parts.length; i++) {
            parts[i] = new Part(this, i);
        }
    }

    public boolean over() {
        return over;
    }

    /** How many goals there are for its start, the soonest first. */
    public int goals() {
        return goalsMs.length;
    }

    /** By when its tasks have to start to meet that goal, in milliseconds since 1970. */
    public double goalMs(int goal) {
        return goalsMs[goal];
    }

    /** Whether it fits into its team's guarantee together with the team's earlier unfinished jobs. */
    public boolean guaranteed() {
        return guaranteed;
    }

    public void guarantee(boolean within) {
        guaranteed = within;
    }

    /** The lower, the sooner served: work within its team's guarantee first, then by priority. */
    public int rank() {
        return (guaranteed ? 0 : JobSpec.Priority.values().length) + spec.priority().ordinal();
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

    int partOf(int task) {
        return task / partSize;
    }

    /** The part that the task is in differs from its record now. */
    Part touch(int task) {
        version++;
        Part p = parts[partOf(task)];
        p.touched();
        return p;
    }

    Part touchPart(int index) {
        return touch(index * partSize);
    }

    /** The same for all its parts. */
    void touchAll() {
        version++;
        for (Part p : parts) {
            p.touched();
        }
    }

    /** The part that the task is in has a placing which its record lacks. */
    Part placing(int task) {
        Part p = touch(task);
        p.placed = version;
        return p;
    }

    public boolean complete() {
        return spec.shape() != JobSpec.Shape.SERVICE && done.cardinality() == spec.tasks();
    }

    private Progress progress;
    private double progressAt;

    /** Counted at most once in {@code everyS}: guards against a large job that many ask about. */
    Progress progress(double now, double everyS, Notes notes) {
        if (progress == null || now - progressAt > everyS) {
            int running = (int) live.values().stream().filter(a -> a.state == Report.State.RUNNING).count();
            progress = new Progress(spec.id(), done.cardinality(), running, notes.of(this, now));
            progressAt = now;
        }
        return progress;
    }

    /** For the log, in seconds: how long it took, and how long before its end its tasks were placed and began. */
    public String took(double now, double wallMs) {
        String deadline = spec.deadlineS() == null ? "" : String.format(" of %.1f", spec.deadlineS());
        return String.format("%s, %d tasks of %.0f s, after %.1f s%s; placed %s, begun %s before", spec.jobClass(),
                spec.tasks(), spec.estimateS(), (wallMs - submittedMs) / 1000, deadline, placed.before(now),
                ran.before(now));
    }

    /** Whether the store still has anything about its tasks. */
    public boolean recorded() {
        for (Part p : parts) {
            if (p.revision > 0) {
                return true;
            }
        }
        return false;
    }

    public int waiting() {
        return over || complete() ? 0 : spec.tasks() - done.cardinality() - live.size();
    }

    /** The first task from {@code from} on that is neither done nor placed, or -1. */
    public int nextWaiting(int from) {
        for (int t = done.nextClearBit(from); t < spec.tasks(); t = done.nextClearBit(t + 1)) {
            if (!live.containsKey(t)) {
                return t;
            }
        }
        return -1;
    }

    public List<Attempt> liveIn(int part) {
        return new ArrayList<>(live.subMap(part * partSize, (part + 1) * partSize).values());
    }

    public Map<String, Object> partRecord(int part) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("next", nextAttempt);
        int from = part * partSize;
        BitSet bits = done.get(from, Math.min(spec.tasks(), from + partSize));
        m.put("done", Base64.getEncoder().encodeToString(bits.toByteArray()));
        Map<String, List<Object>> on = new HashMap<>();
        for (Attempt a : liveIn(part)) {
            List<Object> l = on.computeIfAbsent(a.machine.id, k -> new ArrayList<>());
            l.add((long) a.task);
            l.add(a.number);
        }
        Map<String, Object> live = new LinkedHashMap<>();
        on.keySet().stream().sorted(Comparator.naturalOrder()).forEach(k -> live.put(k, on.get(k)));
        m.put("live", live);
        return m;
    }

    /** How far the records of a job's parts say that it is: tasks done, and placed, running or not. */
    public static Progress recorded(String id, List<Object> records) {
        int done = 0;
        int placed = 0;
        for (Object record : records) {
            Tree t = Tree.of(record);
            done += doneBits(t).cardinality();
            for (Object on : ((Map<?, ?>) t.raw("live")).values()) {
                placed += ((List<?>) on).size() / 2;
            }
        }
        return new Progress(id, done, placed, null);
    }

    private static BitSet doneBits(Tree part) {
        return BitSet.valueOf(Base64.getDecoder().decode(part.text("done")));
    }

    /** Reads a part's done bits and attempt counter; the attempts are for the caller, which knows the machines. */
    Map<?, ?> readPart(int part, Object record, long partRevision) {
        Tree t = Tree.of(record);
        parts[part].revision = partRevision;
        nextAttempt = Math.max(nextAttempt, t.count("next"));
        BitSet bits = doneBits(t);
        for (int i = bits.nextSetBit(0); i >= 0; i = bits.nextSetBit(i + 1)) {
            done.set(part * partSize + i);
        }
        return t.raw("live") instanceof Map<?, ?> m ? m : Map.of();
    }
}
