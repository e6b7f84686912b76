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

/** Which work has to give way to which, by priority and by the teams' guarantees. */
final class PreemptionRules {
    /**
     * Report intervals for which small tasks wait for room that comes free by itself, before others
     * are stopped for them: on a full fleet some task ends soon.
     */
    private static final double WAIT_REPORT_INTERVALS = 2;

    private final ShardState shard;

    /** The lowest priority of the work within each team's guarantee, by team. */
    private final Map<String, JobSpec.Priority> lowestGuaranteed = new HashMap<>();

    PreemptionRules(ShardState shard) {
        this.shard = shard;
    }

    /**
     * Whether the job may have the room of the attempt: it is stopped already, though not for a job
     * that goes before this one, or may be stopped.
     */
    boolean mayEvict(Job job, Attempt victim) {
        return victim.isUnwanted()
                ? victim.capacityPromisedTo().filter(other -> goesBefore(other, job)).isEmpty()
                : mustYield(victim.job, job);
    }

    /**
     * Whether room that is made for one job is kept from the other: that one is served later, or
     * would have to give way. Guards against evicted work that reserves its own room, since that is
     * about to come free, so that it is placed there again and evicted again without end.
     */
    private boolean goesBefore(Job job, Job other) {
        return job.queueRank() < other.queueRank() || mustYield(other, job);
    }

    /** A new round, in which the jobs within their teams' guarantees are known. */
    void beginRound() {
        lowestGuaranteed.clear();
        for (Job job : shard.jobs().values()) {
            if (job.isWithinGuarantee() && !job.isFinished() && !job.isHeld()) {
                lowestGuaranteed.merge(
                        job.spec.team(), job.effectivePriority(), PreemptionRules::lower);
            }
        }
    }

    private static JobSpec.Priority lower(JobSpec.Priority one, JobSpec.Priority other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /**
     * Whether the running job gives way to the other one. Work gives way to work of higher
     * priority, and what a team borrows gives way to the guarantee of another team.
     *
     * <p>Guards against jobs that stop each other in a circle, so that none is ever done.
     * Priorities and guarantees by themselves have circles: urgent work beyond its guarantee,
     * guaranteed work of lower priority, and guaranteed work of another team. So work that shares
     * in a guarantee gives way only to work that does as well, and among all that gives way at all,
     * the one that it gives way to shares in a guarantee where it does not, or has a higher
     * priority.
     */
    boolean mustYield(Job running, Job job) {
        if (isNonPreemptible(running)) {
            return false;
        }
        if (running.effectivePriority().compareTo(job.effectivePriority()) > 0) {
            return isNonPreemptible(job) || sharesInGuarantee(job) || !sharesInGuarantee(running);
        }
        return isBorrowingAgainst(running, job);
    }

    /**
     * Whether the job is within its team's guarantee, or goes before a job of its team that is: it
     * could have that job's room.
     */
    private boolean sharesInGuarantee(Job job) {
        JobSpec.Priority lowest = lowestGuaranteed.get(job.spec.team());
        return job.isWithinGuarantee()
                || lowest != null && job.effectivePriority().compareTo(lowest) < 0;
    }

    /** Whether the job's own attempts are never stopped for others: gangs and services. */
    static boolean isNonPreemptible(Job job) {
        return job.spec.isGang() || job.spec.shape() == JobSpec.Shape.SERVICE;
    }

    /**
     * Whether the running job has no share in its team's guarantee, which the team has used up, and
     * the other job, of another team, is within that team's.
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
     * Whether work on the machine is served before the job although it gives way to it: a guarantee
     * is served first, yet a higher priority may stop it. Guards against such work taking the room
     * again in the next round, and being stopped again, without end: the machine is reserved until
     * the stopped tasks can have been reported. For small tasks only then: reserving a machine of
     * which they take a thirtieth would leave the rest of it idle.
     */
    boolean hasWorkServedBefore(Job job, Machine machine) {
        return machine.attempts().stream()
                .anyMatch(
                        attempt ->
                                attempt.job.queueRank() < job.queueRank()
                                        && mustYield(attempt.job, job));
    }

    /** Whether the job still waits for room that comes free by itself, and evicts nothing yet. */
    boolean isWaitingForFreeRoom(Job job, double wallMillis) {
        if (!isSmall(job.spec)) {
            return false;
        }
        double waitMillis =
                WAIT_REPORT_INTERVALS
                        * (1000 * shard.settings().workers().heartbeatIntervalSeconds());
        // Guards against work stopped half done for a stage of a pipeline that is only as urgent as
        // the stage behind it, and has time.
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

    /** Whether the job's tasks are independent and at most half of the smallest machine type. */
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
