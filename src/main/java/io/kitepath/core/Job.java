package io.kitepath.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A job in the holder's memory: its tasks' progress, and what of that the store knows already. */
final class Job {
    /** A slice of the job's tasks, which is one record in the store; revision 0: not written yet. */
    static final class Part {
        final Job job;
        final int index;
        long revision;
        int changed;
        /** The version of the last placing in it. */
        int placed;
        int written;

        Part(Job job, int index) {
            this.job = job;
            this.index = index;
        }
    }

    final JobSpec spec;
    final double submittedMs;
    /** Revision of the job's open record, on which every write about it depends. */
    final long revision;
    final Part[] parts;
    private final int partSize;
    final BitSet done = new BitSet();
    final TreeMap<Integer, Attempt> live = new TreeMap<>();
    /** Proven over, but not written yet. */
    final List<Attempt> unwritten = new ArrayList<>();
    /** Attempts that are wanted stopped. */
    int stopping;
    /** When its tasks have to start to meet what is expected of it, the soonest first. */
    final double[] goalsMs;
    long nextAttempt = 1;
    int version = 1;
    /** Done or cancelled; kept only until all attempts are proven over. */
    boolean over;
    boolean guaranteed;
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

    Job(JobSpec spec, double submittedMs, double[] startWithinS, long revision, int partSize) {
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

    int partOf(int task) {
        return task / partSize;
    }

    /** The part that the task is in differs from its record now. */
    Part touch(int task) {
        Part p = parts[partOf(task)];
        p.changed = ++version;
        return p;
    }

    boolean complete() {
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

    /** Whether the store still has anything about its tasks. */
    boolean recorded() {
        for (Part p : parts) {
            if (p.revision > 0) {
                return true;
            }
        }
        return false;
    }

    int waiting() {
        return over || complete() ? 0 : spec.tasks() - done.cardinality() - live.size();
    }

    /** The first task from {@code from} on that is neither done nor placed, or -1. */
    int nextWaiting(int from) {
        for (int t = done.nextClearBit(from); t < spec.tasks(); t = done.nextClearBit(t + 1)) {
            if (!live.containsKey(t)) {
                return t;
            }
        }
        return -1;
    }

    List<Attempt> liveIn(int part) {
        return new ArrayList<>(live.subMap(part * partSize, (part + 1) * partSize).values());
    }

    Map<String, Object> partRecord(int part) {
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
    static Progress recorded(String id, List<Object> records) {
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
