package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * What each team's attempts that are not proven over use of its quota. Not thread-safe; belongs to
 * the shard's thread.
 */
public final class QuotaUsage {
    /** Tolerance for sums of CPUs and GPUs that were added and subtracted many times. */
    private static final double ROUNDING = 1e-6;

    /** What this shard may use of a team's quota; infinite where there is no limit. */
    public interface QuotaLimits {
        /** CPUs that this shard may use of the team's quota. */
        double maxCpus(ClusterSettings.Team team);

        /** GPUs that this shard may use of the team's quota. */
        double maxGpus(ClusterSettings.Team team);
    }

    /** The whole quota, as the settings say. */
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

    /** What one team uses now. */
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

    /** Replaces the limits of the settings, by this shard's share of them. */
    public void setLimits(QuotaLimits newLimits) {
        limits = newLimits;
    }

    void clear() {
        usageByTeam.clear();
    }

    /**
     * So many attempts of this kind were placed, or may be on machines for all that is known; less
     * than 0: are proven over.
     */
    void countAttempts(JobSpec spec, int change) {
        TeamUsage usage = usageByTeam.computeIfAbsent(spec.team(), key -> new TeamUsage());
        usage.cpus += change * spec.cpusPerTask();
        usage.gpus += change * spec.gpusPerTask();
    }

    private TeamUsage usage(String team) {
        return usageByTeam.getOrDefault(team, TeamUsage.NONE);
    }

    /** CPUs of the team's attempts that are not proven over. */
    public double usedCpus(String team) {
        return usage(team).cpus;
    }

    /** GPUs of the team's attempts that are not proven over. */
    public double usedGpus(String team) {
        return usage(team).gpus;
    }

    /**
     * For the reason why a job waits: what this cell may use of the team's quota, if that is less
     * than the settings say; empty otherwise.
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

    /** How many more tasks of this kind the team's quota allows; 0 for an unknown team. */
    public int remainingTasks(JobSpec spec) {
        ClusterSettings.Team team = settings.teams().get(spec.team());
        if (team == null) {
            return 0;
        }
        TeamUsage usage = usage(spec.team());
        double tasks = Integer.MAX_VALUE;
        if (spec.cpusPerTask() > 0) {
            double free = limits.maxCpus(team) - usage.cpus + ROUNDING;
            tasks = Math.min(tasks, free / spec.cpusPerTask());
        }
        if (spec.gpusPerTask() > 0) {
            double free = limits.maxGpus(team) - usage.gpus + ROUNDING;
            tasks = Math.min(tasks, free / spec.gpusPerTask());
        }
        return (int) Math.max(0, tasks);
    }
}
