package io.kitepath.core.scheduling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which jobs are within their team's guarantee: those that fit into it together with the
 * jobs that claim it before them. See docs/design.md, "Who claims a guarantee".
 */
final class GuaranteeAllocation {
    /** Tolerance for rounding errors when claims are summed up, in CPUs or GPUs. */
    private static final double ROUNDING_SLACK = 1e-6;

    /** Resources claimed so far by the jobs of one team. */
    private static final class Claimed {
        private double cpus;
        private double gpus;
    }

    private final ShardState shard;

    GuaranteeAllocation(ShardState shard) {
        this.shard = shard;
    }

    /** Marks every job as within or beyond its team's guarantee. */
    void mark(List<Job> jobs) {
        List<Job> sorted = new ArrayList<>(jobs);
        sorted.sort(Comparator.comparingDouble(Job::eligibleSinceMillis));
        Map<String, Claimed> claimed = new HashMap<>();
        for (Job job : sorted) {
            boolean isWithinGuarantee = claim(job, claimed);
            if (!job.isGuaranteeClaimKnown()) {
                job.setGuaranteeClaim(isWithinGuarantee);
            }
        }
        sorted.sort(claimOrder(sorted));
        claimed.clear();
        for (Job job : sorted) {
            job.setWithinGuarantee(claim(job, claimed));
        }
    }

    /**
     * Returns the order in which jobs claim guarantees. Jobs that fitted into the guarantee on
     * arrival keep it, oldest first. They are followed by the jobs with the least remaining work,
     * because most of these can meet their goals. If a class or team is lagging, its jobs come
     * before the others, least served first; otherwise the class with the largest jobs would never
     * be served. Jobs that missed all their goals come last. Guards against an overload in which a
     * team's guarantee goes to its oldest jobs and all of them become late one after the other.
     */
    private Comparator<Job> claimOrder(List<Job> jobs) {
        Map<Job, Double> serviceShares = new IdentityHashMap<>();
        jobs.forEach(job -> serviceShares.put(job, shard.serviceLevels().catchUpShare(job.spec)));
        return Comparator.comparingInt(GuaranteeAllocation::claimRank)
                .thenComparingDouble(job -> claimsByAge(job) ? 0 : serviceShares.get(job))
                .thenComparingDouble(
                        job ->
                                claimsByAge(job)
                                        ? job.eligibleSinceMillis()
                                        : remainingCpuSeconds(job));
    }

    private static int claimRank(Job job) {
        if (job.hasMissedAllGoals()) {
            return 2;
        }
        return job.wasWithinGuaranteeOnArrival() ? 0 : 1;
    }

    private static boolean claimsByAge(Job job) {
        return job.hasMissedAllGoals() || job.wasWithinGuaranteeOnArrival();
    }

    private static double remainingCpuSeconds(Job job) {
        return job.unfinishedTaskCount() * job.spec.cpusPerTask() * job.spec.estimatedSeconds();
    }

    /**
     * Adds the job's unfinished tasks to the resources that its team has claimed; returns whether
     * the sum is within the guarantee.
     */
    private boolean claim(Job job, Map<String, Claimed> claimed) {
        ClusterSettings.Team team = shard.settings().teams().get(job.spec.team());
        if (job.isFinished()
                || team == null
                || team.guaranteedCpus() == 0 && team.guaranteedGpus() == 0) {
            return false;
        }
        Claimed teamClaim = claimed.computeIfAbsent(team.name(), key -> new Claimed());
        teamClaim.cpus += job.unfinishedTaskCount() * job.spec.cpusPerTask();
        teamClaim.gpus += job.unfinishedTaskCount() * job.spec.gpusPerTask();
        return teamClaim.cpus <= team.guaranteedCpus() + ROUNDING_SLACK
                && (job.spec.gpusPerTask() == 0
                        || teamClaim.gpus <= team.guaranteedGpus() + ROUNDING_SLACK);
    }
}
