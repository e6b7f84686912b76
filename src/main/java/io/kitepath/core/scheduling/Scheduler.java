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
    private static final double BEGIN_WITHIN_S = 240;

    /** Of that, the part after which it is helped. */
    private static final double PATIENT = 0.5;

    private final ShardState block;
    private final ProbePlacement placement;
    private final Preemption preemption;
    private final LoopTimeAccounting spent;
    private final WarmReserve standby;

    /** What found no room in this round, and that for which none can be made either. */
    private final UnschedulableShapes roomless = new UnschedulableShapes();

    private final UnschedulableShapes hopeless = new UnschedulableShapes();

    /** Whether the last search left out machines only because its image is elsewhere. */
    private boolean heldOut;

    /** Whether it left out tasks because their parts' records are full. */
    private boolean full;

    private List<Job> queued;
    private double queuedAt;

    /** {@code random} chooses the machines that are probed. */
    public Scheduler(ShardState block, Random random, LoopTimeAccounting spent) {
        this.block = block;
        this.spent = spent;
        this.placement = new ProbePlacement(random, block.types());
        this.preemption = new Preemption(block, placement);
        this.standby = new WarmReserve(block, placement);
    }

    public ProbePlacement placement() {
        return placement;
    }

    public Preemption preemption() {
        return preemption;
    }

    /**
     * The order as it was not longer than that ago, or as it is now. For whoever looks at all that
     * waits, and not at which of it comes first by a moment: to work the order out takes as long as
     * a whole round of placing.
     */
    public List<Job> queue(double now, double wallMs, double agoS) {
        if (queued == null || now - queuedAt > agoS) {
            return queue(now, wallMs);
        }
        return queued.stream().filter(j -> j.waiting() > 0).toList();
    }

    /** The holder's jobs are others from now on. */
    public void forget() {
        queued = null;
    }

    /** Unfinished jobs with work to place, in the order in which they are served. */
    public List<Job> queue(double now, double wallMs) {
        double began = spent.now();
        // Guards against a round of which most goes into sorting thousands of jobs that wait for
        // others.
        List<Job> all = block.jobs().values().stream().filter(j -> !j.held()).toList();
        block.served().look(all, s -> block.leads().mostS(s.jobClass()), wallMs);
        markGuaranteed(all);
        Map<MachineKind, Integer> open = new HashMap<>();
        for (Machine m : block.machines().values()) {
            if (m.open() && block.types().containsKey(m.type())) {
                open.merge(m.kind(), 1, Integer::sum);
            }
        }
        // A mistaken job is served last and takes nobody's time.
        List<Job> good = new ArrayList<>();
        List<Job> mistaken = new ArrayList<>();
        for (Job j : all) {
            (block.failures().mistaken(j, now) ? mistaken : good).add(j);
        }
        List<Job> order =
                new SchedulingQueue(
                                s -> capacity(s, open),
                                s -> block.leads().mostS(s.jobClass()),
                                block.served()::standing,
                                now,
                                wallMs)
                        .of(good);
        beginFirst(order, wallMs);
        mistaken.removeIf(j -> j.waiting() == 0);
        order.addAll(mistaken);
        queued = List.copyOf(order);
        queuedAt = now;
        spent.on(Activity.ORDERING, began);
        return order;
    }

    /**
     * Guards against one of a class's largest jobs that is overtaken for ever: whoever asks for
     * much at once is without whenever others go without by size or rank. Once it has used most of
     * the time within which it has to begin, the one that waits longest comes first, and gets the
     * room that comes free; it stops nothing that it might not stop anyway. One at a time: room is
     * kept for it meanwhile.
     */
    private void beginFirst(List<Job> order, double wallMs) {
        double since = wallMs - 1000 * BEGIN_WITHIN_S * PATIENT;
        order.stream()
                .filter(
                        j ->
                                (j.spec.gang() || j.spec.oneZone())
                                        && j.sinceMs() < since
                                        && !j.begun()
                                        && block.served().largest(j.spec))
                .min(Comparator.comparingDouble(Job::sinceMs))
                .ifPresent(
                        j -> {
                            order.remove(j);
                            order.add(0, j);
                        });
    }

    /** How many CPUs such jobs could use at once if these machines, counted by kind, were empty. */
    private double capacity(JobSpec s, Map<MachineKind, Integer> machines) {
        double cpus = 0;
        for (Map.Entry<MachineKind, Integer> e : machines.entrySet()) {
            if (ProbePlacement.allowed(e.getKey(), s)) {
                cpus +=
                        e.getValue()
                                * s.cpus()
                                * ProbePlacement.most(s, block.types().get(e.getKey().type()));
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
        jobs.sort(Comparator.comparingDouble(Job::sinceMs));
        Map<String, double[]> claimed = new HashMap<>();
        for (Job j : jobs) {
            boolean fits = claim(j, claimed);
            if (!j.claimed()) {
                j.claims(fits);
            }
        }
        // Guards against an overload in which a team's guarantee goes to its oldest jobs, all of
        // which become late one
        // behind the other: what fitted when it came has its word; then those with the least work
        // left come first, as
        // most of them can be in time; what is past all that is expected of it takes what the
        // others leave. Where a
        // class or team gets too little, its jobs come before other unpromised ones, the least
        // served first: else the
        // class with the largest jobs would never have its turn.
        Map<Job, Double> standing = new IdentityHashMap<>();
        jobs.forEach(j -> standing.put(j, block.served().standing(j.spec)));
        jobs.sort(
                Comparator.comparingInt((Job j) -> j.missed() ? 2 : j.fittedWhenItCame() ? 0 : 1)
                        .thenComparingDouble(
                                j -> j.missed() || j.fittedWhenItCame() ? 0 : standing.get(j))
                        .thenComparingDouble(
                                j ->
                                        j.missed() || j.fittedWhenItCame()
                                                ? j.sinceMs()
                                                : j.left() * j.spec.cpus() * j.spec.estimateS()));
        claimed.clear();
        for (Job j : jobs) {
            j.guarantee(claim(j, claimed));
        }
    }

    /**
     * Adds what is left of the job to what its team has claimed; whether that is within the
     * guarantee.
     */
    private boolean claim(Job j, Map<String, double[]> claimed) {
        ClusterSettings.Team t = block.facts().teams().get(j.spec.team());
        if (j.over() || t == null || t.cpus() == 0 && t.gpus() == 0) {
            return false;
        }
        double[] c = claimed.computeIfAbsent(t.name(), k -> new double[2]);
        c[0] += j.left() * j.spec.cpus();
        c[1] += j.left() * j.spec.gpus();
        return c[0] <= t.cpus() + 1e-6 && (j.spec.gpus() == 0 || c[1] <= t.gpus() + 1e-6);
    }

    /**
     * Places what it can, at most {@code most} tasks; the placings take effect once they are
     * written.
     */
    public int place(double now, double wallMs, int most) {
        block.beginRound(now);
        preemption.beginRound();
        List<Machine> open = block.machines().values().stream().filter(Machine::open).toList();
        standby.choose(open, wallMs);
        roomless.clear();
        hopeless.clear();
        Set<Job> expected = new HashSet<>();
        open.forEach(m -> expected.add(m.reservedFor()));
        int placed = 0;
        for (Job job : queue(now, wallMs)) {
            block.waits();
            if (placed >= most) {
                block.change();
                break;
            }
            if (now >= job.notBefore()) {
                placed += serve(job, open, expected.contains(job), most - placed, now, wallMs);
            }
        }
        return placed;
    }

    /**
     * Places what it can of the job, and makes room for the rest; {@code expected}: room is
     * reserved for it.
     */
    private int serve(
            Job job, List<Machine> open, boolean expected, int most, double now, double wallMs) {
        boolean gang = job.spec.gang();
        // Of a job that has to look at where its other tasks are, or failed, nothing follows for
        // others, nor from them.
        boolean alike =
                job.failedOn().isEmpty()
                        && !expected
                        && (gang
                                ? job.live().isEmpty()
                                : !job.spec.oneZone() && !job.spec.spread());
        boolean patient = preemption.patient(job, wallMs);
        if (alike && (hopeless.contains(job) || patient && roomless.contains(job))) {
            return 0;
        }
        int placed = 0;
        heldOut = false;
        full = false;
        if (!alike || !roomless.contains(job)) {
            placed = gang ? placeGang(job, open, now) : placeTasks(job, open, now, most);
        }
        // A gang that still has tasks on machines waits for those, whatever room there is.
        boolean wants =
                job.waiting() > 0
                        && placed < most
                        && !block.failures().mistaken(job, now)
                        && block.teamUse().left(job.spec) >= (gang ? job.spec.tasks() : 1);
        // Guards against a job whose records are full for now, although machines are idle, which
        // speaks for all others
        // that would fit there: hundreds of tasks waited behind it.
        if (!wants || full) {
            return placed;
        }
        if (alike) {
            roomless.add(job, heldOut);
        }
        if (!patient) {
            if (!makeRoom(job, open, now)) {
                if (alike) {
                    hopeless.add(job, heldOut);
                }
            } else if (!gang) {
                // Guards against room of placings that were taken back, as they had not been
                // written yet, which the very
                // work that gave way takes again in the same round, over and over.
                placed += placeTasks(job, open, now, most - placed);
            }
        }
        return placed;
    }

    private boolean makeRoom(Job job, List<Machine> open, double now) {
        double began = spent.now();
        boolean made = preemption.makeRoom(job, open, now);
        spent.on(Activity.GIVING_WAY, began);
        return made;
    }

    private List<Machine> candidates(Job job, List<Machine> open, double now) {
        JobSpec s = job.spec;
        List<Machine> out = new ArrayList<>();
        List<Machine> failed = new ArrayList<>();
        boolean anew = job.failedOn().isEmpty();
        ZoneConstraints zones = ZoneConstraints.of(job);
        for (Machine m : open) {
            Job heir = m.reservedFor();
            if ((heir == null
                            || heir == job
                            || m.kept() && (preemption.yields(job, heir) || m.keptFree(job, now)))
                    && placement.allowed(m, s)
                    && zones.left(m.zone()) > 0
                    && !(m.draining() && s.spot())
                    && !standby.keepsFrom(m, job)) {
                (!anew && job.failedOn().contains(m.id) ? failed : out).add(m);
            }
        }
        // Guards against retries that land where they failed: such machines come only when there is
        // no other.
        return out.isEmpty() ? failed : out;
    }

    private int placeTasks(Job job, List<Machine> open, double now, int most) {
        JobSpec s = job.spec;
        int n = Math.min(most, block.teamUse().left(s));
        if (block.failures().mistaken(job, now)) {
            n = Math.min(n, job.live().isEmpty() ? 1 : 0);
        }
        int placed = 0;
        // Guards against a holder that is busy for seconds with where images are when nothing has
        // room for a task: that
        // is so for all of hundreds of jobs on a full fleet, whatever image they need.
        if (open.stream().noneMatch(m -> placement.allowed(m, s) && placement.room(m, s))) {
            return 0;
        }
        ZoneConstraints zones = ZoneConstraints.of(job);
        List<Machine> candidates = candidates(job, open, now);
        ProbePlacement.MachineSearch search = placement.search(s, candidates);
        heldOut = search.holdsOut();
        if (s.oneZone() && !zones.decided()) {
            String zone = placement.roomiest(s, Math.min(n, job.waiting()), candidates);
            search = search.within(m -> m.zone().equals(zone));
        }
        for (int t = job.nextWaiting(0); t >= 0 && placed < n; t = job.nextWaiting(t + 1)) {
            if (!block.recordable(job, t)) {
                full = true;
                if (s.shape() == JobSpec.Shape.SERVICE) {
                    block.tooWide(job); // Nothing of it ends by itself.
                    break;
                }
                t =
                        job.lastOfPart(
                                t); // The next part may have room on record; this one has when some
                // of it ends.
                continue;
            }
            Machine m = search.next();
            if (m == null) {
                break;
            }
            block.place(job, t, m, now);
            placed++;
            zones.add(m.zone(), 1);
            if (zones.left(m.zone()) == 0) {
                search = search.within(x -> !x.zone().equals(m.zone()));
            }
        }
        if (placed > 0) {
            block.placedTogether(job);
        }
        return placed;
    }

    private int placeGang(Job job, List<Machine> open, double now) {
        // Until every task of the old attempt is proven over, the gang can't start anew.
        if (!job.live().isEmpty()) {
            block.restartOnceFetched(job);
            return 0;
        }
        if (block.teamUse().left(job.spec) < job.spec.tasks()) {
            return 0;
        }
        if (!block.recordable(job)) {
            block.tooWide(job);
            return 0;
        }
        List<Machine> found = placement.chooseGang(job.spec, candidates(job, open, now));
        if (found == null) {
            return 0;
        }
        for (int t = 0; t < found.size(); t++) {
            block.place(job, t, found.get(t), now);
        }
        block.placedTogether(job);
        return found.size();
    }
}
