package io.kitepath.core.scheduling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which work is preempted by which other work, by priority and by the teams' guarantees.
 */
final class PreemptionRules {
    /**
     * Heartbeat intervals for which small tasks wait for capacity that is freed by ending tasks,
     * before other work is evicted for them. On a full fleet some task ends soon.
     */
    private static final double FREE_CAPACITY_WAIT_HEARTBEAT_INTERVALS = 2;

    private final ShardState shard;

    /** The lowest priority of the work within each team's guarantee, by team. */
    private final Map<String, JobSpec.Priority> lowestGuaranteedPriorities = new HashMap<>();

    PreemptionRules(ShardState shard) {
        this.shard = shard;
    }

    /**
     * Whether the job may use the capacity of the attempt: the attempt may be evicted for it, or is
     * already being stopped and its capacity is not promised to a job that takes precedence over
     * this one.
     */
    boolean mayEvict(Job job, Attempt victim) {
        return victim.isUnwanted()
                ? victim.capacityPromisedTo().filter(other -> takesPrecedence(other, job)).isEmpty()
                : isPreemptibleBy(victim.job, job);
    }

    /**
     * Whether capacity that is freed for {@code job} is withheld from {@code other}, because the
     * other job is served later or may be preempted by the first. Guards against evicted work that
     * reserves its own capacity, since that is about to be freed, and is then placed there and
     * evicted again without end.
     */
    private boolean takesPrecedence(Job job, Job other) {
        return job.queueRank() < other.queueRank() || isPreemptibleBy(other, job);
    }

    /**
     * Begins a scheduling round; the jobs within their teams' guarantees must already be marked.
     */
    void beginRound() {
        lowestGuaranteedPriorities.clear();
        for (Job job : shard.jobs().values()) {
            if (job.isWithinGuarantee() && !job.isFinished() && !job.isHeld()) {
                lowestGuaranteedPriorities.merge(
                        job.spec.team(), job.effectivePriority(), PreemptionRules::lowerPriority);
            }
        }
    }

    private static JobSpec.Priority lowerPriority(JobSpec.Priority one, JobSpec.Priority other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /**
     * Whether the running job may be preempted by the other job. Work is preempted by work of
     * higher priority, and work that a team runs beyond its guarantee is preempted by work within
     * the guarantee of another team.
     *
     * <p>Guards against jobs that preempt each other in a cycle, so that none ever completes.
     * Priorities and guarantees alone allow cycles: urgent work beyond its guarantee, guaranteed
     * work of lower priority, and guaranteed work of another team. Therefore, among preemptible
     * work, a job that shares in a guarantee is preempted only by jobs that also share in one. In
     * every such preemption the preempting job shares in a guarantee while the preempted job does
     * not, or it has a higher priority.
     */
    boolean isPreemptibleBy(Job running, Job job) {
        if (isNonPreemptible(running)) {
            return false;
        }
        if (running.effectivePriority().compareTo(job.effectivePriority()) > 0) {
            return isNonPreemptible(job) || sharesInGuarantee(job) || !sharesInGuarantee(running);
        }
        return isBorrowingAgainst(running, job);
    }

    /**
     * Whether the job is within its team's guarantee, or has a higher priority than a job of its
     * team that is and whose capacity it could take.
     */
    private boolean sharesInGuarantee(Job job) {
        JobSpec.Priority lowest = lowestGuaranteedPriorities.get(job.spec.team());
        return job.isWithinGuarantee()
                || lowest != null && job.effectivePriority().compareTo(lowest) < 0;
    }

    /**
     * Whether the job's own attempts are never evicted for other jobs: true for gangs and services.
     */
    static boolean isNonPreemptible(Job job) {
        return job.spec.isGang() || job.spec.shape() == JobSpec.Shape.SERVICE;
    }

    /**
     * Whether the running job has no share in its team's guarantee, the team has used up that
     * guarantee, and the other job is within the guarantee of another team.
     */
    private boolean isBorrowingAgainst(Job running, Job job) {
        ClusterSettings.Team team = shard.settings().teams().get(running.spec.team());
        return job.isWithinGuarantee()
                && !sharesInGuarantee(running)
                && !running.spec.team().equals(job.spec.team())
                && team != null
                && shard.quotaUsage().usedCpus(running.spec.team()) - running.spec.cpusPerTask()
                        >= team.guaranteedCpus();
    }

    /**
     * Whether work on the machine is served before the job although the job may preempt it:
     * guaranteed work is served first, yet work of higher priority may preempt it. Guards against
     * such work taking the capacity again in the next scheduling round and being evicted again,
     * without end: the machine is reserved until the stopped tasks can have been reported as ended.
     * Small tasks reserve a machine only in this case: reserving a machine of which they use a
     * thirtieth would leave the rest of it idle.
     */
    boolean hasWorkServedBefore(Job job, Machine machine) {
        return machine.attempts().stream()
                .anyMatch(
                        attempt ->
                                attempt.job.queueRank() < job.queueRank()
                                        && isPreemptibleBy(attempt.job, job));
    }

    /**
     * Whether the job still waits for capacity that is freed without eviction, and evicts nothing
     * yet.
     */
    boolean isWaitingForFreeCapacity(Job job, double wallMillis) {
        if (!isSmall(job.spec)) {
            return false;
        }
        double waitMillis =
                FREE_CAPACITY_WAIT_HEARTBEAT_INTERVALS
                        * (1000 * shard.settings().workers().heartbeatIntervalSeconds());
        // Guards against evicting half-finished work for a stage of a pipeline that has its
        // priority only from the stage behind it and still has time.
        boolean hasTime =
                job.effectivePriority() != job.spec.priority()
                        && wallMillis
                                        + waitMillis
                                        + 1000
                                                * shard.startLatencies()
                                                        .upperEstimateSeconds(job.spec.jobClass())
                                < job.startGoalMillis(0);
        return hasTime || wallMillis - job.eligibleSinceMillis() < waitMillis;
    }

    /**
     * Whether the job's tasks are independent and each uses at most half the CPUs of the smallest
     * machine type.
     */
    boolean isSmall(JobSpec spec) {
        return !spec.isGang()
                && !spec.isSingleZone()
                && !spec.isSpreadAcrossZones()
                && spec.cpusPerTask() * 2 <= smallestMachineCpus();
    }

    private double smallestMachineCpus() {
        return shard.machineTypes().values().stream()
                .mapToDouble(MachineType::cpus)
                .min()
                .orElse(0);
    }
}
