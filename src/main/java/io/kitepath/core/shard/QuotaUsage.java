package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Tracks how much of each team's quota its attempts that are not confirmed ended use. Not
 * thread-safe; belongs to the shard's thread.
 */
public final class QuotaUsage {
    /**
     * Tolerance for rounding errors in sums of CPUs and GPUs after many additions and subtractions.
     */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** The part of a team's quota that this shard may use; infinite where there is no limit. */
    public interface QuotaLimits {
        /** Returns the CPUs that this shard may use of the team's quota. */
        double maxCpus(ClusterSettings.Team team);

        /** Returns the GPUs that this shard may use of the team's quota. */
        double maxGpus(ClusterSettings.Team team);
    }

    /** The whole quota as configured in the settings. */
    private static final class ConfiguredLimits implements QuotaLimits {
        @Override
        public double maxCpus(ClusterSettings.Team team) {
            return team.maxCpus() > 0 ? team.maxCpus() : Double.POSITIVE_INFINITY;
        }

        @Override
        public double maxGpus(ClusterSettings.Team team) {
            return team.maxGpus() > 0 ? team.maxGpus() : Double.POSITIVE_INFINITY;
        }
    }

    /** The current usage of one team. */
    private static final class TeamUsage {
        private static final TeamUsage NONE = new TeamUsage();

        private double cpus;
        private double gpus;
    }

    private final ClusterSettings settings;
    private final Map<String, TeamUsage> usageByTeam = new HashMap<>();
    private QuotaLimits limits = new ConfiguredLimits();

    QuotaUsage(ClusterSettings settings) {
        this.settings = settings;
    }

    /** Replaces the limits of the settings by this shard's share of them. */
    public void setLimits(QuotaLimits newLimits) {
        limits = newLimits;
    }

    void clear() {
        usageByTeam.clear();
    }

    /**
     * Adjusts the usage by a number of attempts of the job.
     *
     * @param attemptDelta the number of attempts that were placed or that may be on machines;
     *     negative for attempts that are confirmed ended
     */
    void countAttempts(JobSpec spec, int attemptDelta) {
        TeamUsage usage = usageByTeam.computeIfAbsent(spec.team(), key -> new TeamUsage());
        usage.cpus += attemptDelta * spec.cpusPerTask();
        usage.gpus += attemptDelta * spec.gpusPerTask();
    }

    private TeamUsage usage(String team) {
        return usageByTeam.getOrDefault(team, TeamUsage.NONE);
    }

    /** CPUs of the team's attempts that are not confirmed ended. */
    public double usedCpus(String team) {
        return usage(team).cpus;
    }

    /** GPUs of the team's attempts that are not confirmed ended. */
    public double usedGpus(String team) {
        return usage(team).gpus;
    }

    /**
     * Describes, for a job's pending reason, the part of the team's quota that this cell may use if
     * it is less than the settings say; empty otherwise.
     */
    String describeShare(String team) {
        ClusterSettings.Team quota = settings.teams().get(team);
        boolean isShared =
                quota != null
                        && !(limits instanceof ConfiguredLimits)
                        && limits.maxCpus(quota) < Double.POSITIVE_INFINITY;
        return isShared
                ? String.format(
                        Locale.ROOT,
                        "; this cell may use %.1f CPUs of it now and uses %.1f",
                        limits.maxCpus(quota),
                        usedCpus(team))
                : "";
    }

    /** Returns how many more tasks of the job the team's quota allows; 0 for an unknown team. */
    public int remainingTasks(JobSpec spec) {
        ClusterSettings.Team team = settings.teams().get(spec.team());
        if (team == null) {
            return 0;
        }
        TeamUsage usage = usage(spec.team());
        double tasks = Integer.MAX_VALUE;
        if (spec.cpusPerTask() > 0) {
            double freeCpus = limits.maxCpus(team) - usage.cpus + ROUNDING_TOLERANCE;
            tasks = Math.min(tasks, freeCpus / spec.cpusPerTask());
        }
        if (spec.gpusPerTask() > 0) {
            double freeGpus = limits.maxGpus(team) - usage.gpus + ROUNDING_TOLERANCE;
            tasks = Math.min(tasks, freeGpus / spec.gpusPerTask());
        }
        return (int) Math.max(0, tasks);
    }
}
