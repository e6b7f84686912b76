package io.kitepath.core.cell;

import io.kitepath.core.cell.CellMembership.RemoteCell;
import io.kitepath.core.model.CellMessage.FreeCapacity;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Decides which waiting work is offered to which other cell: the paper's Threshold policy, applied
 * to cells in place of machines. Work that would miss its start goal here probes up to {@link
 * ProbePlacement#MAX_PROBES} random cells whose summaries have room for it, and is offered to the
 * first with fewer than {@link ProbePlacement#UNCONFIRMED_THRESHOLD} unconfirmed offers. If all
 * probes miss, the cell with most room is taken that has fewer than so many for each of its zones;
 * failing that, the work stays. Depends on its arguments and on random numbers only: no messages
 * and no writes.
 */
final class WorkOffloading {
    /**
     * One loan to be made.
     *
     * @param endTask the one after the last task
     * @param reason why it does not stay, for the log
     */
    record Plan(Job job, String targetCell, int firstTask, int endTask, String reason) {}

    /**
     * This cell's own work and machines.
     *
     * @param queue unfinished jobs in scheduling order
     * @param fitsHere whether a machine of this cell's own zones may ever run the job
     * @param remainingTasks how many more such tasks the team's quota allows here
     * @param cpus of all machines that may be used
     */
    record LocalCell(
            List<Job> queue,
            Predicate<JobSpec> fitsHere,
            ToIntFunction<JobSpec> remainingTasks,
            double cpus) {}

    /**
     * Owners' estimates of running times are often wrong by half, so work leaves if its estimated
     * wait, times this, is more than the time left.
     */
    private static final double WAIT_ESTIMATE_MARGIN = 2;

    /** A cell that gave a job back is not offered it again for so many leases. */
    private static final double RETURNED_PAUSE_LEASES = 2;

    /** Jobs younger than so many heartbeat intervals stay, and those that wait no longer. */
    private static final double MIN_WAIT_HEARTBEATS = 2;

    /** A loan's bit set of done tasks is one field of one record, which bounds its length. */
    private static final int MAX_PARTS_PER_LOAN = 16;

    /** Bounds sums over the kinds of machine in a summary to the range of an int. */
    private static final int MAX_SLOTS_PER_KIND = Integer.MAX_VALUE / 64;

    private final ClusterSettings settings;
    private final Map<String, MachineType> types;
    private final Map<String, Integer> zoneCounts;
    private final Random random;
    private boolean isDraining;

    /** By job and cell that gave it back: until when that cell is not offered it again. */
    private final Map<String, Map<String, Double>> pausedUntil = new HashMap<>();

    /** {@code zoneCounts}: how many zones each other cell has. */
    WorkOffloading(
            ClusterSettings settings,
            Map<String, MachineType> types,
            Map<String, Integer> zoneCounts,
            Random random) {
        this.settings = settings;
        this.types = types;
        this.zoneCounts = zoneCounts;
        this.random = random;
    }

    /** Whether all work that may leave is to leave. */
    void setDraining(boolean draining) {
        isDraining = draining;
    }

    /** Keeps work from bouncing between cells: the one that gave it back is paused for the job. */
    void onReturned(String jobId, String cell, double now) {
        double until = now + RETURNED_PAUSE_LEASES * settings.workers().leaseSeconds();
        pausedUntil.computeIfAbsent(jobId, key -> new HashMap<>()).put(cell, until);
    }

    /** Forgets which cells gave back jobs that are not among these. */
    void forgetOtherJobs(Collection<String> jobIds) {
        pausedUntil.keySet().retainAll(jobIds);
    }

    /**
     * Plans loans, and reserves what they take of the other cells' free capacity.
     *
     * @param maxLoans how many at most
     * @param now in seconds on the steady clock
     * @param wallClockMillis milliseconds since 1970
     */
    List<Plan> plan(
            LocalCell localCell,
            Collection<RemoteCell> cells,
            int maxLoans,
            double now,
            double wallClockMillis) {
        List<Plan> plans = new ArrayList<>();
        double cpuSecondsAhead = 0;
        for (Job job : localCell.queue) {
            if (plans.size() >= maxLoans) {
                break;
            }
            cpuSecondsAhead += LocalSummary.waitingCpuSeconds(job);
            double waitSeconds = cpuSecondsAhead / Math.max(1, localCell.cpus);
            reasonToOffload(job, localCell, waitSeconds, wallClockMillis)
                    // Work that waits for its team's quota would wait for it in every cell: the
                    // quota's shares move to where there is room.
                    .filter(
                            why ->
                                    localCell.remainingTasks.applyAsInt(job.spec)
                                            >= smallestUnit(job))
                    .flatMap(why -> plan(job, why, cells, waitSeconds, now))
                    .ifPresent(plans::add);
        }
        return plans;
    }

    private Optional<Plan> plan(
            Job job, String reason, Collection<RemoteCell> cells, double waitSeconds, double now) {
        RemoteCell remote = chooseCell(job, cells, waitSeconds, now);
        if (remote == null) {
            return Optional.empty();
        }
        Optional<Plan> plan = planTasks(job, remote, reason);
        plan.ifPresent(
                loan ->
                        remote.reserveOffered(
                                (loan.endTask - loan.firstTask) * job.spec.cpusPerTask()));
        return plan;
    }

    /** Empty if the job stays. */
    private Optional<String> reasonToOffload(
            Job job, LocalCell localCell, double waitSeconds, double wallClockMillis) {
        if (!mayLeave(job)) {
            return Optional.empty();
        }
        if (!localCell.fitsHere.test(job.spec)) {
            return Optional.of("no machine of this cell may run it");
        }
        if (isDraining) {
            return Optional.of("this cell is drained");
        }
        // A new job may still find room in one of the next rounds.
        double minWaitSeconds = MIN_WAIT_HEARTBEATS * settings.workers().heartbeatIntervalSeconds();
        double ageSeconds = (wallClockMillis - job.submittedMillis) / 1000;
        if (ageSeconds < minWaitSeconds || localCell.cpus > 0 && waitSeconds < minWaitSeconds) {
            return Optional.empty();
        }
        return reasonByStartGoals(job, waitSeconds, wallClockMillis);
    }

    private static boolean mayLeave(Job job) {
        if (job.isBorrowed
                || job.isFinished()
                || job.isCancelRequested()
                || job.waitingTasks() == 0) {
            return false;
        }
        boolean isUntouched =
                job.liveAttempts().isEmpty() && job.doneTaskCount() == 0 && job.loans().isEmpty();
        return !isIndivisible(job.spec) || isUntouched;
    }

    private static Optional<String> reasonByStartGoals(
            Job job, double waitSeconds, double wallClockMillis) {
        for (int goal = 0; goal < job.startGoalCount(); goal++) {
            double secondsLeft = (job.startGoalMillis(goal) - wallClockMillis) / 1000;
            if (secondsLeft > 0) {
                return waitSeconds * WAIT_ESTIMATE_MARGIN > secondsLeft
                        ? Optional.of(
                                String.format(
                                        "would wait %.0f s here of %.0f", waitSeconds, secondsLeft))
                        : Optional.empty();
            }
        }
        return Optional.of(
                String.format("past its goals, and would wait %.0f s here", waitSeconds));
    }

    /** Whether all tasks have to run in one cell. */
    private static boolean isIndivisible(JobSpec spec) {
        return spec.shape() != JobSpec.Shape.ARRAY
                || spec.isSingleZone()
                || spec.isSpreadAcrossZones();
    }

    /** The fewest tasks that may be lent. */
    private static int smallestUnit(Job job) {
        return isIndivisible(job.spec) ? job.spec.taskCount() : 1;
    }

    /** Null if there is none. */
    private RemoteCell chooseCell(
            Job job, Collection<RemoteCell> cells, double waitSeconds, double now) {
        List<RemoteCell> candidates = new ArrayList<>();
        for (RemoteCell remote : cells) {
            if (isCandidate(job, remote, waitSeconds, now)) {
                candidates.add(remote);
            }
        }
        RemoteCell probed = probe(candidates);
        return probed != null ? probed : roomiest(job.spec, candidates);
    }

    private boolean isCandidate(Job job, RemoteCell remote, double waitSeconds, double now) {
        Map<String, Double> paused = pausedUntil.getOrDefault(job.spec.id(), Map.of());
        // One loan of a job to each cell at a time: the borrower's records are by the job's parts.
        return remote.acceptsWork(now)
                && paused.getOrDefault(remote.name, 0.0) <= now
                && slots(job.spec, remote) >= smallestUnit(job)
                && job.loans().stream().noneMatch(loan -> loan.borrowerCell.equals(remote.name))
                && remote.summary().queueSecondsByRank().get(job.queueRank()) < waitSeconds / 2;
    }

    /** The first of a few random candidates that has few unconfirmed offers; null if none has. */
    private RemoteCell probe(List<RemoteCell> candidates) {
        for (int i = 0; i < ProbePlacement.MAX_PROBES && i < candidates.size(); i++) {
            int chosen = i + random.nextInt(candidates.size() - i);
            Collections.swap(candidates, i, chosen);
            RemoteCell remote = candidates.get(i);
            if (remote.unconfirmedOffers() < ProbePlacement.UNCONFIRMED_THRESHOLD) {
                return remote;
            }
        }
        return null;
    }

    private RemoteCell roomiest(JobSpec spec, List<RemoteCell> candidates) {
        RemoteCell best = null;
        for (RemoteCell remote : candidates) {
            int maxUnconfirmed =
                    ProbePlacement.UNCONFIRMED_THRESHOLD * zoneCounts.getOrDefault(remote.name, 1);
            if (remote.unconfirmedOffers() < maxUnconfirmed
                    && (best == null || slots(spec, remote) > slots(spec, best))) {
                best = remote;
            }
        }
        return best;
    }

    /** How many such tasks the cell has room for by its summary, less what it was offered since. */
    int slots(JobSpec spec, RemoteCell remote) {
        Map<String, Integer> slotsByZone = new HashMap<>();
        int slots = 0;
        for (FreeCapacity capacity : remote.summary().freeCapacity()) {
            MachineType type = types.get(capacity.kind().machineType());
            if (type != null && ProbePlacement.isAllowed(capacity.kind(), spec)) {
                int ofKind = slots(spec, capacity, type);
                slots += ofKind;
                slotsByZone.merge(capacity.kind().zone(), ofKind, Integer::sum);
            }
        }
        if (spec.isSingleZone()) {
            slots = slotsByZone.values().stream().mapToInt(n -> n).max().orElse(0);
        }
        if (spec.isSpreadAcrossZones()) {
            int perZone = spec.maxTasksPerZone();
            slots = slotsByZone.values().stream().mapToInt(n -> Math.min(n, perZone)).sum();
        }
        int offered =
                spec.cpusPerTask() > 0
                        ? (int) Math.ceil(remote.offeredCpus() / spec.cpusPerTask())
                        : 0;
        return Math.max(0, slots - offered);
    }

    private static int slots(JobSpec spec, FreeCapacity capacity, MachineType type) {
        int perMachine = ProbePlacement.slots(spec, type);
        // A summary does not say how free CPUs are spread over the machines in use. They count for
        // small tasks only, and half.
        double inUseMachines =
                perMachine >= 2
                        ? (capacity.cpus() - capacity.idleMachines() * type.cpus())
                                / Math.max(spec.cpusPerTask(), 1e-6)
                                / 2
                        : 0;
        return (int)
                Math.min(
                        MAX_SLOTS_PER_KIND,
                        (long) capacity.idleMachines() * perMachine + Math.max(0, inUseMachines));
    }

    /**
     * All of the job; or of an array the last consecutive tasks that wait, as many as there is room
     * for.
     */
    private Optional<Plan> planTasks(Job job, RemoteCell remote, String reason) {
        int maxTasks = MAX_PARTS_PER_LOAN * settings.tasksPerPart();
        if (smallestUnit(job) > maxTasks) {
            return Optional.empty();
        }
        if (smallestUnit(job) > 1 || job.spec.taskCount() == 1) {
            return Optional.of(new Plan(job, remote.name, 0, job.spec.taskCount(), reason));
        }
        int endTask = job.spec.taskCount();
        while (endTask > 0 && !job.isPlaceable(endTask - 1)) {
            endTask--;
        }
        int firstTask = endTask;
        int limit = Math.min(maxTasks, slots(job.spec, remote));
        while (firstTask > 0 && endTask - firstTask < limit && job.isPlaceable(firstTask - 1)) {
            firstTask--;
        }
        return firstTask < endTask
                ? Optional.of(new Plan(job, remote.name, firstTask, endTask, reason))
                : Optional.empty();
    }
}
