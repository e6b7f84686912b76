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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Which waiting work goes to which other cell: the paper's Threshold one floor up. Work that would
 * miss what is expected of it at home probes up to {@link ProbePlacement#PROBES} random cells that
 * say they can take it, and goes once to the first with fewer than {@link ProbePlacement#THRESHOLD}
 * hand-overs unconfirmed for each of its zones; after misses the summaries are scanned for the
 * roomiest; failing that it stays. A function of what it is given and of the random numbers:
 * nothing is asked and nothing written here.
 */
final class WorkOffloading {
    /**
     * What one hand-over would be.
     *
     * @param until one after the last task
     * @param why for the log
     */
    record Plan(Job job, String to, int from, int until, String why) {}

    /**
     * Owners' estimates are often wrong by half: what would wait longer than the time it has, over
     * this, goes.
     */
    private static final double UNSURE = 2;

    private final ClusterSettings facts;
    private final Map<String, MachineType> types;
    private final Map<String, Integer> zonesOf;
    private final Random random;
    private boolean draining;

    /** Cells that gave a job back, by job, and when that counts no more. */
    private final Map<String, Map<String, Double>> givenBack = new HashMap<>();

    /** {@code zonesOf}: how many zones each other cell has. */
    WorkOffloading(
            ClusterSettings facts,
            Map<String, MachineType> types,
            Map<String, Integer> zonesOf,
            Random random) {
        this.facts = facts;
        this.types = types;
        this.zonesOf = zonesOf;
        this.random = random;
    }

    void drain(boolean so) {
        draining = so;
    }

    /**
     * Guards against work that bounces: a cell that gave it back is not asked again until that has
     * news.
     */
    void gaveBack(String job, String cell, double now) {
        givenBack
                .computeIfAbsent(job, k -> new HashMap<>())
                .put(cell, now + 2 * facts.workers().leaseS());
    }

    void forget(Collection<String> known) {
        givenBack.keySet().retainAll(known);
    }

    /**
     * @param order unfinished jobs in the order of service
     * @param fitsHere whether a machine of this cell's own zones may ever run the job
     * @param allowed how many more such tasks the team's limit allows here
     * @param most hand-overs at most
     */
    List<Plan> plan(
            List<Job> order,
            Predicate<JobSpec> fitsHere,
            ToIntFunction<JobSpec> allowed,
            double hereCpus,
            Collection<RemoteCell> cells,
            int most,
            double now,
            double wallMs) {
        List<Plan> out = new ArrayList<>();
        double ahead = 0;
        for (Job j : order) {
            if (out.size() >= most) {
                break;
            }
            double work = LocalSummary.workS(j);
            double waitS = (ahead + work) / Math.max(1, hereCpus);
            ahead += work;
            String why = whyNotHere(j, fitsHere.test(j.spec), hereCpus, waitS, wallMs);
            // What waits for its team's limit waits for it everywhere: the limit's shares move to
            // where room is.
            if (why == null || allowed.applyAsInt(j.spec) < least(j)) {
                continue;
            }
            RemoteCell to = choose(j, cells, waitS, now);
            if (to != null) {
                Plan p = range(j, to, why);
                if (p != null) {
                    to.promise((p.until - p.from) * j.spec.cpus());
                    out.add(p);
                }
            }
        }
        return out;
    }

    /** Null if the job stays. */
    private String whyNotHere(Job j, boolean fits, double cpus, double waitS, double wallMs) {
        JobSpec s = j.spec;
        boolean whole = s.shape() != JobSpec.Shape.ARRAY || s.oneZone() || s.spread();
        if (j.guest
                || j.over()
                || j.leaving()
                || j.waiting() == 0
                || whole && (!j.live().isEmpty() || j.tasksDone() > 0 || !j.loans().isEmpty())) {
            return null;
        }
        double ageS = (wallMs - j.submittedMs) / 1000;
        if (!fits) {
            return "no machine of this cell may run it";
        }
        if (draining) {
            return "this cell is drained";
        }
        // What has only just come may still find room in one of the next rounds.
        if (ageS < 2 * facts.workers().reportS()
                || cpus > 0 && waitS < 2 * facts.workers().reportS()) {
            return null;
        }
        for (int goal = 0; goal < j.goals(); goal++) {
            double left = (j.goalMs(goal) - wallMs) / 1000;
            if (left > 0) {
                return waitS * UNSURE > left
                        ? String.format("would wait %.0f s here of %.0f", waitS, left)
                        : null;
            }
        }
        return String.format("past its goals, and would wait %.0f s here", waitS);
    }

    private RemoteCell choose(Job j, Collection<RemoteCell> cells, double waitS, double now) {
        List<RemoteCell> able = new ArrayList<>();
        Map<String, Double> not = givenBack.getOrDefault(j.spec.id(), Map.of());
        for (RemoteCell n : cells) {
            // One loan of a job to each cell at a time: its records there are by the job's parts.
            if (n.takes(now)
                    && not.getOrDefault(n.name, 0.0) <= now
                    && slots(j.spec, n) >= least(j)
                    && j.loans().stream().noneMatch(l -> l.to.equals(n.name))
                    && n.summary().waitS().get(j.rank()) < waitS / 2) {
                able.add(n);
            }
        }
        for (int i = 0; i < ProbePlacement.PROBES && i < able.size(); i++) {
            int k = i + random.nextInt(able.size() - i);
            RemoteCell n = able.get(k);
            able.set(k, able.get(i));
            able.set(i, n);
            if (n.unconfirmed < ProbePlacement.THRESHOLD) {
                return n;
            }
        }
        RemoteCell best = null;
        for (RemoteCell n : able) {
            if (n.unconfirmed < ProbePlacement.THRESHOLD * zonesOf.getOrDefault(n.name, 1)
                    && (best == null || slots(j.spec, n) > slots(j.spec, best))) {
                best = n;
            }
        }
        return best;
    }

    /**
     * The least that is worth handing over: all of what has to be together, else a part of an
     * array.
     */
    private static int least(Job j) {
        JobSpec s = j.spec;
        return s.shape() != JobSpec.Shape.ARRAY || s.oneZone() || s.spread() ? s.tasks() : 1;
    }

    /** How many such tasks the cell has room for by its word, less what was handed to it since. */
    int slots(JobSpec s, RemoteCell n) {
        Map<String, Integer> byZone = new HashMap<>();
        int all = 0;
        for (FreeCapacity r : n.summary().room()) {
            MachineType t = types.get(r.kind().type());
            if (t == null || !ProbePlacement.allowed(r.kind(), s)) {
                continue;
            }
            int each = ProbePlacement.slots(s, t);
            // Of machines in use nobody knows here how their gaps lie: they count for small tasks,
            // and half.
            boolean small = each >= 2;
            double rest =
                    small ? (r.cpus() - r.idle() * t.cpus()) / Math.max(s.cpus(), 1e-6) / 2 : 0;
            int fit =
                    (int)
                            Math.min(
                                    Integer.MAX_VALUE / 64,
                                    (long) r.idle() * each + Math.max(0, rest));
            all += fit;
            byZone.merge(r.kind().zone(), fit, Integer::sum);
        }
        int taken = s.cpus() > 0 ? (int) Math.ceil(n.promisedCpus() / s.cpus()) : 0;
        int room = s.oneZone() ? byZone.values().stream().mapToInt(x -> x).max().orElse(0) : all;
        if (s.spread()) {
            int most = s.mostPerZone();
            room = byZone.values().stream().mapToInt(x -> Math.min(x, most)).sum();
        }
        return Math.max(0, room - taken);
    }

    /**
     * All of the job, or of an array the last tasks in a row that wait, as many as there is room
     * for.
     */
    private Plan range(Job j, RemoteCell to, String why) {
        // What is done of a loan is one field of one record.
        int longest = 16 * facts.tasksPerPart();
        if (least(j) > longest) {
            return null;
        }
        if (least(j) > 1 || j.spec.tasks() == 1) {
            return new Plan(j, to.name, 0, j.spec.tasks(), why);
        }
        int until = j.spec.tasks();
        while (until > 0 && !j.placeable(until - 1)) {
            until--;
        }
        int from = until;
        int most = Math.min(longest, slots(j.spec, to));
        while (from > 0 && until - from < most && j.placeable(from - 1)) {
            from--;
        }
        return from < until ? new Plan(j, to.name, from, until, why) : null;
    }
}
