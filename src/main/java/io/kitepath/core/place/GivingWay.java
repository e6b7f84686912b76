package io.kitepath.core.place;

import io.kitepath.core.block.Attempt;
import io.kitepath.core.block.Block;
import io.kitepath.core.block.Job;
import io.kitepath.core.block.Machine;
import io.kitepath.core.model.Facts;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/** Whose work gives way to whose, where the least is lost by it, and what room is held or kept for a job. */
public final class GivingWay {
    private final Block block;
    private final Placement placement;
    private long evictions;

    GivingWay(Block block, Placement placement) {
        this.block = block;
        this.placement = placement;
    }

    /** Attempts stopped for work of more right. */
    public long evictions() {
        return evictions;
    }

    /**
     * A machine that a job might be given room on: tasks that fit now, with others stopped, and if it were empty; what
     * stopping them and fetching the image would lose, and what there is to wait for, both in CPU seconds.
     */
    private record Offer(Machine machine, int now, int stopping, int empty, double loss, double pending) {}

    /**
     * For a job that found no room: stops lesser work where that is enough, and keeps machines for it, so that
     * smaller work behind it does not take every gap. Returns whether anything was stopped or kept.
     */
    boolean makeRoom(Job job, List<Machine> open, double now) {
        JobSpec s = job.spec;
        boolean small = small(s);
        Set<Job> yielding = Collections.newSetFromMap(new IdentityHashMap<>());
        for (Job j : block.jobs().values()) {
            if (!j.live().isEmpty() && (j.over() || j.stopping() || yields(j, job))) {
                yielding.add(j);
            }
        }
        if (small && yielding.isEmpty()) {
            return false;
        }
        int need = s.gang() ? job.waiting() : Math.min(job.waiting(), block.teamUse().left(s));
        Map<String, List<Offer>> byZone = new LinkedHashMap<>();
        for (Machine m : open) {
            if ((m.reservedFor() == null || m.reservedFor() == job) && placement.allowed(m, s)) {
                byZone.computeIfAbsent(s.oneZone() ? m.zone() : "", k -> new ArrayList<>())
                        .add(offer(job, m, yielding, now));
            }
        }
        List<Offer> best = null;
        double bestLoss = Double.MAX_VALUE;
        for (List<Offer> in : byZone.values()) {
            List<Offer> take = cheapest(in, need, Offer::stopping, Offer::loss);
            double loss = take == null ? 0 : take.stream().mapToDouble(Offer::loss).sum();
            if (take != null && loss < bestLoss) {
                best = take;
                bestLoss = loss;
            }
        }
        if (best != null) {
            for (Offer o : best) {
                // Guards against work that is served before this job although it gives way to it (a guarantee comes
                // first, a higher priority may stop it): it would take the room again in the next round, and be
                // stopped again, without an end. So the room is held until the stopped tasks can have been reported.
                o.machine.reserve(job, now + 2 * block.facts().workers().reportS());
                need -= evict(job, o, need);
            }
            return true;
        }
        if (small) {
            return false; // Small tasks find gaps by themselves.
        }
        for (List<Offer> in : byZone.values()) {
            List<Offer> take = cheapest(in, need, Offer::empty, o -> o.loss + o.pending);
            if (take != null) {
                for (Offer o : take) {
                    o.machine.keepFor(job);
                }
                return true;
            }
        }
        return false;
    }

    boolean small(JobSpec s) {
        return !s.gang() && !s.oneZone() && !s.spread() && s.cpus() * 2 <= smallestMachine();
    }

    /** Offers that together hold the tasks, those that cost least first; null if they don't suffice. */
    private static List<Offer> cheapest(List<Offer> in, int need, ToIntFunction<Offer> slots,
            ToDoubleFunction<Offer> cost) {
        List<Offer> sorted = new ArrayList<>(in);
        sorted.sort(Comparator.comparingDouble((Offer o) -> cost.applyAsDouble(o) / Math.max(1, slots.applyAsInt(o)))
                .thenComparing(o -> -o.now).thenComparing(o -> o.machine.id));
        List<Offer> take = new ArrayList<>();
        for (Offer o : sorted) {
            if (need <= 0) {
                break;
            }
            int n = slots.applyAsInt(o);
            if (n > 0) {
                need -= n;
                take.add(o);
            }
        }
        return need <= 0 ? take : null;
    }

    private Offer offer(Job job, Machine m, Set<Job> yielding, double now) {
        double cpus = 0;
        double gpus = 0;
        double memory = 0;
        double loss = 0;
        double pending = 0;
        for (Attempt a : m.attempts()) {
            if (yielding.contains(a.job) && mayEvict(job, a)) {
                JobSpec v = a.job.spec;
                cpus += v.cpus();
                gpus += v.gpus();
                memory += v.memoryGb();
                loss += a.stopping() ? 0 : v.cpus() * (a.unsavedS(now) + block.facts().workers().reportS());
            } else {
                pending += a.job.spec.cpus() * a.remainingS(now);
            }
        }
        MachineType type = block.types().get(m.type());
        int stopping = placement.freeSlots(m, job.spec, cpus, gpus, memory);
        if (!m.has(job.spec.image()) && type.fetchGbPerS() > 0) {
            loss += stopping * job.spec.cpus() * job.spec.imageGb() / type.fetchGbPerS();
        }
        return new Offer(m, placement.freeSlots(m, job.spec, 0, 0, 0), stopping,
                Placement.slots(job.spec, type), loss, pending);
    }

    private boolean mayEvict(Job job, Attempt victim) {
        return victim.unwanted() || yields(victim.job, job); // What is unwanted goes anyway.
    }

    /** Work gives way to work of higher priority, and what a team borrows to the guarantee of another. */
    boolean yields(Job holding, Job job) {
        JobSpec v = holding.spec;
        if (v.gang() || v.shape() == JobSpec.Shape.SERVICE) {
            return false;
        }
        if (v.priority().compareTo(job.spec.priority()) > 0) {
            return true;
        }
        Facts.Team t = block.facts().teams().get(v.team());
        return job.guaranteed() && !holding.guaranteed() && !v.team().equals(job.spec.team()) && t != null
                && block.teamUse().cpus(v.team()) - v.cpus() >= t.cpus();
    }

    /** Stops just enough on the machine, the latest placed first; returns how many tasks of the job it will hold. */
    private int evict(Job job, Offer o, int need) {
        List<Attempt> victims = new ArrayList<>();
        double[] less = new double[3];
        for (Attempt a : o.machine.attempts()) {
            if (mayEvict(job, a)) {
                if (a.unwanted()) {
                    less(less, a);
                } else {
                    victims.add(a);
                }
            }
        }
        victims.sort(Comparator.comparingDouble((Attempt a) -> -a.placedAt).thenComparing(a -> -a.task));
        int want = Math.min(need, o.stopping);
        for (Attempt a : victims) {
            if (placement.freeSlots(o.machine, job.spec, less[0], less[1], less[2]) >= want) {
                break;
            }
            boolean written = a.durable();
            block.stop(a, a.job.spec.stopGraceS());
            evictions++;
            if (written) {
                less(less, a);
            }
        }
        return want;
    }

    private static void less(double[] sum, Attempt a) {
        sum[0] += a.job.spec.cpus();
        sum[1] += a.job.spec.gpus();
        sum[2] += a.job.spec.memoryGb();
    }

    private double smallestMachine() {
        return block.types().values().stream().mapToDouble(MachineType::cpus).min().orElse(0);
    }
}
