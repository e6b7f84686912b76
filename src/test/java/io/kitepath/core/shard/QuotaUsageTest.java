package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.simulation.SimulatedCluster;
import org.junit.jupiter.api.Test;

/** Tests how many more tasks a team's quota allows. */
class QuotaUsageTest {
    private final ClusterSettings settings = new SimulatedCluster().settings("k1");
    private final QuotaUsage quotaUsage = new QuotaUsage(settings);
    private final JobSpec spec = SimulatedCluster.job("j-1", JobSpec.Shape.ARRAY, 1, 2);

    private void limitCpusTo(double cpus) {
        quotaUsage.setLimits(
                new QuotaUsage.QuotaLimits() {
                    @Override
                    public double maxCpus(ClusterSettings.Team team) {
                        return cpus;
                    }

                    @Override
                    public double maxGpus(ClusterSettings.Team team) {
                        return Double.POSITIVE_INFINITY;
                    }
                });
    }

    @Test
    void attemptsCountUntilTheyAreConfirmedEnded() {
        limitCpusTo(6);
        assertEquals(3, quotaUsage.remainingTasks(spec));
        quotaUsage.countAttempts(spec, 1);
        assertEquals(2, quotaUsage.usedCpus(spec.team()));
        assertEquals(2, quotaUsage.remainingTasks(spec));
        quotaUsage.countAttempts(spec, -1);
        assertEquals(3, quotaUsage.remainingTasks(spec));
    }

    @Test
    void noTasksRemainWhenUsageExceedsQuota() {
        quotaUsage.countAttempts(spec, 1);
        limitCpusTo(1);
        assertEquals(0, quotaUsage.remainingTasks(spec));
    }

    @Test
    void shareIsDescribedOnlyIfQuotaIsLimited() {
        assertEquals("", quotaUsage.describeShare(spec.team()));
        quotaUsage.countAttempts(spec, 1);
        limitCpusTo(6);
        assertEquals(
                "; this cell may use 6.0 CPUs of it now and uses 2.0",
                quotaUsage.describeShare(spec.team()));
        limitCpusTo(Double.POSITIVE_INFINITY);
        assertEquals("", quotaUsage.describeShare(spec.team()));
    }
}
