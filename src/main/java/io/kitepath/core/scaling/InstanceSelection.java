package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Which kinds of machine can be had, by what the cloud refused lately, and which of them costs
 * least for a job.
 */
final class InstanceSelection {
    private final ClusterSettings facts;
    private final ShardState block;

    /**
     * Kinds that were refused for want of capacity, until when not to ask, and how often in a row.
     */
    private final Map<MachineKind, double[]> refused = new HashMap<>();

    /** Machines by kind, worked out once a plan. */
    private final Map<MachineKind, Integer> counts = new HashMap<>();

    InstanceSelection(ShardState block) {
        this.facts = block.facts();
        this.block = block;
    }

    /** Counts anew what is there. */
    void survey() {
        counts.clear();
        for (Machine m : block.machines().values()) {
            if (m.type() != null && block.types().containsKey(m.type())) {
                counts.merge(m.kind(), 1, Integer::sum);
            }
        }
    }

    void refused(MachineKind k, double now) {
        double[] r = refused.computeIfAbsent(k, x -> new double[2]);
        r[1] = Math.min(4, r[1] + 1);
        r[0] = now + facts.cloud().listLagS() * (1 << (int) r[1]) / 2;
    }

    boolean mayBeHad(MachineKind k, double now) {
        double[] r = refused.get(k);
        return r == null || now >= r[0];
    }

    void granted(MachineKind k) {
        refused.remove(k);
    }

    static boolean allowed(MachineKind k, JobSpec s, String zone) {
        return (s.types() == null || s.types().contains(k.type()))
                && (zone == null || zone.equals(k.zone()))
                && (s.spot() || !k.spot());
    }

    /** Null if none can be had in these zones. */
    MachineKind cheapest(
            JobSpec s, Predicate<String> zones, Map<MachineKind, Integer> rent, double now) {
        MachineKind best = null;
        double bestPrice = 0;
        for (MachineType t : block.types().values()) {
            if (ProbePlacement.slots(s, t) < 1) {
                continue;
            }
            for (String z : t.zones()) {
                for (int spot = s.spot() ? 1 : 0; spot >= 0; spot--) {
                    MachineKind k = new MachineKind(t.name(), z, spot == 1);
                    if (!zones.test(z) || !allowed(k, s, s.zone()) || !mayBeHad(k, now)) {
                        continue;
                    }
                    double price = price(k, t, ProbePlacement.slots(s, t), rent);
                    if (best == null || price < bestPrice) {
                        best = k;
                        bestPrice = price;
                    }
                }
            }
        }
        return best;
    }

    /** The cheapest kind by the CPU; null if none can be had. */
    MachineKind cheapestByCpu(Map<MachineKind, Integer> rent, double now) {
        MachineKind best = null;
        double bestPrice = 0;
        for (MachineType t : block.types().values()) {
            for (String z : t.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    MachineKind k = new MachineKind(t.name(), z, spot);
                    double price = price(k, t, t.cpus(), rent);
                    if (mayBeHad(k, now) && t.cpus() > 0 && (best == null || price < bestPrice)) {
                        best = k;
                        bestPrice = price;
                    }
                }
            }
        }
        return best;
    }

    /**
     * Per unit of what a machine offers. Zones share: of equal ones, the one with the least of this
     * kind.
     */
    private double price(
            MachineKind k, MachineType t, double units, Map<MachineKind, Integer> rent) {
        int there = counts.getOrDefault(k, 0) + rent.getOrDefault(k, 0);
        return (k.spot() ? t.spotPrice() : t.price()) / units * (1 + 1e-4 * there);
    }

    boolean spotToBeHad(JobSpec s, double now) {
        return block.types().values().stream()
                .anyMatch(t -> ProbePlacement.slots(s, t) > 0 && cheaperToBeHad(t, now));
    }

    /**
     * Guards against work that could run on spot machines keeping ordinary ones rented: it fills
     * them up again and again, so they never idle.
     */
    boolean cheaperToBeHad(MachineType t, double now) {
        return t.spotPrice() < t.price()
                && t.zones().stream()
                        .anyMatch(z -> mayBeHad(new MachineKind(t.name(), z, true), now));
    }
}
