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
 * Runs scheduling rounds: decides which waiting work is placed where, in which order, and which
 * work is evicted for it. Not thread-safe: used only on the event loop.
 */
public final class Scheduler {
    /** Seconds within which every job has to start, regardless of its size. */
    private static final double LARGE_JOB_START_SECONDS = 240;

    /** Fraction of {@link #LARGE_JOB_START_SECONDS} after which a large job is served first. */
    private static final double PROMOTE_AFTER_FRACTION = 0.5;

    /**
     * How long a job of which no task is placed may leave out machines without its image: half of
     * the 90 s within which it has to be placed if there is free capacity.
     */
    private static final double MAX_IMAGE_WAIT_SECONDS = 45;

    /**
     * A job and the conditions under which it is served in a scheduling round.
     *
     * @param comparable whether its result applies to other jobs of its shape, and theirs to it
     * @param waitsForFreeCapacity whether it still waits for capacity that is freed without
     *     eviction
     * @param mayWaitForImage whether it leaves out machines because enough others have its image
     */
    private record JobContext(
            Job job, boolean comparable, boolean waitsForFreeCapacity, boolean mayWaitForImage) {
        /** Whether the recorded results of other jobs apply to this job. */
        boolean isCoveredBy(UnschedulableShapes shapes) {
            return comparable
                    && (mayWaitForImage ? shapes.contains(job) : shapes.containsForAnyImage(job));
        }
    }

    private final ShardState shard;
    private final ProbePlacement probePlacement;
    private final PreemptionRules preemptionRules;
    private final Preemption preemption;
    private final CapacityPromises capacityPromises;
    private final GuaranteeAllocation guarantees;
    private final JobPlacer placer;
    private final LoopTimeAccounting loopTime;
    private final WarmReserve warmReserve;

    /** Shapes that found no free capacity in this scheduling round. */
    private final UnschedulableShapes shapesWithoutFreeCapacity = new UnschedulableShapes();

    /**
     * Shapes that found no free capacity in this scheduling round and for which eviction cannot
     * free any.
     */
    private final UnschedulableShapes shapesBeyondPreemption = new UnschedulableShapes();

    /** The last computed order; empty before the first computation. */
    private Optional<List<Job>> lastOrder = Optional.empty();

    private double lastOrderAtSeconds;

    /** The job that comes first in that order regardless of its rank, if there is one. */
    private Optional<Job> promotedJob = Optional.empty();

    /** The {@link ShardState#jobGeneration} of the jobs in that order. */
    private long lastOrderGeneration;

    /**
     * @param random random source for the machines to probe
     * @param loopTime records the time spent on ordering and evicting
     */
    public Scheduler(ShardState shard, Random random, LoopTimeAccounting loopTime) {
        this.shard = shard;
        this.loopTime = loopTime;
        this.probePlacement = new ProbePlacement(random, shard.machineTypes());
        this.preemptionRules = new PreemptionRules(shard);
        this.capacityPromises = new CapacityPromises();
        this.guarantees = new GuaranteeAllocation(shard);
        this.warmReserve = new WarmReserve(shard, probePlacement);
        CandidateMachines candidateMachines =
                new CandidateMachines(
                        probePlacement, preemptionRules, warmReserve, capacityPromises);
        this.preemption =
                new Preemption(
                        shard,
                        probePlacement,
                        preemptionRules,
                        candidateMachines,
                        capacityPromises);
        this.placer = new JobPlacer(shard, probePlacement, candidateMachines);
    }

    /** Returns the component that selects machines, for its counters. */
    public ProbePlacement probePlacement() {
        return probePlacement;
    }

    /** Returns the component that evicts work, for its counters. */
    public Preemption preemption() {
        return preemption;
    }

    /**
     * Returns the jobs with waiting tasks, in an order that is at most {@code maxAgeSeconds} old.
     * For callers that need all waiting work but do not depend on its exact order: computing the
     * order takes as long as a whole scheduling round.
     */
    public List<Job> orderedJobs(double now, double wallMillis, double maxAgeSeconds) {
        if (lastOrder.isEmpty()
                || lastOrderGeneration != shard.jobGeneration()
                || now - lastOrderAtSeconds > maxAgeSeconds) {
            return orderedJobs(now, wallMillis);
        }
        return lastOrder.get().stream().filter(job -> job.waitingTasks() > 0).toList();
    }

    /**
     * Returns the unfinished jobs with waiting tasks, in the order in which they are served.
     *
     * @param now seconds on the steady clock
     * @param wallMillis milliseconds since 1970
     */
    public List<Job> orderedJobs(double now, double wallMillis) {
        double startedAt = loopTime.nowSeconds();
        // Many jobs may be held until other jobs end; these need no order.
        List<Job> jobs = shard.jobs().values().stream().filter(job -> !job.isHeld()).toList();
        shard.serviceLevels().update(jobs, this::startLatencySeconds, wallMillis);
        guarantees.mark(jobs);
        // A job that fails everywhere is served last and delays no other job.
        List<Job> healthy = new ArrayList<>();
        List<Job> failing = new ArrayList<>();
        for (Job job : jobs) {
            (shard.failureDiagnosis().isJobAtFault(job, now) ? failing : healthy).add(job);
        }
        Map<MachineKind, Integer> machinesByKind = countOpenMachines();
        List<Job> order =
                new SchedulingQueue(
                                spec -> usableCpus(spec, machinesByKind),
                                this::startLatencySeconds,
                                shard.serviceLevels()::laggingShare,
                                now,
                                wallMillis)
                        .sortJobs(healthy);
        promoteLargestJob(order, wallMillis);
        failing.removeIf(job -> job.waitingTasks() == 0);
        order.addAll(failing);
        lastOrder = Optional.of(List.copyOf(order));
        lastOrderAtSeconds = now;
        lastOrderGeneration = shard.jobGeneration();
        loopTime.record(Activity.ORDERING, startedAt);
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
     * Serves the longest waiting of a class's largest jobs first, once {@link
     * #PROMOTE_AFTER_FRACTION} of the time within which it has to start has passed. The job evicts
     * nothing that it might not evict anyway. Guards against such a job being overtaken forever: a
     * job that requests much capacity at once gets none as long as others go first by size or rank.
     * Only one job is promoted at a time, because capacity is reserved for it meanwhile.
     */
    private void promoteLargestJob(List<Job> order, double wallMillis) {
        double eligibleBeforeMillis =
                wallMillis - 1000 * LARGE_JOB_START_SECONDS * PROMOTE_AFTER_FRACTION;
        promotedJob =
                order.stream()
                        .filter(
                                job ->
                                        (job.spec.isGang() || job.spec.isSingleZone())
                                                && job.eligibleSinceMillis() < eligibleBeforeMillis
                                                && !job.hasStarted()
                                                && shard.serviceLevels().isLargest(job.spec))
                        .min(Comparator.comparingDouble(Job::eligibleSinceMillis));
        promotedJob.ifPresent(
                job -> {
                    order.remove(job);
                    order.add(0, job);
                });
    }

    /**
     * Returns how many CPUs such jobs could use at once if these machines, counted by kind, were
     * empty.
     */
    private double usableCpus(JobSpec spec, Map<MachineKind, Integer> machinesByKind) {
        double cpus = 0;
        for (Map.Entry<MachineKind, Integer> kindCount : machinesByKind.entrySet()) {
            MachineKind kind = kindCount.getKey();
            if (ProbePlacement.isAllowed(kind, spec)) {
                int slots =
                        ProbePlacement.maxSlots(spec, shard.machineTypes().get(kind.machineType()));
                cpus += kindCount.getValue() * spec.cpusPerTask() * slots;
            }
        }
        return cpus;
    }

    /**
     * Runs a scheduling round: places as many waiting tasks as possible, at most {@code limit}. The
     * placements take effect once they are committed.
     *
     * @return how many tasks were placed
     */
    public int placeWaitingTasks(double now, double wallMillis, int limit) {
        shard.beginSchedulingRound(now);
        List<Job> order = orderedJobs(now, wallMillis);
        preemptionRules.beginRound();
        preemption.beginRound();
        capacityPromises.beginRound(promotedJob, now);
        List<Machine> openMachines =
                shard.machines().values().stream().filter(Machine::isSchedulable).toList();
        warmReserve.chooseMachines(openMachines, wallMillis);
        shapesWithoutFreeCapacity.clear();
        shapesBeyondPreemption.clear();
        Set<Job> jobsWithReservation = new HashSet<>();
        openMachines.forEach(machine -> jobsWithReservation.add(machine.reservedFor()));
        int placedTasks = 0;
        for (Job job : order) {
            shard.markBacklog();
            if (placedTasks >= limit) {
                shard.requestScheduling();
                break;
            }
            if (now >= job.notBefore()) {
                JobContext context =
                        new JobContext(
                                job,
                                isComparable(job) && !jobsWithReservation.contains(job),
                                preemptionRules.isWaitingForFreeCapacity(job, wallMillis),
                                mayWaitForImage(job, now, wallMillis));
                placedTasks += placeJob(context, openMachines, limit - placedTasks, now);
            }
        }
        return placedTasks;
    }

    /**
     * Whether the job may still wait for machines that have its image. Guards against a job that
     * waits, although a machine has free capacity, for as long as long tasks occupy the machines
     * with its image: if none of its tasks was placed for {@link #MAX_IMAGE_WAIT_SECONDS}, it uses
     * any machine.
     */
    private static boolean mayWaitForImage(Job job, double now, double wallMillis) {
        return wallMillis - job.eligibleSinceMillis() < 1000 * MAX_IMAGE_WAIT_SECONDS
                || now - job.lastPlacedAt() < MAX_IMAGE_WAIT_SECONDS;
    }

    /**
     * Whether the result of the job applies to other jobs of its shape as well. It does not for a
     * job that failed, or whose placement depends on where its other tasks are.
     */
    private static boolean isComparable(Job job) {
        if (!job.failedMachines().isEmpty()) {
            return false;
        }
        return job.spec.isGang()
                ? job.liveAttempts().isEmpty()
                : !job.spec.isSingleZone() && !job.spec.isSpreadAcrossZones();
    }

    /** Places as many tasks of the job as possible, and frees capacity for the rest. */
    private int placeJob(JobContext context, List<Machine> openMachines, int limit, double now) {
        Job job = context.job;
        boolean knownWithoutCapacity = context.isCoveredBy(shapesWithoutFreeCapacity);
        if (context.waitsForFreeCapacity && knownWithoutCapacity
                || context.isCoveredBy(shapesBeyondPreemption)) {
            return 0;
        }
        JobPlacer.Result result =
                knownWithoutCapacity
                        ? JobPlacer.Result.NONE
                        : placer.place(job, openMachines, context.mayWaitForImage, limit, now);
        int placedTasks = result.placedTasks();
        // The result of a job whose records are full now does not apply to others, which may fit.
        if (result.recordsFull() || placedTasks >= limit || !mayPlaceMore(job, now)) {
            return placedTasks;
        }
        if (context.comparable) {
            shapesWithoutFreeCapacity.add(job, result.waitingForImage());
        }
        if (context.waitsForFreeCapacity) {
            return placedTasks;
        }
        if (!freeCapacity(job, openMachines, context.mayWaitForImage, now)) {
            if (context.comparable) {
                // Freeing capacity may have left out machines that lack this job's image.
                shapesBeyondPreemption.add(job, context.mayWaitForImage && job.spec.allowsSpot());
            }
        } else if (!job.spec.isGang()) {
            // Evicted placements that are not committed yet free their capacity at once. Guards
            // against the evicted work taking it again in the same scheduling round, repeatedly.
            placedTasks +=
                    placer.placeTasks(
                                    job,
                                    openMachines,
                                    context.mayWaitForImage,
                                    limit - placedTasks,
                                    now)
                            .placedTasks();
        }
        return placedTasks;
    }

    /**
     * Whether the job has waiting tasks that more free capacity would help. A gang that still has
     * tasks on machines waits for those, regardless of free capacity.
     */
    private boolean mayPlaceMore(Job job, double now) {
        return job.waitingTasks() > 0
                && !shard.failureDiagnosis().isJobAtFault(job, now)
                && shard.quotaUsage().remainingTasks(job.spec)
                        >= (job.spec.isGang() ? job.spec.taskCount() : 1);
    }

    private boolean freeCapacity(
            Job job, List<Machine> openMachines, boolean mayWaitForImage, double now) {
        double startedAt = loopTime.nowSeconds();
        boolean freed = preemption.freeCapacity(job, openMachines, mayWaitForImage, now);
        loopTime.record(Activity.GIVING_WAY, startedAt);
        return freed;
    }
}
