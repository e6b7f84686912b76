package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.scheduling.Scheduler;
import io.kitepath.core.scheduling.ZoneConstraints;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** How many machines are wanted: what to rent for the work that waits, and what to give back. */
public final class ScalingPlanner {
    private static final Logger LOG = LoggerFactory.getLogger(ScalingPlanner.class);

    /** What to rent by kind, the soonest wanted first, and what to give back. */
    public record Plan(Map<MachineKind, Integer> countsToRent, List<String> machinesToRelease) {}

    private final ClusterSettings settings;
    private final ShardState shard;
    private final Scheduler scheduler;
    private final InstanceSelection instanceSelection;
    private final MachineLiveness machineLiveness;
    private final ScaleIn scaleIn;

    /** CPUs of what is up or coming. */
    private double usableCpus;

    /** CPU seconds of waiting work that may use spot machines. */
    private double spotBacklog;

    public ScalingPlanner(ShardState shard, Scheduler scheduler) {
        this.settings = shard.settings();
        this.shard = shard;
        this.scheduler = scheduler;
        this.instanceSelection = new InstanceSelection(shard);
        this.machineLiveness = new MachineLiveness(shard);
        this.scaleIn = new ScaleIn(shard, instanceSelection, machineLiveness);
    }

    /** The cloud refused this kind, in whole or in part. */
    public void recordRefusal(MachineKind kind, double now) {
        instanceSelection.refused(kind, now);
    }

    public void recordGrant(MachineKind kind) {
        instanceSelection.recordGrant(kind);
    }

    /** {@code leadingSince}: silence is counted from then at the earliest. */
    public Plan plan(double now, double wallMs, double leadingSince) {
        machineLiveness.silenceSince(leadingSince);
        measureCapacity(now);
        Map<MachineKind, Integer> rent = new LinkedHashMap<>();
        List<FreeCapacity> rooms = freeCapacities(now, null);
        List<Job> queue =
                scheduler.orderedJobs(
                        now, wallMs, settings.workers().heartbeatIntervalSeconds() / 8);
        for (Job job : queue) {
            planForJob(job, rooms, rent, now, wallMs);
        }
        Set<Machine> kept = isIdle() ? Set.of() : reserveForObjectives(queue, rent, now, wallMs);
        rentForGuarantees(rent, now);
        List<String> release = scaleIn.machinesToRelease(now, kept, usableCpus - guaranteedCpus());
        scaleIn.moveTasksToSpot(now, wallMs);
        return new Plan(rent, release);
    }

    private void measureCapacity(double now) {
        instanceSelection.countMachines();
        usableCpus = 0;
        for (Machine machine : shard.machines().values()) {
            MachineType type =
                    machine.type() == null ? null : shard.machineTypes().get(machine.type());
            if (type == null) {
                continue;
            }
            if (MachineLiveness.isUsable(machine) && !machineLiveness.isLate(machine, now)) {
                usableCpus += type.cpus();
            }
        }
        spotBacklog = 0;
        for (Job job : shard.jobs().values()) {
            if (job.spec.allowsSpot() && !shard.failureDiagnosis().isJobAtFault(job, now)) {
                spotBacklog +=
                        job.waitingTasks() * job.spec.cpusPerTask() * job.spec.estimatedSeconds();
            }
        }
    }

    /**
     * The room of all machines that are up or coming: as it will be by the time a new machine could
     * be up, or, for a job that may come at any moment, as it is now with lesser work stopped.
     */
    private List<FreeCapacity> freeCapacities(double now, JobSpec forNow) {
        List<FreeCapacity> rooms = new ArrayList<>();
        for (Machine machine : shard.machines().values()) {
            MachineType type =
                    machine.type() == null ? null : shard.machineTypes().get(machine.type());
            if (type == null
                    || !MachineLiveness.isUsable(machine)
                    || machineLiveness.isLate(machine, now)) {
                continue;
            }
            FreeCapacity capacity = new FreeCapacity(type, machine.kind(), machine);
            for (Attempt attempt : machine.attempts()) {
                if (!attempt.isUnwanted()
                        && (forNow == null
                                ? attempt.remainingSeconds(now) > type.bootSeconds()
                                : attempt.job.spec.isGang()
                                        || attempt.job
                                                        .effectivePriority()
                                                        .compareTo(forNow.priority())
                                                <= 0)) {
                    capacity.afterBoot.subtract(attempt.job.spec, 1);
                }
                if (!attempt.isUnwanted()) {
                    capacity.immediately.subtract(attempt.job.spec, 1);
                }
            }
            rooms.add(capacity);
        }
        return rooms;
    }

    /**
     * Classes that are expected to start sooner than a machine boots need room that is there
     * already: enough for all but the largest of the gangs that came lately, by the share that the
     * objective names.
     */
    private Set<Machine> reserveForObjectives(
            List<Job> queue, Map<MachineKind, Integer> rent, double now, double wallMs) {
        Set<Machine> kept = new HashSet<>();
        double boot =
                shard.machineTypes().values().stream()
                        .mapToDouble(MachineType::bootSeconds)
                        .min()
                        .orElse(0);
        for (ClusterSettings.Objective objective : settings.objectives()) {
            boolean wait =
                    objective.kind().equals("wait")
                            && objective.withinSeconds() < boot
                            && queue.stream()
                                    .noneMatch(
                                            job ->
                                                    job.spec
                                                            .jobClass()
                                                            .equals(objective.jobClass()));
            JobSpec typical =
                    wait || objective.kind().equals("deadline")
                            ? shard.recentArrivals()
                                    .typicalSpec(
                                            objective.jobClass(),
                                            objective.targetShare(),
                                            wallMs,
                                            boot)
                            : null;
            if (typical == null) {
                continue;
            }
            int atOnce = typical.taskCount();
            if (typical.shape() == JobSpec.Shape.ARRAY && typical.deadlineSeconds() != null) {
                double rounds =
                        Math.max(
                                1,
                                typical.deadlineSeconds()
                                        / 2
                                        / Math.max(1, typical.estimatedSeconds()));
                // As many come within a boot time as usual, give or take the square root of it.
                double spread =
                        Math.sqrt(
                                Math.max(
                                        1,
                                        boot
                                                * shard.recentArrivals()
                                                        .jobsPerSecond(
                                                                objective.jobClass(), wallMs)));
                atOnce = (int) Math.ceil(spread * typical.taskCount() / rounds);
            }
            List<FreeCapacity> rooms = freeCapacities(now, typical);
            ZoneConstraints zones = ZoneConstraints.of(typical);
            chooseZone(zones, typical, atOnce, rooms, now);
            rooms.removeIf(
                    capacity ->
                            !InstanceSelection.isAllowed(
                                    capacity.kind, typical, zones.boundZone()));
            rooms.sort(
                    Comparator.comparingDouble(
                            capacity -> capacity.afterBoot.cpus - capacity.type.cpus()));
            for (FreeCapacity capacity : rooms) {
                int n =
                        capacity.allocate(
                                typical,
                                Math.min(atOnce, zones.remainingTasks(capacity.kind.zone())),
                                false);
                zones.addTasks(capacity.kind.zone(), n);
                atOnce -= n;
                if (n > 0) {
                    kept.add(capacity.machine);
                }
            }
            addRentals(typical, atOnce, zones, rent, now, kind -> true);
        }
        return kept;
    }

    /**
     * Adds machines for that many tasks to what is to be rented, of the cheapest kinds; stops at
     * one that is not worth it. Returns the new machines' rooms, with the tasks in them.
     */
    private List<FreeCapacity> addRentals(
            JobSpec spec,
            int tasks,
            ZoneConstraints zones,
            Map<MachineKind, Integer> rent,
            double now,
            Predicate<MachineKind> worth) {
        List<FreeCapacity> rented = new ArrayList<>();
        int left = tasks;
        while (left > 0) {
            MachineKind kind =
                    instanceSelection.cheapestKind(
                            spec, z -> zones.remainingTasks(z) > 0, rent, now);
            if (kind == null || !worth.test(kind)) {
                break;
            }
            FreeCapacity capacity =
                    new FreeCapacity(shard.machineTypes().get(kind.machineType()), kind, null);
            int n =
                    capacity.allocate(
                            spec, Math.min(left, zones.remainingTasks(kind.zone())), false);
            if (n == 0) {
                break;
            }
            zones.addTasks(kind.zone(), n);
            left -= n;
            rent.merge(kind, 1, Integer::sum);
            rented.add(capacity);
        }
        return rented;
    }

    /** Guards against a fleet kept rented for work that may come when none has come for long. */
    private boolean isIdle() {
        return shard.jobs().values().stream().allMatch(job -> job.isFinished());
    }

    private double guaranteedCpus() {
        return isIdle()
                ? 0
                : settings.teams().values().stream()
                        .mapToDouble(ClusterSettings.Team::guaranteedCpus)
                        .sum();
    }

    /**
     * What teams are guaranteed must not wait for a boot: all guarantees together are kept rented.
     */
    private void rentForGuarantees(Map<MachineKind, Integer> rent, double now) {
        double missing = guaranteedCpus() - usableCpus;
        for (Map.Entry<MachineKind, Integer> e : rent.entrySet()) {
            missing -= e.getValue() * shard.machineTypes().get(e.getKey().machineType()).cpus();
        }
        while (missing > 0) {
            MachineKind best = instanceSelection.cheapestKindByCpu(rent, now);
            if (best == null) {
                return;
            }
            rent.merge(best, 1, Integer::sum);
            missing -= shard.machineTypes().get(best.machineType()).cpus();
        }
    }

    private void planForJob(
            Job job,
            List<FreeCapacity> rooms,
            Map<MachineKind, Integer> rent,
            double now,
            double wallMs) {
        if (shard.failureDiagnosis().isJobAtFault(job, now)) {
            return; // It is tried in what is free anyway.
        }
        JobSpec spec = job.spec;
        int waiting = Math.min(job.waitingTasks(), shard.quotaUsage().remainingTasks(spec));
        if (spec.isGang()) {
            waiting = waiting == spec.taskCount() ? waiting : 0;
        } else if (spec.shape() == JobSpec.Shape.ARRAY) {
            // Not a place for every task at once: as many as finish the job in good time, one after
            // the other.
            double aim =
                    settings.shortestFinishObjectiveSeconds(
                                    spec.jobClass(), 10 * settings.workers().leaseSeconds())
                            / 2.5;
            if (job.hasDeadline()) {
                aim = (job.dueMillis() - wallMs) / 1000;
            }
            double each = Math.max(1, spec.estimatedSeconds());
            double places =
                    Math.ceil(
                            (job.waitingTasks() + job.liveAttempts().size())
                                    * each
                                    / Math.max(each, aim));
            waiting = (int) Math.max(0, Math.min(waiting, places - job.liveAttempts().size()));
        }
        if (waiting == 0) {
            return;
        }
        ZoneConstraints zones = ZoneConstraints.of(job);
        chooseZone(zones, spec, waiting, rooms, now);
        // Guards against work that could run on spot machines filling ordinary ones for good, at
        // several times the price: it may use what is free there, but spot machines are rented for
        // it as if it could not.
        boolean spotOnly = spec.allowsSpot() && instanceSelection.isSpotAvailable(spec, now);
        // Room that frees within a boot time is as good as a new machine, but not for a job that
        // has to start sooner to meet its deadline: such work needs the room that is free now, or
        // more of it.
        boolean atOnce = job.hasDeadline();
        for (FreeCapacity capacity : rooms) {
            if (waiting == 0) {
                break;
            }
            int most = zones.remainingTasks(capacity.kind.zone());
            if (most > 0
                    && capacity.hasCpusFor(spec, atOnce)
                    && InstanceSelection.isAllowed(capacity.kind, spec, spec.zone())
                    && (capacity.kind.spot() || !spotOnly)) {
                int n = capacity.allocate(spec, Math.min(waiting, most), atOnce);
                zones.addTasks(capacity.kind.zone(), n);
                waiting -= n;
            }
        }
        rooms.addAll(
                addRentals(
                        spec,
                        waiting,
                        zones,
                        rent,
                        now,
                        kind ->
                                !spec.allowsSpot()
                                        || kind.spot()
                                        || !mayFinishOnSpot(job, wallMs)));
    }

    /**
     * Whether the job will be done when it should be even if it only gets its turn on what is
     * rented. Guards against ordinary machines rented at several times the price because spot ones
     * have run out for the moment.
     */
    private boolean mayFinishOnSpot(Job job, double wallMs) {
        int goal = job.startGoalCount() - 1;
        if (job.hasDeadline()) {
            // A deadline is missed long before a machine is up, by this job and by those that come
            // like it meanwhile.
            goal = 0;
            while (goal < job.startGoalCount() - 1 && job.startGoalMillis(goal) < wallMs) {
                goal++;
            }
        }
        double left = job.startGoalMillis(goal) - wallMs;
        return spotBacklog / Math.max(1, usableCpus) < left / 1000;
    }

    /**
     * For a job that must stay in one zone and is in none yet: that where it could use most of what
     * is there or coming. A gang needs a zone that holds all of it, or where what it lacks may be
     * had.
     */
    private void chooseZone(
            ZoneConstraints zones, JobSpec spec, int tasks, List<FreeCapacity> rooms, double now) {
        if (!spec.isSingleZone() || zones.isDecided()) {
            return;
        }
        Map<String, Double> score = new LinkedHashMap<>();
        Set<String> open = new HashSet<>();
        for (String z : settings.zones()) {
            if (instanceSelection.cheapestKind(spec, z::equals, Map.of(), now) != null) {
                open.add(z);
            }
            score.put(z, open.contains(z) ? 0.1 : 0);
        }
        for (FreeCapacity capacity : rooms) {
            if (InstanceSelection.isAllowed(capacity.kind, spec, null) && spec.cpusPerTask() > 0) {
                score.merge(
                        capacity.kind.zone(),
                        Math.floor(capacity.afterBoot.cpus / spec.cpusPerTask()),
                        Double::sum);
            }
        }
        Comparator<Map.Entry<String, Double>> order =
                Comparator.comparing(
                        e -> spec.isGang() && (open.contains(e.getKey()) || e.getValue() >= tasks));
        score.entrySet().stream()
                .max(order.thenComparing(Map.Entry.comparingByValue()))
                .ifPresent(e -> zones.bindTo(e.getKey()));
    }
}
