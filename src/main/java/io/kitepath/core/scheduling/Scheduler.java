package io.kitepath.core.scheduling;

import io.kitepath.core.model.ClusterSettings;
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
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Rounds of placing: which of the waiting work goes where now, in which order, and what gives way
 * to it.
 */
public final class Scheduler {
    /** Within which every job has to begin, however large. */
    private static final double LARGE_JOB_START_SECONDS = 240;

    /** Of that, the part after which it is helped. */
    private static final double PROMOTE_AFTER_FRACTION = 0.5;

    private final ShardState shard;
    private final ProbePlacement probePlacement;
    private final Preemption preemption;
    private final LoopTimeAccounting loopTime;
    private final WarmReserve warmReserve;

    /** What found no room in this round, and that for which none can be made either. */
    private final UnschedulableShapes withoutFreeRoom = new UnschedulableShapes();

    private final UnschedulableShapes beyondPreemption = new UnschedulableShapes();

    /** Whether the last search left out machines only because its image is elsewhere. */
    private boolean skippedForImage;

    /** Whether it left out tasks because their parts' records are full. */
    private boolean recordsFull;

    private List<Job> lastOrder;
    private double lastOrderAt;

    /** {@code random} chooses the machines that are probed. */
    public Scheduler(ShardState shard, Random random, LoopTimeAccounting loopTime) {
        this.shard = shard;
        this.loopTime = loopTime;
        this.probePlacement = new ProbePlacement(random, shard.machineTypes());
        this.preemption = new Preemption(shard, probePlacement);
        this.warmReserve = new WarmReserve(shard, probePlacement);
    }

    public ProbePlacement probePlacement() {
        return probePlacement;
    }

    public Preemption preemption() {
        return preemption;
    }

    /**
     * The order as it was not longer than that ago, or as it is now. For whoever looks at all that
     * waits, and not at which of it comes first by a moment: to work the order out takes as long as
     * a whole round of placing.
     */
    public List<Job> orderedJobs(double now, double wallMs, double agoS) {
        if (lastOrder == null || now - lastOrderAt > agoS) {
            return orderedJobs(now, wallMs);
        }
        return lastOrder.stream().filter(job -> job.waitingTasks() > 0).toList();
    }

    /** The holder's jobs are others from now on. */
    public void forgetOrder() {
        lastOrder = null;
    }

    /** Unfinished jobs with work to place, in the order in which they are served. */
    public List<Job> orderedJobs(double now, double wallMs) {
        double began = loopTime.now();
        // Guards against a round of which most goes into sorting thousands of jobs that wait for
        // others.
        List<Job> all = shard.jobs().values().stream().filter(job -> !job.isHeld()).toList();
        shard.serviceLevels()
                .update(
                        all,
                        spec -> shard.startLatencies().upperEstimateSeconds(spec.jobClass()),
                        wallMs);
        markGuaranteed(all);
        Map<MachineKind, Integer> open = new HashMap<>();
        for (Machine machine : shard.machines().values()) {
            if (machine.isSchedulable() && shard.machineTypes().containsKey(machine.type())) {
                open.merge(machine.kind(), 1, Integer::sum);
            }
        }
        // A mistaken job is served last and takes nobody's time.
        List<Job> good = new ArrayList<>();
        List<Job> mistaken = new ArrayList<>();
        for (Job job : all) {
            (shard.failureDiagnosis().isJobAtFault(job, now) ? mistaken : good).add(job);
        }
        List<Job> order =
                new SchedulingQueue(
                                spec -> usableCpus(spec, open),
                                spec ->
                                        shard.startLatencies()
                                                .upperEstimateSeconds(spec.jobClass()),
                                shard.serviceLevels()::catchUpShare,
                                now,
                                wallMs)
                        .sortJobs(good);
        promoteLargestJob(order, wallMs);
        mistaken.removeIf(job -> job.waitingTasks() == 0);
        order.addAll(mistaken);
        lastOrder = List.copyOf(order);
        lastOrderAt = now;
        loopTime.record(Activity.ORDERING, began);
        return order;
    }

    /**
     * Guards against one of a class's largest jobs that is overtaken for ever: whoever asks for
     * much at once is without whenever others go without by size or rank. Once it has used most of
     * the time within which it has to begin, the one that waits longest comes first, and gets the
     * room that comes free; it stops nothing that it might not stop anyway. One at a time: room is
     * kept for it meanwhile.
     */
    private void promoteLargestJob(List<Job> order, double wallMs) {
        double since = wallMs - 1000 * LARGE_JOB_START_SECONDS * PROMOTE_AFTER_FRACTION;
        order.stream()
                .filter(
                        job ->
                                (job.spec.isGang() || job.spec.isSingleZone())
                                        && job.eligibleSinceMillis() < since
                                        && !job.hasStarted()
                                        && shard.serviceLevels().isLargest(job.spec))
                .min(Comparator.comparingDouble(Job::eligibleSinceMillis))
                .ifPresent(
                        job -> {
                            order.remove(job);
                            order.add(0, job);
                        });
    }

    /** How many CPUs such jobs could use at once if these machines, counted by kind, were empty. */
    private double usableCpus(JobSpec spec, Map<MachineKind, Integer> machines) {
        double cpus = 0;
        for (Map.Entry<MachineKind, Integer> e : machines.entrySet()) {
            if (ProbePlacement.isAllowed(e.getKey(), spec)) {
                cpus +=
                        e.getValue()
                                * spec.cpusPerTask()
                                * ProbePlacement.maxSlots(
                                        spec, shard.machineTypes().get(e.getKey().machineType()));
            }
        }
        return cpus;
    }

    /**
     * A job is within its team's guarantee if it fits into it together with the jobs that claim it
     * before.
     */
    private void markGuaranteed(List<Job> all) {
        List<Job> jobs = new ArrayList<>(all);
        jobs.sort(Comparator.comparingDouble(Job::eligibleSinceMillis));
        Map<String, double[]> claimed = new HashMap<>();
        for (Job job : jobs) {
            boolean fits = claimGuarantee(job, claimed);
            if (!job.isGuaranteeClaimKnown()) {
                job.setGuaranteeClaim(fits);
            }
        }
        // Guards against an overload in which a team's guarantee goes to its oldest jobs, all of
        // which become late one behind the other: what fitted when it came has its word; then those
        // with the least work left come first, as most of them can be in time; what is past all
        // that is expected of it takes what the others leave. Where a class or team gets too
        // little, its jobs come before other unpromised ones, the least served first: else the
        // class with the largest jobs would never have its turn.
        Map<Job, Double> standing = new IdentityHashMap<>();
        jobs.forEach(job -> standing.put(job, shard.serviceLevels().catchUpShare(job.spec)));
        jobs.sort(
                Comparator.comparingInt(
                                (Job job) ->
                                        job.hasMissedAllGoals()
                                                ? 2
                                                : job.wasWithinGuaranteeOnArrival() ? 0 : 1)
                        .thenComparingDouble(
                                job ->
                                        job.hasMissedAllGoals() || job.wasWithinGuaranteeOnArrival()
                                                ? 0
                                                : standing.get(job))
                        .thenComparingDouble(
                                job ->
                                        job.hasMissedAllGoals() || job.wasWithinGuaranteeOnArrival()
                                                ? job.eligibleSinceMillis()
                                                : job.unfinishedTasks()
                                                        * job.spec.cpusPerTask()
                                                        * job.spec.estimatedSeconds()));
        claimed.clear();
        for (Job job : jobs) {
            job.setWithinGuarantee(claimGuarantee(job, claimed));
        }
    }

    /**
     * Adds what is left of the job to what its team has claimed; whether that is within the
     * guarantee.
     */
    private boolean claimGuarantee(Job job, Map<String, double[]> claimed) {
        ClusterSettings.Team team = shard.settings().teams().get(job.spec.team());
        if (job.isFinished()
                || team == null
                || team.guaranteedCpus() == 0 && team.guaranteedGpus() == 0) {
            return false;
        }
        double[] c = claimed.computeIfAbsent(team.name(), key -> new double[2]);
        c[0] += job.unfinishedTasks() * job.spec.cpusPerTask();
        c[1] += job.unfinishedTasks() * job.spec.gpusPerTask();
        return c[0] <= team.guaranteedCpus() + 1e-6
                && (job.spec.gpusPerTask() == 0 || c[1] <= team.guaranteedGpus() + 1e-6);
    }

    /**
     * Places what it can, at most {@code most} tasks; the placings take effect once they are
     * written.
     */
    public int placeWaitingTasks(double now, double wallMs, int most) {
        shard.beginSchedulingRound(now);
        preemption.beginRound();
        List<Machine> open =
                shard.machines().values().stream().filter(Machine::isSchedulable).toList();
        warmReserve.chooseMachines(open, wallMs);
        withoutFreeRoom.clear();
        beyondPreemption.clear();
        Set<Job> expected = new HashSet<>();
        open.forEach(machine -> expected.add(machine.reservedFor()));
        int placed = 0;
        for (Job job : orderedJobs(now, wallMs)) {
            shard.markBacklog();
            if (placed >= most) {
                shard.requestScheduling();
                break;
            }
            if (now >= job.notBefore()) {
                placed += placeJob(job, open, expected.contains(job), most - placed, now, wallMs);
            }
        }
        return placed;
    }

    /**
     * Places what it can of the job, and makes room for the rest; {@code expected}: room is
     * reserved for it.
     */
    private int placeJob(
            Job job, List<Machine> open, boolean expected, int most, double now, double wallMs) {
        boolean gang = job.spec.isGang();
        // Of a job that has to look at where its other tasks are, or failed, nothing follows for
        // others, nor from them.
        boolean alike =
                job.failedMachines().isEmpty()
                        && !expected
                        && (gang
                                ? job.liveAttempts().isEmpty()
                                : !job.spec.isSingleZone() && !job.spec.isSpreadAcrossZones());
        boolean patient = preemption.isWaitingForFreeRoom(job, wallMs);
        if (alike && (beyondPreemption.contains(job) || patient && withoutFreeRoom.contains(job))) {
            return 0;
        }
        int placed = 0;
        skippedForImage = false;
        recordsFull = false;
        if (!alike || !withoutFreeRoom.contains(job)) {
            placed = gang ? placeGang(job, open, now) : placeTasks(job, open, now, most);
        }
        // A gang that still has tasks on machines waits for those, whatever room there is.
        boolean wants =
                job.waitingTasks() > 0
                        && placed < most
                        && !shard.failureDiagnosis().isJobAtFault(job, now)
                        && shard.quotaUsage().remainingTasks(job.spec)
                                >= (gang ? job.spec.taskCount() : 1);
        // Guards against a job whose records are full for now, although machines are idle, which
        // speaks for all others that would fit there: hundreds of tasks waited behind it.
        if (!wants || recordsFull) {
            return placed;
        }
        if (alike) {
            withoutFreeRoom.add(job, skippedForImage);
        }
        if (!patient) {
            if (!makeRoom(job, open, now)) {
                if (alike) {
                    beyondPreemption.add(job, skippedForImage);
                }
            } else if (!gang) {
                // Guards against room of placings that were taken back, as they had not been
                // written yet, which the very work that gave way takes again in the same round,
                // over and over.
                placed += placeTasks(job, open, now, most - placed);
            }
        }
        return placed;
    }

    private boolean makeRoom(Job job, List<Machine> open, double now) {
        double began = loopTime.now();
        boolean made = preemption.makeRoom(job, open, now);
        loopTime.record(Activity.GIVING_WAY, began);
        return made;
    }

    private List<Machine> candidateMachines(Job job, List<Machine> open, double now) {
        JobSpec spec = job.spec;
        List<Machine> out = new ArrayList<>();
        List<Machine> failed = new ArrayList<>();
        boolean anew = job.failedMachines().isEmpty();
        ZoneConstraints zones = ZoneConstraints.of(job);
        for (Machine machine : open) {
            Job heir = machine.reservedFor();
            if ((heir == null
                            || heir == job
                            || machine.isBackfillAllowed()
                                    && (preemption.mustYield(job, heir)
                                            || machine.mayBackfill(job, now)))
                    && probePlacement.isAllowed(machine, spec)
                    && zones.remainingTasks(machine.zone()) > 0
                    && !(machine.isDraining() && spec.allowsSpot())
                    && !warmReserve.isReservedAgainst(machine, job)) {
                (!anew && job.failedMachines().contains(machine.id) ? failed : out).add(machine);
            }
        }
        // Guards against retries that land where they failed: such machines come only when there is
        // no other.
        return out.isEmpty() ? failed : out;
    }

    private int placeTasks(Job job, List<Machine> open, double now, int most) {
        JobSpec spec = job.spec;
        int n = Math.min(most, shard.quotaUsage().remainingTasks(spec));
        if (shard.failureDiagnosis().isJobAtFault(job, now)) {
            n = Math.min(n, job.liveAttempts().isEmpty() ? 1 : 0);
        }
        int placed = 0;
        // Guards against a holder that is busy for seconds with where images are when nothing has
        // room for a task: that is so for all of hundreds of jobs on a full fleet, whatever image
        // they need.
        if (open.stream()
                .noneMatch(
                        machine ->
                                probePlacement.isAllowed(machine, spec)
                                        && probePlacement.hasRoom(machine, spec))) {
            return 0;
        }
        ZoneConstraints zones = ZoneConstraints.of(job);
        List<Machine> candidates = candidateMachines(job, open, now);
        ProbePlacement.MachineSearch search = probePlacement.newSearch(spec, candidates);
        skippedForImage = search.isWaitingForImage();
        if (spec.isSingleZone() && !zones.isDecided()) {
            String zone =
                    probePlacement.chooseZone(spec, Math.min(n, job.waitingTasks()), candidates);
            search = search.restrictedTo(machine -> machine.zone().equals(zone));
        }
        for (int t = job.nextWaitingTask(0); t >= 0 && placed < n; t = job.nextWaitingTask(t + 1)) {
            if (!shard.fitsRecord(job, t)) {
                recordsFull = true;
                if (spec.shape() == JobSpec.Shape.SERVICE) {
                    shard.requestMigration(job); // Nothing of it ends by itself.
                    break;
                }
                t =
                        job.lastOfPart(
                                t); // The next part may have room on record; this one has when some
                // of it ends.
                continue;
            }
            Machine machine = search.nextMachine();
            if (machine == null) {
                break;
            }
            shard.place(job, t, machine, now);
            placed++;
            zones.addTasks(machine.zone(), 1);
            if (zones.remainingTasks(machine.zone()) == 0) {
                search = search.restrictedTo(x -> !x.zone().equals(machine.zone()));
            }
        }
        if (placed > 0) {
            shard.advanceAttemptNumber(job);
        }
        return placed;
    }

    private int placeGang(Job job, List<Machine> open, double now) {
        // Until every task of the old attempt is proven over, the gang can't start anew.
        if (!job.liveAttempts().isEmpty()) {
            shard.restartGangOnceImagesFetched(job);
            return 0;
        }
        if (shard.quotaUsage().remainingTasks(job.spec) < job.spec.taskCount()) {
            return 0;
        }
        if (!shard.fitsRecord(job)) {
            shard.requestMigration(job);
            return 0;
        }
        List<Machine> found =
                probePlacement.chooseGang(job.spec, candidateMachines(job, open, now));
        if (found == null) {
            return 0;
        }
        for (int t = 0; t < found.size(); t++) {
            shard.place(job, t, found.get(t), now);
        }
        shard.advanceAttemptNumber(job);
        return found.size();
    }
}
