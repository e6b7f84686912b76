package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** What each team's attempts take that are not proven over, against its limit. */
public final class QuotaUsage {
    /** What this decider may use of a team's limits; infinite where there is none. */
    public interface QuotaLimits {
        double maxCpus(ClusterSettings.Team team);

        double maxGpus(ClusterSettings.Team team);
    }

    /** As the settings say. */
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

    private final ClusterSettings settings;
    private QuotaLimits setLimits = new ConfiguredLimits();

    /** CPUs and GPUs by team. */
    private final Map<String, double[]> used = new HashMap<>();

    QuotaUsage(ClusterSettings settings) {
        this.settings = settings;
    }

    public void setLimits(QuotaLimits others) {
        setLimits = others;
    }

    void clear() {
        used.clear();
    }

    /** An attempt of this kind was placed (1), or is proven over (-1). */
    void countAttempt(JobSpec spec, int sign) {
        double[] u = used.computeIfAbsent(spec.team(), key -> new double[2]);
        u[0] += sign * spec.cpusPerTask();
        u[1] += sign * spec.gpusPerTask();
    }

    /** CPUs of the team's attempts that are not proven over. */
    public double usedCpus(String team) {
        double[] u = used.get(team);
        return u == null ? 0 : u[0];
    }

    /** And their GPUs. */
    public double usedGpus(String team) {
        double[] u = used.get(team);
        return u == null ? 0 : u[1];
    }

    /** For notes: what of the limit this decider may use, if that is less than the settings say. */
    String describeShare(String team) {
        ClusterSettings.Team t = settings.teams().get(team);
        boolean part =
                t != null
                        && !(setLimits instanceof ConfiguredLimits)
                        && setLimits.maxCpus(t) < Double.POSITIVE_INFINITY;
        return part
                ? String.format(
                        Locale.ROOT,
                        "; this cell may use %.1f CPUs of it now and uses %.1f",
                        setLimits.maxCpus(t),
                        usedCpus(team))
                : "";
    }

    /** How many more tasks of this kind the team's limit allows. */
    public int remainingTasks(JobSpec spec) {
        ClusterSettings.Team team = settings.teams().get(spec.team());
        if (team == null) {
            return 0;
        }
        double[] u = used.getOrDefault(spec.team(), new double[2]);
        double n = Integer.MAX_VALUE;
        if (spec.cpusPerTask() > 0) {
            n = Math.min(n, (setLimits.maxCpus(team) - u[0] + 1e-6) / spec.cpusPerTask());
        }
        if (spec.gpusPerTask() > 0) {
            n = Math.min(n, (setLimits.maxGpus(team) - u[1] + 1e-6) / spec.gpusPerTask());
        }
        return (int) Math.max(0, n);
    }
}
