package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/** The jobs that came last: what the next ones may be like. */
public final class RecentArrivals {
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
     * Of the class's jobs that came lately, the one than which that share of them are not larger.
     * Null if there is none, or if by their usual pace the next one is long overdue: room kept for
     * it would be kept for nobody.
     */
    public JobSpec typical(String jobClass, double share, double wallMs, double patienceS) {
        List<Job> of =
                jobs.stream()
                        .filter(job -> job.spec.jobClass().equals(jobClass))
                        .sorted(Comparator.comparingDouble(Job::sinceMs))
                        .toList();
        if (of.isEmpty()) {
            return null;
        }
        double last = of.get(of.size() - 1).sinceMs();
        double gap = (last - of.get(0).sinceMs()) / Math.max(1, of.size() - 1);
        if (wallMs - last > Math.max(patienceS * 1000, 10 * gap)) {
            return null;
        }
        return of.stream()
                .map(job -> job.spec)
                .sorted(Comparator.comparingDouble(spec -> spec.taskCount() * spec.cpusPerTask()))
                .skip((long) Math.min(of.size() - 1, Math.floor(share * of.size())))
                .findFirst()
                .orElseThrow();
    }

    /** How many tasks of a class of gangs came a second, as of late, and one of its jobs. */
    public record ArrivalRate(JobSpec like, double tasksPerS) {}

    /**
     * The classes of gangs that still come by their usual pace, those of the highest priority
     * first.
     */
    public List<ArrivalRate> gangs(double wallMs) {
        Map<String, List<Job>> classes = new TreeMap<>();
        for (Job job : jobs) {
            if (job.spec.isGang() && !job.held()) {
                classes.computeIfAbsent(job.spec.jobClass(), key -> new ArrayList<>()).add(job);
            }
        }
        List<ArrivalRate> out = new ArrayList<>();
        for (List<Job> of : classes.values()) {
            double tasks = perS(of, wallMs, job -> job.spec.taskCount());
            if (tasks > 0) {
                out.add(new ArrivalRate(of.get(0).spec, tasks));
            }
        }
        out.sort(Comparator.comparing(p -> p.like.priority()));
        return out;
    }

    /** How many jobs of the class came a second, as of late. */
    public double jobsPerS(String jobClass, double wallMs) {
        return perS(
                jobs.stream()
                        .filter(job -> job.spec.jobClass().equals(jobClass) && !job.held())
                        .toList(),
                wallMs,
                job -> 1);
    }

    /**
     * By the later half of their time: it says more of what comes next than a backlog that came all
     * at once.
     */
    private static double perS(List<Job> of, double wallMs, ToDoubleFunction<Job> what) {
        double first = of.stream().mapToDouble(Job::sinceMs).min().orElse(wallMs);
        double half = (first + wallMs) / 2;
        double sum = of.stream().filter(job -> job.sinceMs() > half).mapToDouble(what).sum();
        return sum == 0 ? 0 : sum * 1000 / (wallMs - half);
    }
}
