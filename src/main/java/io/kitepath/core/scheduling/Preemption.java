package io.kitepath.core.scheduling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whose work gives way to whose, where the least is lost by it, and what room is held or kept for a
 * job.
 */
public final class Preemption {
    /**
     * Report intervals for which small tasks wait for room that comes free by itself, before others
     * are stopped for them. Guards against work that is stopped by the ten thousand on a full
     * fleet, half done, for tasks that would have had the room of one that ended a second later.
     */
    private static final double WAIT_REPORT_INTERVALS = 2;

    private final ShardState shard;
    private final ProbePlacement probePlacement;
    private long evictions;
    private long evictionsForGuarantees;
    private long evictionsForGangs;

    /**
     * By zone, or "" for jobs that may be in any: for how many jobs machines are kept in this
     * round.
     */
    private final Map<String, Integer> reservingJobsByZone = new HashMap<>();

    private final Map<Claim, YieldingWork> yieldingWorkByClaim = new HashMap<>();

    /**
     * Whether this round looked for room for small tasks. Guards against rounds of which two thirds
     * go into looking at every attempt of a full fleet for one small job after the other, when the
     * next round comes in a moment.
     */
    private boolean hasSearchedForSmallJobs;

    Preemption(ShardState shard, ProbePlacement probePlacement) {
        this.shard = shard;
        this.probePlacement = probePlacement;
    }

    /**
     * Attempts stopped for work of more right, and those of them that a guarantee was the reason
     * for.
     */
    public long evictions() {
        return evictions;
    }

    public long evictionsForGuarantees() {
        return evictionsForGuarantees;
    }

    /** And those that made room for gangs and large tasks. */
    public long evictionsForGangs() {
        return evictionsForGangs;
    }

    /**
     * A machine that a job might be given room on: tasks that fit now and with others stopped, and
     * what stopping them and fetching the image would lose, in CPU seconds.
     */
    private record EvictionCandidate(
            Machine machine, int slotsNow, int slotsAfterEviction, double lostCpuSeconds) {}

    /** What decides whose work gives way to a job; {@code nonPreemptible}: its own never does. */
    private record Claim(
            JobSpec.Priority priority, boolean guaranteed, String team, boolean nonPreemptible) {}

    /**
     * What gives way to jobs of one claim: whose work, and by machine its CPUs, GPUs, memory and
     * what stopping it loses. Worked out once a round. Guards against a holder that looks at every
     * attempt of a full fleet for each of the sizes in which gangs wait; what is placed meanwhile
     * is not counted, and machines where something is stopped are reserved.
     */
    private static final class YieldingWork {
        private final Set<Job> jobs = Collections.newSetFromMap(new IdentityHashMap<>());
        private final Map<Machine, double[]> resourcesByMachine = new IdentityHashMap<>();
    }

    /** Room for so many tasks of a job that comes free on a machine, after so many seconds. */
    private record ExpectedRoom(Machine machine, double inSeconds, int tasks) {}

    /**
     * For a job that found no room: stops lesser work where that is enough, and keeps machines for
     * it, so that smaller work behind it does not take every gap. Returns whether anything was
     * stopped or kept.
     */
    boolean makeRoom(Job job, List<Machine> open, double now) {
        JobSpec spec = job.spec;
        boolean small = isSmall(spec);
        if (small && hasSearchedForSmallJobs) {
            return false;
        }
        hasSearchedForSmallJobs |= small;
        YieldingWork giving = yieldingWork(job);
        if (small && giving.jobs.isEmpty()) {
            return false;
        }
        int need =
                spec.isGang()
                        ? job.waitingTasks()
                        : Math.min(job.waitingTasks(), shard.quotaUsage().remainingTasks(spec));
        ZoneConstraints zones = ZoneConstraints.of(job);
        Map<String, List<EvictionCandidate>> byZone = new LinkedHashMap<>();
        for (Machine machine : open) {
            if ((machine.reservedFor() == null || machine.reservedFor() == job)
                    && probePlacement.isAllowed(machine, spec)
                    && zones.remainingTasks(machine.zone()) > 0) {
                byZone.computeIfAbsent(
                                spec.isSingleZone() ? machine.zone() : "", key -> new ArrayList<>())
                        .add(evictionCandidate(job, machine, giving, now));
            }
        }
        List<EvictionCandidate> best = null;
        double bestLoss = Double.MAX_VALUE;
        for (List<EvictionCandidate> in : byZone.values()) {
            List<EvictionCandidate> take = chooseCheapest(in, need, ZoneConstraints.of(job));
            double loss =
                    take == null
                            ? 0
                            : take.stream().mapToDouble(EvictionCandidate::lostCpuSeconds).sum();
            if (take != null && loss < bestLoss) {
                best = take;
                bestLoss = loss;
            }
        }
        if (best != null) {
            for (EvictionCandidate candidate : best) {
                if (!small || hasWorkServedBefore(job, candidate.machine)) {
                    candidate.machine.reserve(
                            job, now + 2 * shard.settings().workers().heartbeatIntervalSeconds());
                }
                need -= evict(job, candidate, need);
            }
            return true;
        }
        if (small) {
            return false; // Small tasks find gaps by themselves.
        }
        return reserveSoonestRoom(job, need, byZone.keySet(), open, now);
    }

    /**
     * Keeps the machines on which the job can start soonest, as what runs there ends, in the zone
     * where that is soonest. Guards against a burst of gangs each of which keeps machines, so that
     * a fifth of the fleet idles in gaps that would together hold several of them: in each zone
     * only the first one keeps room, the others take what is free.
     */
    private boolean reserveSoonestRoom(
            Job job, int need, Set<String> zones, List<Machine> open, double now) {
        JobSpec spec = job.spec;
        List<ExpectedRoom> best = null;
        String where = null;
        for (String zone : zones) {
            if (reservingJobsByZone.getOrDefault(zone, 0)
                    >= (zone.isEmpty() ? shard.settings().zones().size() : 1)) {
                continue;
            }
            List<ExpectedRoom> gaps = new ArrayList<>();
            for (Machine machine : open) {
                if ((machine.reservedFor() == null || machine.reservedFor() == job)
                        && probePlacement.isAllowed(machine, spec)
                        && (zone.isEmpty() || zone.equals(machine.zone()))) {
                    addExpectedRoom(job, machine, now, gaps);
                }
            }
            List<ExpectedRoom> take = chooseSoonest(gaps, need, ZoneConstraints.of(job));
            if (take != null
                    && (best == null || lastOpeningSeconds(take) < lastOpeningSeconds(best))) {
                best = take;
                where = zone;
            }
        }
        if (best == null) {
            return false;
        }
        double from = now + lastOpeningSeconds(best);
        best.forEach(g -> g.machine.reserveAllowingBackfill(job, from));
        reservingJobsByZone.merge(where, 1, Integer::sum);
        return true;
    }

    private static double lastOpeningSeconds(List<ExpectedRoom> gaps) {
        return gaps.isEmpty() ? 0 : gaps.get(gaps.size() - 1).inSeconds;
    }

    private static List<ExpectedRoom> chooseSoonest(
            List<ExpectedRoom> gaps, int need, ZoneConstraints zones) {
        gaps.sort(
                Comparator.comparingDouble(ExpectedRoom::inSeconds)
                        .thenComparing(g -> g.machine.id));
        List<ExpectedRoom> take = new ArrayList<>();
        int left = need;
        for (ExpectedRoom g : gaps) {
            if (left <= 0) {
                break;
            }
            int n = Math.min(g.tasks, zones.remainingTasks(g.machine.zone()));
            if (n > 0) {
                take.add(g);
                left -= n;
                zones.addTasks(g.machine.zone(), n);
            }
        }
        return left <= 0 ? take : null;
    }

    /** The gaps that open on the machine as its attempts end one after the other. */
    private void addExpectedRoom(Job job, Machine machine, double now, List<ExpectedRoom> into) {
        List<Attempt> ends = new ArrayList<>(machine.attempts());
        ends.sort(
                Comparator.comparingDouble(
                        attempt -> mayEvict(job, attempt) ? 0 : attempt.remainingSeconds(now)));
        double[] less = new double[3];
        int before = probePlacement.freeSlots(machine, job.spec, 0, 0, 0);
        if (before > 0) {
            into.add(new ExpectedRoom(machine, 0, before));
        }
        for (Attempt attempt : ends) {
            addResources(less, attempt);
            int after = probePlacement.freeSlots(machine, job.spec, less[0], less[1], less[2]);
            if (after > before) {
                into.add(
                        new ExpectedRoom(
                                machine,
                                mayEvict(job, attempt) ? 0 : attempt.remainingSeconds(now),
                                after - before));
                before = after;
            }
        }
    }

    /** A new round: who keeps room is decided anew. */
    void beginRound() {
        reservingJobsByZone.clear();
        yieldingWorkByClaim.clear();
        hasSearchedForSmallJobs = false;
    }

    /** Whether the job waits a little for room that comes free by itself. */
    boolean isWaitingForFreeRoom(Job job, double wallMs) {
        if (!isSmall(job.spec)) {
            return false;
        }
        double reportMs = 1000 * shard.settings().workers().heartbeatIntervalSeconds();
        // Guards against work stopped half done for a stage that is only as urgent as the one
        // behind it, and has time.
        boolean early =
                job.effectivePriority() != job.spec.priority()
                        && wallMs
                                        + WAIT_REPORT_INTERVALS * reportMs
                                        + 1000
                                                * shard.startLatencies()
                                                        .upperEstimateSeconds(job.spec.jobClass())
                                < job.startGoalMillis(0);
        return early || wallMs - job.eligibleSinceMillis() < WAIT_REPORT_INTERVALS * reportMs;
    }

    private boolean isSmall(JobSpec spec) {
        return !spec.isGang()
                && !spec.isSingleZone()
                && !spec.isSpreadAcrossZones()
                && spec.cpusPerTask() * 2 <= smallestMachine();
    }

    /**
     * Offers that together hold the tasks, those that lose least first; null if they don't suffice.
     */
    private static List<EvictionCandidate> chooseCheapest(
            List<EvictionCandidate> in, int need, ZoneConstraints zones) {
        List<EvictionCandidate> sorted = new ArrayList<>(in);
        sorted.sort(
                Comparator.comparingDouble(
                                (EvictionCandidate candidate) ->
                                        candidate.lostCpuSeconds
                                                / Math.max(1, candidate.slotsAfterEviction))
                        .thenComparing(candidate -> -candidate.slotsNow)
                        .thenComparing(candidate -> candidate.machine.id));
        List<EvictionCandidate> take = new ArrayList<>();
        int left = need;
        for (EvictionCandidate candidate : sorted) {
            if (left <= 0) {
                break;
            }
            int n =
                    Math.min(
                            candidate.slotsAfterEviction,
                            zones.remainingTasks(candidate.machine.zone()));
            if (n > 0) {
                left -= n;
                zones.addTasks(candidate.machine.zone(), n);
                take.add(
                        n == candidate.slotsAfterEviction
                                ? candidate
                                : new EvictionCandidate(
                                        candidate.machine,
                                        Math.min(n, candidate.slotsNow),
                                        n,
                                        candidate.lostCpuSeconds));
            }
        }
        return left <= 0 ? take : null;
    }

    private YieldingWork yieldingWork(Job job) {
        Claim claim =
                new Claim(
                        job.effectivePriority(),
                        job.isWithinGuarantee(),
                        job.spec.team(),
                        isNonPreemptible(job));
        YieldingWork known = yieldingWorkByClaim.get(claim);
        if (known != null) {
            return known;
        }
        YieldingWork g = new YieldingWork();
        for (Job j : shard.jobs().values()) {
            if (!j.liveAttempts().isEmpty()
                    && (j.isFinished() || j.hasStoppingAttempts() || mustYield(j, job))) {
                g.jobs.add(j);
            }
        }
        yieldingWorkByClaim.put(claim, g);
        return g;
    }

    /**
     * CPUs, GPUs and memory of what gives way to the job on the machine, and the CPU seconds that
     * stopping it loses.
     */
    private double[] evictableResources(Job job, Machine machine, YieldingWork giving, double now) {
        double[] sum = new double[4];
        for (Attempt attempt : machine.attempts()) {
            if (giving.jobs.contains(attempt.job) && mayEvict(job, attempt)) {
                JobSpec spec = attempt.job.spec;
                addResources(sum, attempt);
                sum[3] +=
                        attempt.isStopping()
                                ? 0
                                : spec.cpusPerTask()
                                        * (attempt.unsavedSeconds(now)
                                                + shard.settings()
                                                        .workers()
                                                        .heartbeatIntervalSeconds());
            }
        }
        return sum;
    }

    private EvictionCandidate evictionCandidate(
            Job job, Machine machine, YieldingWork giving, double now) {
        double[] sum =
                giving.resourcesByMachine.computeIfAbsent(
                        machine, k -> evictableResources(job, machine, giving, now));
        double loss = sum[3];
        MachineType type = shard.machineTypes().get(machine.type());
        int stopping = probePlacement.freeSlots(machine, job.spec, sum[0], sum[1], sum[2]);
        if (!machine.hasImage(job.spec.image()) && type.fetchGigabytesPerSecond() > 0) {
            loss +=
                    stopping
                            * job.spec.cpusPerTask()
                            * job.spec.imageGigabytes()
                            / type.fetchGigabytesPerSecond();
        }
        return new EvictionCandidate(
                machine, probePlacement.freeSlots(machine, job.spec, 0, 0, 0), stopping, loss);
    }

    private boolean mayEvict(Job job, Attempt victim) {
        return victim.isUnwanted() || mustYield(victim.job, job); // What is unwanted goes anyway.
    }

    /**
     * Work gives way to work of higher priority, and what a team borrows to the guarantee of
     * another. Guards against two jobs that stop each other without end, so that neither is ever
     * done: what is within a guarantee does not give way to more urgent work that would have to
     * give it back.
     */
    boolean mustYield(Job holding, Job job) {
        if (isNonPreemptible(holding)) {
            return false;
        }
        if (holding.effectivePriority().compareTo(job.effectivePriority()) > 0) {
            return isNonPreemptible(job) || !isBorrowingAgainst(job, holding, 0);
        }
        return isBorrowingAgainst(holding, job, holding.spec.cpusPerTask());
    }

    private static boolean isNonPreemptible(Job job) {
        return job.spec.isGang() || job.spec.shape() == JobSpec.Shape.SERVICE;
    }

    /**
     * Whether the job's team has that work beyond its guarantee, {@code own} CPUs of it apart, and
     * the other is within its.
     */
    private boolean isBorrowingAgainst(Job job, Job other, double own) {
        ClusterSettings.Team team = shard.settings().teams().get(job.spec.team());
        return other.isWithinGuarantee()
                && !job.isWithinGuarantee()
                && !job.spec.team().equals(other.spec.team())
                && team != null
                && shard.quotaUsage().usedCpus(job.spec.team()) - own >= team.guaranteedCpus();
    }

    /**
     * Whether work here is served before the job although it gives way to it: a guarantee comes
     * first, a higher priority may stop it. Guards against such work taking the room again in the
     * next round, and being stopped again, without an end: the room is held until the stopped tasks
     * can have been reported. Only then, for small tasks: to hold a machine of which they take a
     * thirtieth would leave the rest of it idle.
     */
    private boolean hasWorkServedBefore(Job job, Machine machine) {
        return machine.attempts().stream()
                .anyMatch(
                        attempt ->
                                attempt.job.queueRank() < job.queueRank()
                                        && mustYield(attempt.job, job));
    }

    /**
     * Stops just enough on the machine, the latest placed first; returns how many tasks of the job
     * it will hold.
     */
    private int evict(Job job, EvictionCandidate candidate, int need) {
        List<Attempt> victims = new ArrayList<>();
        double[] less = new double[3];
        for (Attempt attempt : candidate.machine.attempts()) {
            if (mayEvict(job, attempt)) {
                if (attempt.isUnwanted()) {
                    addResources(less, attempt);
                } else {
                    victims.add(attempt);
                }
            }
        }
        victims.sort(
                Comparator.comparingDouble((Attempt attempt) -> -attempt.placedAt)
                        .thenComparing(attempt -> -attempt.task));
        int want = Math.min(need, candidate.slotsAfterEviction);
        for (Attempt attempt : victims) {
            if (probePlacement.freeSlots(candidate.machine, job.spec, less[0], less[1], less[2])
                    >= want) {
                break;
            }
            boolean written = attempt.isDurable();
            shard.stopAttempt(attempt, attempt.job.spec.stopGraceSeconds());
            evictions++;
            evictionsForGangs += isSmall(job.spec) ? 0 : 1;
            evictionsForGuarantees +=
                    attempt.job.effectivePriority().compareTo(job.effectivePriority()) > 0 ? 0 : 1;
            if (written) {
                addResources(less, attempt);
            }
        }
        return want;
    }

    private static void addResources(double[] sum, Attempt attempt) {
        sum[0] += attempt.job.spec.cpusPerTask();
        sum[1] += attempt.job.spec.gpusPerTask();
        sum[2] += attempt.job.spec.memoryGigabytesPerTask();
    }

    private double smallestMachine() {
        return shard.machineTypes().values().stream()
                .mapToDouble(MachineType::cpus)
                .min()
                .orElse(0);
    }
}
