package io.kitepath.core.place;

import io.kitepath.core.block.Attempt;
import io.kitepath.core.block.Block;
import io.kitepath.core.block.Job;
import io.kitepath.core.block.Machine;
import io.kitepath.core.model.Facts;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Rounds of placing: which of the waiting work goes where now, in which order, and what gives way to it. */
public final class Placer {
    /** What a job asks of machines; what one did not find, others that ask the same won't find either. */
    private record Want(JobSpec.Priority priority, String team, boolean guaranteed, double cpus, double gpus,
            double memoryGb, List<String> types, String zone, boolean spot) {
        static Want of(Job j) {
            JobSpec s = j.spec;
            return new Want(s.priority(), s.team(), j.guaranteed(), s.cpus(), s.gpus(), s.memoryGb(), s.types(),
                    s.zone(), s.spot());
        }
    }

    private final Block block;
    private final Placement placement;
    private final GivingWay givingWay;
    /**
     * Of this round: small tasks that found no machine, and for which none can be made. Guards against a look at the
     * whole block for each of a thousand jobs of one task that wait.
     */
    private final Set<Want> full = new HashSet<>();

    /** {@code random} chooses the machines that are probed. */
    public Placer(Block block, Random random) {
        this.block = block;
        this.placement = new Placement(random, block.types());
        this.givingWay = new GivingWay(block, placement);
    }

    public Placement placement() {
        return placement;
    }

    public GivingWay givingWay() {
        return givingWay;
    }

    /** Unfinished jobs with work to place, in the order in which they are served. */
    public List<Job> queue(double now, double wallMs) {
        markGuaranteed();
        double capacity = 0;
        for (Machine m : block.machines().values()) {
            MachineType t = block.types().get(m.type());
            capacity += t != null && m.open() ? t.cpus() : 0;
        }
        // A mistaken job is served last and takes nobody's time.
        List<Job> good = new ArrayList<>();
        List<Job> mistaken = new ArrayList<>();
        for (Job j : block.jobs().values()) {
            (block.failures().mistaken(j, now) ? mistaken : good).add(j);
        }
        List<Job> order = new ServiceOrder(capacity, now, wallMs).of(good);
        mistaken.removeIf(j -> j.waiting() == 0);
        order.addAll(mistaken);
        return order;
    }

    /** A job is within its team's guarantee if it fits into it together with the team's earlier unfinished jobs. */
    private void markGuaranteed() {
        List<Job> bySubmission = new ArrayList<>(block.jobs().values());
        bySubmission.sort(Comparator.comparingDouble(j -> j.submittedMs));
        Map<String, double[]> claimed = new HashMap<>();
        for (Job j : bySubmission) {
            Facts.Team t = block.facts().teams().get(j.spec.team());
            if (j.over() || t == null) {
                j.guarantee(false);
                continue;
            }
            double[] c = claimed.computeIfAbsent(t.name(), k -> new double[2]);
            int left = j.spec.tasks() - j.tasksDone();
            c[0] += left * j.spec.cpus();
            c[1] += left * j.spec.gpus();
            j.guarantee((t.cpus() > 0 || t.gpus() > 0) && c[0] <= t.cpus() + 1e-6
                    && (j.spec.gpus() == 0 || c[1] <= t.gpus() + 1e-6));
        }
    }

    /** Places what it can, at most {@code most} tasks; the placings take effect once they are written. */
    public int place(double now, double wallMs, int most) {
        block.beginRound(now);
        List<Machine> open = block.machines().values().stream().filter(Machine::open).toList();
        int placed = 0;
        full.clear();
        Set<Job> expected = new HashSet<>();
        open.forEach(m -> expected.add(m.reservedFor()));
        for (Job job : queue(now, wallMs)) {
            block.waits();
            if (placed >= most) {
                block.change();
                break;
            }
            if (now < job.notBefore()) {
                continue;
            }
            boolean small = givingWay.small(job.spec);
            if (small && !expected.contains(job) && job.failedOn().isEmpty() && full.contains(Want.of(job))) {
                continue;
            }
            int n = job.spec.gang() ? placeGang(job, open, now) : placeTasks(job, open, now, most - placed);
            placed += n;
            if (!block.failures().mistaken(job, now) && job.waiting() > 0
                    && block.teamUse().left(job.spec) >= (job.spec.gang() ? job.spec.tasks() : 1)
                    && !givingWay.makeRoom(job, open, now) && small && job.failedOn().isEmpty()) {
                full.add(Want.of(job));
            }
        }
        return placed;
    }

    private List<Machine> candidates(Job job, List<Machine> open) {
        JobSpec s = job.spec;
        List<Machine> out = new ArrayList<>();
        List<Machine> failed = new ArrayList<>();
        String onlyZone = s.oneZone() && !job.live().isEmpty()
                ? job.live().get(job.live().firstKey()).machine.zone() : null;
        for (Machine m : open) {
            Job heir = m.reservedFor();
            if ((heir == null || heir == job || m.kept() && givingWay.yields(job, heir)) && placement.allowed(m, s)
                    && (onlyZone == null || onlyZone.equals(m.zone())) && !(m.draining() && s.spot())) {
                (job.failedOn().contains(m.id) ? failed : out).add(m);
            }
        }
        // Guards against retries that land where they failed: such machines come only when there is no other.
        return out.isEmpty() ? failed : out;
    }

    private int placeTasks(Job job, List<Machine> open, double now, int most) {
        JobSpec s = job.spec;
        int n = Math.min(most, block.teamUse().left(s));
        if (block.failures().mistaken(job, now)) {
            n = Math.min(n, job.live().isEmpty() ? 1 : 0);
        }
        int placed = 0;
        Map<String, Integer> perZone = new HashMap<>();
        Placement.Search search = placement.search(s, candidates(job, open));
        if (s.spread()) {
            for (Attempt a : job.live().values()) {
                perZone.merge(a.machine.zone(), 1, Integer::sum);
            }
            search = search.within(m -> perZone.getOrDefault(m.zone(), 0) < s.mostPerZone());
        }
        for (int t = job.nextWaiting(0); t >= 0 && placed < n; t = job.nextWaiting(t + 1)) {
            Machine m = search.next();
            if (m == null) {
                break;
            }
            if (s.oneZone() && placed == 0) {
                search = search.within(x -> x.zone().equals(m.zone()));
            }
            block.place(job, t, m, now);
            placed++;
            if (s.spread() && perZone.merge(m.zone(), 1, Integer::sum) >= s.mostPerZone()) {
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
        List<Machine> found = placement.chooseGang(job.spec, candidates(job, open));
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
