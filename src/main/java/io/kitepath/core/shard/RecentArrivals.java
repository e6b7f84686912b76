package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * The most recently submitted jobs, from which the size and rate of the next ones are estimated.
 */
public final class RecentArrivals {
    private static final int MAX_JOBS = 200;

    /**
     * Number of average intervals between arrivals after which the next job of a class is no longer
     * expected.
     */
    private static final int MAX_OVERDUE_INTERVALS = 10;

    /** Jobs by id, the newest last. */
    private final Map<String, Job> jobsById = new LinkedHashMap<>();

    /**
     * Adds a job, replacing an earlier one with the same id. Guards against jobs that count as
     * another arrival each time a leader loads all jobs again.
     */
    void add(Job job) {
        jobsById.remove(job.spec.id());
        jobsById.put(job.spec.id(), job);
        if (jobsById.size() > MAX_JOBS) {
            Iterator<Job> oldestFirst = jobsById.values().iterator();
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /**
     * Returns the job of a class at a quantile of the sizes of its recent jobs, in CPUs over all
     * tasks. Returns null if there is none, or if the class's next job is long overdue by its usual
     * arrival interval, as machines kept for it would stay idle.
     *
     * @param quantile from 0 to 1
     * @param wallMillis in milliseconds since 1970
     * @param minOverdueSeconds how late the next job may be in any case
     */
    public JobSpec typicalSpec(
            String jobClass, double quantile, double wallMillis, double minOverdueSeconds) {
        List<Job> classJobs =
                jobsById.values().stream()
                        .filter(job -> job.spec.jobClass().equals(jobClass))
                        .sorted(Comparator.comparingDouble(Job::eligibleSinceMillis))
                        .toList();
        if (classJobs.isEmpty()) {
            return null;
        }
        double firstMillis = classJobs.get(0).eligibleSinceMillis();
        double lastMillis = classJobs.get(classJobs.size() - 1).eligibleSinceMillis();
        double averageIntervalMillis =
                (lastMillis - firstMillis) / Math.max(1, classJobs.size() - 1);
        if (wallMillis - lastMillis
                > Math.max(
                        minOverdueSeconds * 1000, MAX_OVERDUE_INTERVALS * averageIntervalMillis)) {
            return null;
        }
        return classJobs.stream()
                .map(job -> job.spec)
                .sorted(Comparator.comparingDouble(spec -> spec.taskCount() * spec.cpusPerTask()))
                .skip(
                        (long)
                                Math.min(
                                        classJobs.size() - 1,
                                        Math.floor(quantile * classJobs.size())))
                .findFirst()
                .orElseThrow();
    }

    /**
     * The recent arrival rate of the tasks of a class of gangs.
     *
     * @param sampleSpec one of the class's jobs
     */
    public record ArrivalRate(JobSpec sampleSpec, double tasksPerSecond) {}

    /**
     * Returns the arrival rates of the classes of gangs whose jobs have arrived recently, those of
     * the highest priority first.
     *
     * @param wallMillis in milliseconds since 1970
     */
    public List<ArrivalRate> gangArrivalRates(double wallMillis) {
        Map<String, List<Job>> byClass = new TreeMap<>();
        for (Job job : jobsById.values()) {
            if (job.spec.isGang() && !job.isHeld()) {
                byClass.computeIfAbsent(job.spec.jobClass(), name -> new ArrayList<>()).add(job);
            }
        }
        List<ArrivalRate> rates = new ArrayList<>();
        for (List<Job> classJobs : byClass.values()) {
            double tasksPerSecond =
                    ratePerSecond(classJobs, wallMillis, job -> job.spec.taskCount());
            if (tasksPerSecond > 0) {
                rates.add(new ArrivalRate(classJobs.get(0).spec, tasksPerSecond));
            }
        }
        rates.sort(Comparator.comparing(rate -> rate.sampleSpec.priority()));
        return rates;
    }

    /**
     * Returns the recent arrival rate of the class, in jobs per second.
     *
     * @param wallMillis in milliseconds since 1970
     */
    public double jobsPerSecond(String jobClass, double wallMillis) {
        return ratePerSecond(
                jobsById.values().stream()
                        .filter(job -> job.spec.jobClass().equals(jobClass) && !job.isHeld())
                        .toList(),
                wallMillis,
                job -> 1);
    }

    /**
     * Returns the rate over the later half of the time since the first job arrived, which predicts
     * the next arrivals better than a backlog that arrived all at once.
     */
    private static double ratePerSecond(
            List<Job> jobs, double wallMillis, ToDoubleFunction<Job> amount) {
        double firstMillis =
                jobs.stream().mapToDouble(Job::eligibleSinceMillis).min().orElse(wallMillis);
        double middleMillis = (firstMillis + wallMillis) / 2;
        double sum =
                jobs.stream()
                        .filter(job -> job.eligibleSinceMillis() > middleMillis)
                        .mapToDouble(amount)
                        .sum();
        return sum == 0 ? 0 : sum * 1000 / (wallMillis - middleMillis);
    }
}
