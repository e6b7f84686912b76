package io.kitepath.core.scheduling;

import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Frees capacity for jobs that find none: evicts preemptible work where that loses the least CPU
 * time, or reserves the machines that become free soonest. See docs/design.md, "Giving way". Not
 * thread-safe: used only on the event loop.
 */
public final class Preemption {
    private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

    /**
     * Heartbeat intervals for which the capacity of evicted work is reserved for the job. The
     * stopped tasks can have been reported as ended by then.
     */
    private static final double RESERVATION_HEARTBEAT_INTERVALS = 2;

    private final ShardState shard;
    private final ProbePlacement placement;
    private final PreemptionRules rules;
    private final EvictionCandidates candidates;
    private final CapacityReservations reservations;
    private final CandidateMachines candidateMachines;
    private final CapacityPromises capacityPromises;
    private long evictions;
    private long evictionsForGuarantees;
    private long evictionsForLargeJobs;

    /**
     * Whether this scheduling round has already searched for capacity for small tasks. One search
     * per round suffices, because it inspects every attempt and the next round follows shortly.
     */
    private boolean hasSearchedForSmallTasks;

    Preemption(
            ShardState shard,
            ProbePlacement placement,
            PreemptionRules rules,
            CandidateMachines candidateMachines,
            CapacityPromises capacityPromises) {
        this.shard = shard;
        this.placement = placement;
        this.rules = rules;
        this.candidates = new EvictionCandidates(shard, placement, rules);
        this.candidateMachines = candidateMachines;
        this.capacityPromises = capacityPromises;
        this.reservations = new CapacityReservations(shard, placement, rules);
    }

    /** Returns the number of attempts evicted for other work since this node started. */
    public long evictions() {
        return evictions;
    }

    /** Returns the number of evictions made for a team's guarantee and not for a priority. */
    public long evictionsForGuarantees() {
        return evictionsForGuarantees;
    }

    /** Returns the number of evictions that freed capacity for gangs and large tasks. */
    public long evictionsForLargeJobs() {
        return evictionsForLargeJobs;
    }

    /**
     * Begins a scheduling round, in which the preemptible work and the jobs with reservations are
     * determined anew.
     */
    void beginRound() {
        reservations.beginRound();
        candidates.beginRound();
        hasSearchedForSmallTasks = false;
    }

    /**
     * Frees capacity for a job that found none: evicts preemptible work where that suffices,
     * otherwise reserves machines for the job, so that smaller work behind it does not take every
     * gap.
     *
     * @param mayWaitForImage whether machines without the image may be left out because enough
     *     others have it
     * @return whether an attempt was stopped or a machine reserved
     */
    boolean freeCapacity(Job job, List<Machine> openMachines, boolean mayWaitForImage, double now) {
        boolean isSmall = rules.isSmall(job.spec);
        if (isSmall) {
            if (hasSearchedForSmallTasks) {
                return false;
            }
            hasSearchedForSmallTasks = true;
            if (!candidates.hasPreemptibleWork(job)) {
                return false;
            }
        }
        int tasks =
                job.spec.isGang()
                        ? job.waitingTasks()
                        : Math.min(job.waitingTasks(), shard.quotaUsage().remainingTasks(job.spec));
        List<Machine> machines =
                candidateMachines.forFreeingCapacity(job, openMachines, mayWaitForImage, now);
        var byZone = candidates.byZone(job, machines, now);
        Optional<List<EvictionCandidate>> cheapest =
                EvictionCandidates.cheapest(job, tasks, byZone.values());
        if (cheapest.isPresent()) {
            evict(job, cheapest.get(), tasks, now);
            return true;
        }
        if (isSmall) {
            return false; // Small tasks fit into gaps without a reservation.
        }
        return reservations.reserveSoonest(job, tasks, byZone.keySet(), machines, now);
    }

    private void evict(Job job, List<EvictionCandidate> chosen, int tasks, double now) {
        boolean isSmall = rules.isSmall(job.spec);
        double reservedUntil =
                now
                        + RESERVATION_HEARTBEAT_INTERVALS
                                * shard.settings().workers().heartbeatIntervalSeconds();
        int missingTasks = tasks;
        for (EvictionCandidate candidate : chosen) {
            if (!isSmall || rules.hasWorkServedBefore(job, candidate.machine())) {
                candidate.machine().reserve(job, reservedUntil);
            } else {
                capacityPromises.promise(candidate.machine(), job, reservedUntil);
            }
            missingTasks -= evict(job, candidate, missingTasks);
        }
    }

    /**
     * Stops just enough attempts on the machine, the latest placed first; returns how many tasks of
     * the job it will hold.
     */
    private int evict(Job job, EvictionCandidate candidate, int tasks) {
        List<Attempt> victims = new ArrayList<>();
        FreedResources freed = new FreedResources();
        for (Attempt attempt : candidate.machine().attempts()) {
            if (rules.mayEvict(job, attempt)) {
                if (attempt.isUnwanted()) {
                    freed.add(attempt);
                } else {
                    victims.add(attempt);
                }
            }
        }
        victims.sort(
                Comparator.comparingDouble((Attempt attempt) -> -attempt.placedAt)
                        .thenComparing(attempt -> -attempt.task));
        int wantedSlots = Math.min(tasks, candidate.slotsAfterEviction());
        for (Attempt attempt : victims) {
            if (placement.freeSlots(candidate.machine(), job.spec, freed) >= wantedSlots) {
                break;
            }
            // An attempt that is not committed yet is withdrawn at once, which already frees its
            // capacity.
            boolean wasDurable = attempt.isDurable();
            logEviction(attempt, job, candidate.machine());
            shard.evictAttempt(attempt, job);
            countEviction(attempt.job, job);
            if (wasDurable) {
                freed.add(attempt);
            }
        }
        return wantedSlots;
    }

    private void logEviction(Attempt victim, Job job, Machine machine) {
        LOG.debug(
                "attempt evicted: attempt={} forJob={} rule={} victimTeam={} forTeam={}"
                        + " victimRank={} forRank={} machineReserved={}",
                victim,
                job.spec.id(),
                isForPriority(victim.job, job) ? "priority" : "guarantee",
                victim.job.spec.team(),
                job.spec.team(),
                victim.job.queueRank(),
                job.queueRank(),
                machine.reservedFor() == job);
    }

    private static boolean isForPriority(Job victim, Job job) {
        return victim.effectivePriority().compareTo(job.effectivePriority()) > 0;
    }

    private void countEviction(Job victim, Job job) {
        evictions++;
        if (!rules.isSmall(job.spec)) {
            evictionsForLargeJobs++;
        }
        if (!isForPriority(victim, job)) {
            evictionsForGuarantees++;
        }
    }
}
