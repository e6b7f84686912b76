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
 * Makes room for jobs that find none: evicts work that has to give way where that loses least, or
 * reserves the machines that come free soonest. See docs/design.md, "Giving way". Not thread-safe:
 * used on the event loop only.
 */
public final class Preemption {
    private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

    /**
     * Report intervals for which the room of evicted work is held for the job: by then the stopped
     * tasks can have been reported as ended.
     */
    private static final double RESERVE_REPORT_INTERVALS = 2;

    private final ShardState shard;
    private final ProbePlacement placement;
    private final PreemptionRules rules;
    private final EvictionCandidates candidates;
    private final RoomReservations reservations;
    private final CandidateMachines candidateMachines;
    private final PromisedRoom promisedRoom;
    private long evictions;
    private long evictionsForGuarantees;
    private long evictionsForGangs;

    /**
     * Whether this round has searched for room for small tasks. One search a round is enough, as it
     * inspects every attempt and the next round comes in a moment.
     */
    private boolean hasSearchedForSmallJobs;

    Preemption(
            ShardState shard,
            ProbePlacement placement,
            PreemptionRules rules,
            CandidateMachines candidateMachines,
            PromisedRoom promisedRoom) {
        this.shard = shard;
        this.placement = placement;
        this.rules = rules;
        this.candidates = new EvictionCandidates(shard, placement, rules);
        this.candidateMachines = candidateMachines;
        this.promisedRoom = promisedRoom;
        this.reservations = new RoomReservations(shard, placement, rules);
    }

    /** Attempts stopped for other work since this node started. */
    public long evictions() {
        return evictions;
    }

    /** Those of the evictions that a team's guarantee was the reason for, not a priority. */
    public long evictionsForGuarantees() {
        return evictionsForGuarantees;
    }

    /** Those of the evictions that made room for gangs and large tasks. */
    public long evictionsForGangs() {
        return evictionsForGangs;
    }

    /** A new round: what gives way and which job reserves room are decided anew. */
    void beginRound() {
        reservations.beginRound();
        candidates.beginRound();
        hasSearchedForSmallJobs = false;
    }

    /**
     * For a job that found no room: evicts lesser work where that is enough, or else reserves
     * machines for the job, so that smaller work behind it does not take every gap.
     *
     * @param mayWaitForImage whether machines may be left out since enough others have the image
     * @return whether anything was stopped or reserved
     */
    boolean makeRoom(Job job, List<Machine> open, boolean mayWaitForImage, double now) {
        boolean small = rules.isSmall(job.spec);
        if (small) {
            if (hasSearchedForSmallJobs) {
                return false;
            }
            hasSearchedForSmallJobs = true;
            if (!candidates.hasYieldingWork(job)) {
                return false;
            }
        }
        int tasks =
                job.spec.isGang()
                        ? job.waitingTasks()
                        : Math.min(job.waitingTasks(), shard.quotaUsage().remainingTasks(job.spec));
        List<Machine> machines = candidateMachines.forMakingRoom(job, open, mayWaitForImage, now);
        var byZone = candidates.byZone(job, machines, now);
        Optional<List<EvictionCandidate>> cheapest =
                EvictionCandidates.cheapest(job, tasks, byZone.values());
        if (cheapest.isPresent()) {
            evict(job, cheapest.get(), tasks, now);
            return true;
        }
        if (small) {
            return false; // Small tasks find gaps by themselves.
        }
        return reservations.reserveSoonest(job, tasks, byZone.keySet(), machines, now);
    }

    private void evict(Job job, List<EvictionCandidate> chosen, int tasks, double now) {
        boolean small = rules.isSmall(job.spec);
        double reservedUntil =
                now
                        + RESERVE_REPORT_INTERVALS
                                * shard.settings().workers().heartbeatIntervalSeconds();
        int missing = tasks;
        for (EvictionCandidate candidate : chosen) {
            if (!small || rules.hasWorkServedBefore(job, candidate.machine())) {
                candidate.machine().reserve(job, reservedUntil);
            } else {
                promisedRoom.promise(candidate.machine(), job, reservedUntil);
            }
            missing -= evict(job, candidate, missing);
        }
    }

    /**
     * Stops just enough on the machine, the latest placed first; returns how many tasks of the job
     * it will hold.
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
        int wanted = Math.min(tasks, candidate.slotsAfterEviction());
        for (Attempt attempt : victims) {
            if (placement.freeSlots(candidate.machine(), job.spec, freed) >= wanted) {
                break;
            }
            // An attempt that is not on record yet is taken back at once, and frees its room
            // itself.
            boolean durable = attempt.isDurable();
            logEviction(attempt, job, candidate.machine());
            shard.evictAttempt(attempt, job);
            countEviction(attempt.job, job);
            if (durable) {
                freed.add(attempt);
            }
        }
        return wanted;
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
            evictionsForGangs++;
        }
        if (!isForPriority(victim, job)) {
            evictionsForGuarantees++;
        }
    }
}
