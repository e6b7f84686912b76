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
    private static final int MAX_JOBS = 200;

    /** Newest last. */
    private final ArrayDeque<Job> jobs = new ArrayDeque<>();

    void add(Job job) {
        jobs.addLast(job);
        if (jobs.size() > MAX_JOBS) {
            jobs.removeFirst();
        }
    }

    /**
     * Of the class's jobs that came lately, the one than which that share of them are not larger.
     * Null if there is none, or if by their usual pace the next one is long overdue: room kept for
     * it would be kept for nobody.
     */
    public JobSpec typicalSpec(String jobClass, double share, double wallMs, double patienceS) {
        List<Job> of =
                jobs.stream()
                        .filter(job -> job.spec.jobClass().equals(jobClass))
                        .sorted(Comparator.comparingDouble(Job::eligibleSinceMillis))
                        .toList();
        if (of.isEmpty()) {
            return null;
        }
        double last = of.get(of.size() - 1).eligibleSinceMillis();
        double gap = (last - of.get(0).eligibleSinceMillis()) / Math.max(1, of.size() - 1);
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
    public record ArrivalRate(JobSpec sampleSpec, double tasksPerSecond) {}

    /**
     * The classes of gangs that still come by their usual pace, those of the highest priority
     * first.
     */
    public List<ArrivalRate> gangArrivalRates(double wallMs) {
        Map<String, List<Job>> classes = new TreeMap<>();
        for (Job job : jobs) {
            if (job.spec.isGang() && !job.isHeld()) {
                classes.computeIfAbsent(job.spec.jobClass(), key -> new ArrayList<>()).add(job);
            }
        }
        List<ArrivalRate> out = new ArrayList<>();
        for (List<Job> of : classes.values()) {
            double tasks = ratePerSecond(of, wallMs, job -> job.spec.taskCount());
            if (tasks > 0) {
                out.add(new ArrivalRate(of.get(0).spec, tasks));
            }
        }
        out.sort(Comparator.comparing(p -> p.sampleSpec.priority()));
        return out;
    }

    /** How many jobs of the class came a second, as of late. */
    public double jobsPerSecond(String jobClass, double wallMs) {
        return ratePerSecond(
                jobs.stream()
                        .filter(job -> job.spec.jobClass().equals(jobClass) && !job.isHeld())
                        .toList(),
                wallMs,
                job -> 1);
    }

    /**
     * By the later half of their time: it says more of what comes next than a backlog that came all
     * at once.
     */
    private static double ratePerSecond(List<Job> of, double wallMs, ToDoubleFunction<Job> what) {
        double first = of.stream().mapToDouble(Job::eligibleSinceMillis).min().orElse(wallMs);
        double half = (first + wallMs) / 2;
        double sum =
                of.stream().filter(job -> job.eligibleSinceMillis() > half).mapToDouble(what).sum();
        return sum == 0 ? 0 : sum * 1000 / (wallMs - half);
    }
}
