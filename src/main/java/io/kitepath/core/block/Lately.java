package io.kitepath.core.block;

import io.kitepath.core.model.JobSpec;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;

/** The jobs that came last: what the next ones may be like. */
public final class Lately {
    /** How many are remembered. */
    private static final int MOST = 200;

    /** Newest last. */
    private final ArrayDeque<Job> jobs = new ArrayDeque<>();

    void came(Job job) {
        jobs.addLast(job);
        if (jobs.size() > MOST) {
            jobs.removeFirst();
        }
    }

    /**
     * Of the class's jobs that came lately, the one than which that share of them are not larger. Null if there is
     * none, or if by their usual pace the next one is long overdue: room kept for it would be kept for nobody.
     */
    public JobSpec typical(String jobClass, double share, double wallMs, double patienceS) {
        List<Job> of = jobs.stream().filter(j -> j.spec.jobClass().equals(jobClass))
                .sorted(Comparator.comparingDouble(j -> j.submittedMs)).toList();
        if (of.isEmpty()) {
            return null;
        }
        double last = of.get(of.size() - 1).submittedMs;
        double gap = (last - of.get(0).submittedMs) / Math.max(1, of.size() - 1);
        if (wallMs - last > Math.max(patienceS * 1000, 10 * gap)) {
            return null;
        }
        return of.stream().map(j -> j.spec).sorted(Comparator.comparingDouble(s -> s.tasks() * s.cpus()))
                .skip((long) Math.min(of.size() - 1, Math.floor(share * of.size()))).findFirst().orElseThrow();
    }
}
