package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.LoopTimeAccounting;
import io.kitepath.core.model.LoopTimeAccounting.Activity;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Scheduling rounds: which waiting work is placed where, in which order, and what is evicted for
 * it. Not thread-safe: used on the event loop only.
 */
public final class Scheduler {
    /** Seconds within which every job has to start, however large it is. */
    private static final double LARGE_JOB_START_SECONDS = 240;

    /** The part of that time after which a large job is served first. */
    private static final double PROMOTE_AFTER_FRACTION = 0.5;

    /**
     * For how long a job of which nothing is placed may leave out machines without its image: half
     * of the 90 s within which it has to be placed where there is room.
     */
    private static final double MAX_IMAGE_WAIT_SECONDS = 45;

    /**
     * What holds for a job in a scheduling round.
     *
     * @param comparable whether the outcome holds for other jobs of the shape, and theirs for it
     * @param waits whether the job still waits for room that comes free by itself
     * @param mayWaitForImage whether it leaves out machines since enough others have its image
     */
    private record Turn(Job job, boolean comparable, boolean waits, boolean mayWaitForImage) {
        /** Whether the outcome for other jobs holds for this one. */
        boolean isKnown(UnschedulableShapes shapes) {
            return comparable
                    && (mayWaitForImage ? shapes.contains(job) : shapes.containsForAnyImage(job));
        }
    }

    private final ShardState shard;
    private final ProbePlacement probePlacement;
    private final PreemptionRules preemptionRules;
    private final Preemption preemption;
    private final PromisedRoom promisedRoom;
    private final GuaranteeAllocation guarantees;
    private final JobPlacer placer;
    private final LoopTimeAccounting loopTime;
    private final WarmReserve warmReserve;

    /** What found no free room in this round. */
    private final UnschedulableShapes withoutFreeRoom = new UnschedulableShapes();

    /** What found none in this round for which eviction can't make room either. */
    private final UnschedulableShapes beyondPreemption = new UnschedulableShapes();

    /** The order as last worked out; empty before. */
    private Optional<List<Job>> lastOrder = Optional.empty();

    private double lastOrderAt;

    /** The job that comes first in that order whatever its rank, if there is one. */
    private Optional<Job> promotedJob = Optional.empty();

    /** The {@link ShardState#jobGeneration} of the jobs in that order. */
    private long lastOrderGeneration;

    /**
     * @param random draws the machines that are probed
     * @param loopTime is told how long ordering and evicting take
     */
    public Scheduler(ShardState shard, Random random, LoopTimeAccounting loopTime) {
        this.shard = shard;
        this.loopTime = loopTime;
        this.probePlacement = new ProbePlacement(random, shard.machineTypes());
        this.preemptionRules = new PreemptionRules(shard);
        this.promisedRoom = new PromisedRoom();
        this.guarantees = new GuaranteeAllocation(shard);
        this.warmReserve = new WarmReserve(shard, probePlacement);
        CandidateMachines candidateMachines =
                new CandidateMachines(probePlacement, preemptionRules, warmReserve, promisedRoom);
        this.preemption =
                new Preemption(
                        shard, probePlacement, preemptionRules, candidateMachines, promisedRoom);
        this.placer = new JobPlacer(shard, probePlacement, candidateMachines);
    }

    /** The choice of machines, for its counters. */
    public ProbePlacement probePlacement() {
        return probePlacement;
    }

    /** The eviction of work, for its counters. */
    public Preemption preemption() {
        return preemption;
    }

    /**
     * The jobs with work to place, in an order not older than {@code maxAgeSeconds}. For callers
     * that look at all waiting work and don't depend on its exact order: working the order out
     * takes as long as a whole scheduling round.
     */
    public List<Job> orderedJobs(double now, double wallMillis, double maxAgeSeconds) {
        if (lastOrder.isEmpty()
                || lastOrderGeneration != shard.jobGeneration()
                || now - lastOrderAt > maxAgeSeconds) {
            return orderedJobs(now, wallMillis);
        }
        return lastOrder.get().stream().filter(job -> job.waitingTasks() > 0).toList();
    }

    /**
     * The unfinished jobs with work to place, in the order in which they are served.
     *
     * @param now seconds on the steady clock
     * @param wallMillis milliseconds since 1970
     */
    public List<Job> orderedJobs(double now, double wallMillis) {
        double began = loopTime.nowSeconds();
        // There may be many jobs that wait for others, which need no order.
        List<Job> jobs = shard.jobs().values().stream().filter(job -> !job.isHeld()).toList();
        shard.serviceLevels().update(jobs, this::startLatencySeconds, wallMillis);
        guarantees.mark(jobs);
        // A job that fails everywhere is served last and takes nobody's time.
        List<Job> sound = new ArrayList<>();
        List<Job> failing = new ArrayList<>();
        for (Job job : jobs) {
            (shard.failureDiagnosis().isJobAtFault(job, now) ? failing : sound).add(job);
        }
        Map<MachineKind, Integer> machines = countOpenMachines();
        List<Job> order =
                new SchedulingQueue(
                                spec -> usableCpus(spec, machines),
                                this::startLatencySeconds,
                                shard.serviceLevels()::catchUpShare,
                                now,
                                wallMillis)
                        .sortJobs(sound);
        promoteLargestJob(order, wallMillis);
        failing.removeIf(job -> job.waitingTasks() == 0);
        order.addAll(failing);
        lastOrder = Optional.of(List.copyOf(order));
        lastOrderAt = now;
        lastOrderGeneration = shard.jobGeneration();
        loopTime.record(Activity.ORDERING, began);
        return order;
    }

    private double startLatencySeconds(JobSpec spec) {
        return shard.startLatencies().upperEstimateSeconds(spec.jobClass());
    }

    private Map<MachineKind, Integer> countOpenMachines() {
        Map<MachineKind, Integer> counts = new HashMap<>();
        for (Machine machine : shard.machines().values()) {
            if (machine.isSchedulable() && shard.machineTypes().containsKey(machine.type())) {
                counts.merge(machine.kind(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /**
     * Serves the longest waiting of a class's largest jobs first, once it has used most of the time
     * within which it has to start; it evicts nothing that it might not evict anyway. Guards
     * against such a job being overtaken for ever: what asks for much at once goes without whenever
     * others go first by size or rank. One at a time, since room is kept for it meanwhile.
     */
    private void promoteLargestJob(List<Job> order, double wallMillis) {
        double since = wallMillis - 1000 * LARGE_JOB_START_SECONDS * PROMOTE_AFTER_FRACTION;
        promotedJob =
                order.stream()
                        .filter(
                                job ->
                                        (job.spec.isGang() || job.spec.isSingleZone())
                                                && job.eligibleSinceMillis() < since
                                                && !job.hasStarted()
                                                && shard.serviceLevels().isLargest(job.spec))
                        .min(Comparator.comparingDouble(Job::eligibleSinceMillis));
        promotedJob.ifPresent(
                job -> {
                    order.remove(job);
                    order.add(0, job);
                });
    }

    /** How many CPUs such jobs could use at once if these machines, counted by kind, were empty. */
    private double usableCpus(JobSpec spec, Map<MachineKind, Integer> machines) {
        double cpus = 0;
        for (Map.Entry<MachineKind, Integer> count : machines.entrySet()) {
            MachineKind kind = count.getKey();
            if (ProbePlacement.isAllowed(kind, spec)) {
                int slots =
                        ProbePlacement.maxSlots(spec, shard.machineTypes().get(kind.machineType()));
                cpus += count.getValue() * spec.cpusPerTask() * slots;
            }
        }
        return cpus;
    }

    /**
     * Runs a scheduling round: places as many waiting tasks as it can, at most {@code limit}. The
     * placings take effect once they are written.
     *
     * @return how many tasks were placed
     */
    public int placeWaitingTasks(double now, double wallMillis, int limit) {
        shard.beginSchedulingRound(now);
        List<Job> order = orderedJobs(now, wallMillis);
        preemptionRules.beginRound();
        preemption.beginRound();
        promisedRoom.beginRound(promotedJob, now);
        List<Machine> open =
                shard.machines().values().stream().filter(Machine::isSchedulable).toList();
        warmReserve.chooseMachines(open, wallMillis);
        withoutFreeRoom.clear();
        beyondPreemption.clear();
        Set<Job> withReservation = new HashSet<>();
        open.forEach(machine -> withReservation.add(machine.reservedFor()));
        int placed = 0;
        for (Job job : order) {
            shard.markBacklog();
            if (placed >= limit) {
                shard.requestScheduling();
                break;
            }
            if (now >= job.notBefore()) {
                Turn turn =
                        new Turn(
                                job,
                                isComparable(job) && !withReservation.contains(job),
                                preemptionRules.isWaitingForFreeRoom(job, wallMillis),
                                mayWaitForImage(job, now, wallMillis));
                placed += placeJob(turn, open, limit - placed, now);
            }
        }
        return placed;
    }

    /**
     * Whether the job may still wait for machines that have its image. Guards against a job that
     * waits beside a machine with room for as long as long tasks keep those with its image full:
     * once none of it was placed for a while, it takes what there is.
     */
    private static boolean mayWaitForImage(Job job, double now, double wallMillis) {
        return wallMillis - job.eligibleSinceMillis() < 1000 * MAX_IMAGE_WAIT_SECONDS
                || now - job.lastPlacedAt() < MAX_IMAGE_WAIT_SECONDS;
    }

    /**
     * Whether what such a job finds holds for other jobs of its shape as well; not for a job that
     * failed, or that has to look at where its other tasks are.
     */
    private static boolean isComparable(Job job) {
        if (!job.failedMachines().isEmpty()) {
            return false;
        }
        return job.spec.isGang()
                ? job.liveAttempts().isEmpty()
                : !job.spec.isSingleZone() && !job.spec.isSpreadAcrossZones();
    }

    /** Places what it can of the job, and makes room for the rest. */
    private int placeJob(Turn turn, List<Machine> open, int limit, double now) {
        Job job = turn.job;
        boolean knownWithoutRoom = turn.isKnown(withoutFreeRoom);
        if (turn.waits && knownWithoutRoom || turn.isKnown(beyondPreemption)) {
            return 0;
        }
        JobPlacer.Result result =
                knownWithoutRoom
                        ? JobPlacer.Result.NONE
                        : placer.place(job, open, turn.mayWaitForImage, limit, now);
        int placed = result.placed();
        // A job whose records are full for now does not stand for others, which may fit.
        if (result.recordsFull() || placed >= limit || !mayPlaceMore(job, now)) {
            return placed;
        }
        if (turn.comparable) {
            withoutFreeRoom.add(job, result.waitingForImage());
        }
        if (turn.waits) {
            return placed;
        }
        if (!makeRoom(job, open, turn.mayWaitForImage, now)) {
            if (turn.comparable) {
                // Making room may have left out machines that lack this job's image.
                beyondPreemption.add(job, turn.mayWaitForImage && job.spec.allowsSpot());
            }
        } else if (!job.spec.isGang()) {
            // Placings that were not written yet free their room at once. Guards against the work
            // that gave way taking it again in the same round, over and over.
            placed +=
                    placer.placeTasks(job, open, turn.mayWaitForImage, limit - placed, now)
                            .placed();
        }
        return placed;
    }

    /**
     * Whether the job has waiting tasks that more room would help. A gang that still has tasks on
     * machines waits for those, whatever room there is.
     */
    private boolean mayPlaceMore(Job job, double now) {
        return job.waitingTasks() > 0
                && !shard.failureDiagnosis().isJobAtFault(job, now)
                && shard.quotaUsage().remainingTasks(job.spec)
                        >= (job.spec.isGang() ? job.spec.taskCount() : 1);
    }

    private boolean makeRoom(Job job, List<Machine> open, boolean mayWaitForImage, double now) {
        double began = loopTime.nowSeconds();
        boolean made = preemption.makeRoom(job, open, mayWaitForImage, now);
        loopTime.record(Activity.GIVING_WAY, began);
        return made;
    }
}
