package io.kitepath.core.scheduling;

import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Reserves the machines on which a large job can start soonest, as running work ends, so that
 * smaller work behind it does not take every gap. Other work may use those machines meanwhile if it
 * ends before the job starts (backfilling; docs/design.md, "Room kept for a gang").
 */
final class CapacityReservations {
    /** Zone key of jobs that may run in any zone. */
    static final String ANY_ZONE = "";

    /**
     * Capacity for {@code tasks} tasks of a job that is expected to be free on a machine after
     * {@code availableInSeconds} seconds.
     */
    private record ExpectedCapacity(Machine machine, double availableInSeconds, int tasks) {}

    private final ShardState shard;
    private final ProbePlacement placement;
    private final PreemptionRules rules;

    /** Number of jobs for which machines are reserved in this scheduling round, by zone. */
    private final Map<String, Integer> reservingJobsByZone = new HashMap<>();

    CapacityReservations(ShardState shard, ProbePlacement placement, PreemptionRules rules) {
        this.shard = shard;
        this.placement = placement;
        this.rules = rules;
    }

    /** Clears the reservations of the previous scheduling round, which are decided anew. */
    void beginRound() {
        reservingJobsByZone.clear();
    }

    /** Whether the machine is not reserved, or is reserved for this job. */
    static boolean isFreeFor(Job job, Machine machine) {
        return machine.reservedFor() == null || machine.reservedFor() == job;
    }

    /**
     * Reserves capacity for {@code tasks} tasks in the zone where all of it is free soonest;
     * returns whether there is such a zone. In each zone only the first job reserves capacity and
     * the others use what is free, so that machines do not idle in gaps that each wait for another
     * gang.
     */
    boolean reserveSoonest(
            Job job, int tasks, Set<String> zones, List<Machine> machines, double now) {
        List<ExpectedCapacity> soonest = List.of();
        Optional<String> soonestZone = Optional.empty();
        for (String zone : zones) {
            if (reservingJobsByZone.getOrDefault(zone, 0) >= maxReservingJobs(zone)) {
                continue;
            }
            List<ExpectedCapacity> expected = expectedCapacity(job, zone, machines, now);
            Optional<List<ExpectedCapacity>> chosen =
                    chooseSoonest(expected, tasks, ZoneConstraints.of(job));
            if (chosen.isPresent()
                    && (soonestZone.isEmpty()
                            || secondsUntilAllAvailable(chosen.get())
                                    < secondsUntilAllAvailable(soonest))) {
                soonest = chosen.get();
                soonestZone = Optional.of(zone);
            }
        }
        if (soonestZone.isEmpty()) {
            return false;
        }
        double expectedStart = now + secondsUntilAllAvailable(soonest);
        soonest.forEach(capacity -> capacity.machine.reserveAllowingBackfill(job, expectedStart));
        reservingJobsByZone.merge(soonestZone.get(), 1, Integer::sum);
        return true;
    }

    private int maxReservingJobs(String zone) {
        return zone.equals(ANY_ZONE) ? shard.settings().zones().size() : 1;
    }

    private List<ExpectedCapacity> expectedCapacity(
            Job job, String zone, List<Machine> machines, double now) {
        List<ExpectedCapacity> expected = new ArrayList<>();
        for (Machine machine : machines) {
            if (zone.equals(ANY_ZONE) || zone.equals(machine.zone())) {
                addExpectedCapacity(job, machine, now, expected);
            }
        }
        return expected;
    }

    /** Adds the capacity that is freed on the machine as its attempts end one after the other. */
    private void addExpectedCapacity(
            Job job, Machine machine, double now, List<ExpectedCapacity> expected) {
        List<Attempt> attempts = new ArrayList<>(machine.attempts());
        attempts.sort(Comparator.comparingDouble(attempt -> endsInSeconds(job, attempt, now)));
        int slots = placement.freeSlots(machine, job.spec);
        if (slots > 0) {
            expected.add(new ExpectedCapacity(machine, 0, slots));
        }
        FreedResources freed = new FreedResources();
        for (Attempt attempt : attempts) {
            freed.add(attempt);
            int slotsThen = placement.freeSlots(machine, job.spec, freed);
            if (slotsThen > slots) {
                double availableInSeconds = endsInSeconds(job, attempt, now);
                expected.add(new ExpectedCapacity(machine, availableInSeconds, slotsThen - slots));
                slots = slotsThen;
            }
        }
    }

    private double endsInSeconds(Job job, Attempt attempt, double now) {
        return rules.mayEvict(job, attempt) ? 0 : attempt.remainingSeconds(now);
    }

    private static Optional<List<ExpectedCapacity>> chooseSoonest(
            List<ExpectedCapacity> expected, int tasks, ZoneConstraints zones) {
        expected.sort(
                Comparator.comparingDouble(ExpectedCapacity::availableInSeconds)
                        .thenComparing(capacity -> capacity.machine.id));
        List<ExpectedCapacity> chosen = new ArrayList<>();
        int missing = tasks;
        for (ExpectedCapacity capacity : expected) {
            if (missing <= 0) {
                break;
            }
            String zone = capacity.machine.zone();
            int slots = Math.min(capacity.tasks, zones.remainingTasks(zone));
            if (slots > 0) {
                chosen.add(capacity);
                missing -= slots;
                zones.addTasks(zone, slots);
            }
        }
        return missing <= 0 ? Optional.of(chosen) : Optional.empty();
    }

    private static double secondsUntilAllAvailable(List<ExpectedCapacity> capacities) {
        return capacities.isEmpty() ? 0 : capacities.get(capacities.size() - 1).availableInSeconds;
    }
}
