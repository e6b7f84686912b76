package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the machines on which evicting work for a job loses the least CPU time. The preemptible
 * work is computed once per scheduling round for all jobs with the same preemption rights.
 */
final class EvictionCandidates {
    /**
     * The properties of a job that decide which work it may preempt.
     *
     * @param nonPreemptible whether the job's own work is never preempted
     */
    private record PreemptionRights(
            JobSpec.Priority priority, boolean guaranteed, String team, boolean nonPreemptible) {
        static PreemptionRights of(Job job) {
            return new PreemptionRights(
                    job.effectivePriority(),
                    job.isWithinGuarantee(),
                    job.spec.team(),
                    PreemptionRules.isNonPreemptible(job));
        }
    }

    /**
     * The work that jobs with the same preemption rights may preempt: its jobs, and the resources
     * that evicting them would free on each machine. Guards against a leader that inspects every
     * attempt of a full fleet for each of the sizes of waiting gangs. Work placed later in the
     * scheduling round is not counted; machines on which attempts are stopped are reserved.
     */
    private static final class PreemptibleWork {
        private final Set<Job> jobs = Collections.newSetFromMap(new IdentityHashMap<>());
        private final Map<Machine, Evictable> evictableByMachine = new IdentityHashMap<>();
    }

    /**
     * The resources that evicting all preemptible work on one machine would free, and the CPU time
     * that it would lose.
     */
    private record Evictable(FreedResources freed, double lostCpuSeconds) {}

    private final ShardState shard;
    private final ProbePlacement placement;
    private final PreemptionRules rules;
    private final Map<PreemptionRights, PreemptibleWork> preemptibleWorkByRights = new HashMap<>();

    EvictionCandidates(ShardState shard, ProbePlacement placement, PreemptionRules rules) {
        this.shard = shard;
        this.placement = placement;
        this.rules = rules;
    }

    /** Clears the preemptible work computed in the previous scheduling round. */
    void beginRound() {
        preemptibleWorkByRights.clear();
    }

    /** Whether the job may preempt any running work. */
    boolean hasPreemptibleWork(Job job) {
        return !preemptibleWork(job).jobs.isEmpty();
    }

    /**
     * Evaluates eviction on each of the machines. The candidates are grouped by zone if the job has
     * to stay in one zone, otherwise they are all under {@link CapacityReservations#ANY_ZONE}.
     */
    Map<String, List<EvictionCandidate>> byZone(Job job, List<Machine> machines, double now) {
        PreemptibleWork preemptible = preemptibleWork(job);
        Map<String, List<EvictionCandidate>> byZone = new LinkedHashMap<>();
        for (Machine machine : machines) {
            String zone = job.spec.isSingleZone() ? machine.zone() : CapacityReservations.ANY_ZONE;
            byZone.computeIfAbsent(zone, key -> new ArrayList<>())
                    .add(candidate(job, machine, preemptible, now));
        }
        return byZone;
    }

    /**
     * Returns the selection that loses the least CPU time among the groups that can hold {@code
     * tasks} tasks; empty if no group can.
     */
    static Optional<List<EvictionCandidate>> cheapest(
            Job job, int tasks, Collection<List<EvictionCandidate>> groups) {
        Optional<List<EvictionCandidate>> cheapest = Optional.empty();
        double cheapestLossCpuSeconds = Double.MAX_VALUE;
        for (List<EvictionCandidate> group : groups) {
            Optional<List<EvictionCandidate>> chosen =
                    chooseCheapest(group, tasks, ZoneConstraints.of(job));
            double lossCpuSeconds =
                    chosen.stream()
                            .flatMap(List::stream)
                            .mapToDouble(EvictionCandidate::lostCpuSeconds)
                            .sum();
            if (chosen.isPresent() && lossCpuSeconds < cheapestLossCpuSeconds) {
                cheapest = chosen;
                cheapestLossCpuSeconds = lossCpuSeconds;
            }
        }
        return cheapest;
    }

    /**
     * Selects candidates that together hold the tasks, least loss per task first; empty if they
     * hold too few.
     */
    private static Optional<List<EvictionCandidate>> chooseCheapest(
            List<EvictionCandidate> candidates, int tasks, ZoneConstraints zones) {
        List<EvictionCandidate> sorted = new ArrayList<>(candidates);
        sorted.sort(
                Comparator.comparingDouble(
                                (EvictionCandidate candidate) ->
                                        candidate.lostCpuSeconds()
                                                / Math.max(1, candidate.slotsAfterEviction()))
                        .thenComparing(candidate -> -candidate.slotsNow())
                        .thenComparing(candidate -> candidate.machine().id));
        List<EvictionCandidate> chosen = new ArrayList<>();
        int missingTasks = tasks;
        for (EvictionCandidate candidate : sorted) {
            if (missingTasks <= 0) {
                break;
            }
            String zone = candidate.machine().zone();
            int slots = Math.min(candidate.slotsAfterEviction(), zones.remainingTasks(zone));
            if (slots > 0) {
                missingTasks -= slots;
                zones.addTasks(zone, slots);
                chosen.add(candidate.limitedTo(slots));
            }
        }
        return missingTasks <= 0 ? Optional.of(chosen) : Optional.empty();
    }

    private PreemptibleWork preemptibleWork(Job job) {
        PreemptionRights rights = PreemptionRights.of(job);
        PreemptibleWork cached = preemptibleWorkByRights.get(rights);
        if (cached != null) {
            return cached;
        }
        PreemptibleWork preemptible = new PreemptibleWork();
        for (Job other : shard.jobs().values()) {
            if (!other.liveAttempts().isEmpty()
                    && (other.isFinished()
                            || other.hasStoppingAttempts()
                            || rules.isPreemptibleBy(other, job))) {
                preemptible.jobs.add(other);
            }
        }
        preemptibleWorkByRights.put(rights, preemptible);
        return preemptible;
    }

    private EvictionCandidate candidate(
            Job job, Machine machine, PreemptibleWork preemptible, double now) {
        Evictable evictable =
                preemptible.evictableByMachine.computeIfAbsent(
                        machine, key -> evictable(job, machine, preemptible, now));
        double lossCpuSeconds = evictable.lostCpuSeconds;
        MachineType type = shard.machineTypes().get(machine.type());
        int slotsAfterEviction = placement.freeSlots(machine, job.spec, evictable.freed);
        if (!machine.hasImage(job.spec.image()) && type.fetchGigabytesPerSecond() > 0) {
            lossCpuSeconds +=
                    slotsAfterEviction
                            * job.spec.cpusPerTask()
                            * job.spec.imageGigabytes()
                            / type.fetchGigabytesPerSecond();
        }
        return new EvictionCandidate(
                machine,
                placement.freeSlots(machine, job.spec),
                slotsAfterEviction,
                lossCpuSeconds);
    }

    private Evictable evictable(Job job, Machine machine, PreemptibleWork preemptible, double now) {
        FreedResources freed = new FreedResources();
        double lostCpuSeconds = 0;
        for (Attempt attempt : machine.attempts()) {
            if (preemptible.jobs.contains(attempt.job) && rules.mayEvict(job, attempt)) {
                freed.add(attempt);
                lostCpuSeconds += attempt.isStopping() ? 0 : lostCpuSeconds(attempt, now);
            }
        }
        return new Evictable(freed, lostCpuSeconds);
    }

    /**
     * Returns the CPU time lost by stopping the attempt: its unsaved work, and about one heartbeat
     * interval until it ends.
     */
    private double lostCpuSeconds(Attempt attempt, double now) {
        return attempt.job.spec.cpusPerTask()
                * (attempt.unsavedSeconds(now)
                        + shard.settings().workers().heartbeatIntervalSeconds());
    }
}
