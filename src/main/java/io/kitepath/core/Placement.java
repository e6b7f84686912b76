package io.kitepath.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Which machine a task goes to: the first of up to {@link #PROBES} random ones that passes, else the best fit
 * of a scan over the block. See docs/design.md.
 */
final class Placement {
    /** T of the paper: a machine passes a probe with fewer unconfirmed starts than this. */
    static final int THRESHOLD = 2;
    /** Lp of the paper. */
    static final int PROBES = 3;

    private final Random random;
    private final Map<String, MachineType> types;
    long probes;
    long passed;
    long scans;

    Placement(Random random, Map<String, MachineType> types) {
        this.random = random;
        this.types = types;
    }

    /** Whether the machine may run the task by everything but its present load. */
    boolean allowed(Machine m, JobSpec s) {
        return types.containsKey(m.type) && (s.types() == null || s.types().contains(m.type))
                && (s.zone() == null || s.zone().equals(m.zone)) && (s.spot() || !m.spot);
    }

    private boolean room(Machine m, JobSpec s) {
        return m.fits(s, types.get(m.type));
    }

    /** A machine for one task out of the candidates, all of which are allowed; null if there is none now. */
    Machine choose(JobSpec s, List<Machine> candidates) {
        if (s.spot()) {
            // Work that may use spot machines leaves the others to work that may not.
            List<Machine> cheap = candidates.stream().filter(m -> m.spot).toList();
            Machine m = pick(s, cheap);
            if (m != null || cheap.size() == candidates.size()) {
                return m;
            }
        }
        return pick(s, candidates);
    }

    private Machine pick(JobSpec s, List<Machine> candidates) {
        // Machines in use come first, so that idle ones stay whole for gangs and large tasks, or empty to return.
        List<Machine> used = new ArrayList<>();
        for (Machine m : candidates) {
            if (m.usedCpus > 0) {
                used.add(m);
            }
        }
        Machine m = probe(s, used);
        return m != null ? m : scan(s, candidates);
    }

    private Machine probe(JobSpec s, List<Machine> from) {
        int n = from.size();
        for (int i = 0; i < PROBES && i < n; i++) {
            // A partial shuffle: distinct machines, as in the paper.
            int j = i + random.nextInt(n - i);
            Machine m = from.get(j);
            from.set(j, from.get(i));
            from.set(i, m);
            probes++;
            if (m.unconfirmed < THRESHOLD && room(m, s)) {
                passed++;
                return m;
            }
        }
        return null;
    }

    /** The fullest machine that has room, those with the image first. */
    private Machine scan(JobSpec s, List<Machine> candidates) {
        scans++;
        Machine best = null;
        double bestScore = 0;
        for (Machine m : candidates) {
            if (room(m, s)) {
                double score = m.usedCpus / types.get(m.type).cpus() + (m.images.contains(s.image()) ? 1 : 0);
                if (best == null || score > bestScore) {
                    best = m;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /** Machines for every waiting task of a gang, or null if the gang does not fit as a whole. */
    List<Machine> chooseGang(JobSpec s, List<Machine> candidates) {
        if (!s.oneZone()) {
            return whole(s, candidates, m -> true);
        }
        // The zone with the least room that still suffices, so that larger gangs find theirs.
        Map<String, Integer> slots = new TreeMap<>();
        for (Machine m : candidates) {
            slots.merge(m.zone, freeSlots(m, s, 0, 0, 0), Integer::sum);
        }
        List<String> zones = new ArrayList<>(slots.keySet());
        zones.removeIf(z -> slots.get(z) < s.tasks());
        zones.sort(Comparator.comparing(slots::get));
        for (String z : zones) {
            List<Machine> found = whole(s, candidates, m -> m.zone.equals(z));
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private List<Machine> whole(JobSpec s, List<Machine> candidates, Predicate<Machine> in) {
        List<Machine> from = candidates.stream().filter(in).toList();
        List<Machine> found = new ArrayList<>();
        Map<String, Integer> perZone = new HashMap<>();
        for (int i = 0; i < s.tasks(); i++) {
            Machine m = choose(s, from.stream()
                    .filter(x -> perZone.getOrDefault(x.zone, 0) < s.mostPerZone()).toList());
            if (m == null) {
                break;
            }
            take(m, s, 1);
            perZone.merge(m.zone, 1, Integer::sum);
            found.add(m);
        }
        for (Machine m : found) {
            take(m, s, -1);
        }
        return found.size() == s.tasks() ? found : null;
    }

    /** How many such tasks fit on the machine if that much of its load were gone. */
    int freeSlots(Machine m, JobSpec s, double lessCpus, double lessGpus, double lessMemory) {
        MachineType t = types.get(m.type);
        return slots(s, t.cpus() - m.usedCpus + lessCpus, t.gpus() - m.usedGpus + lessGpus,
                t.memoryGb() - m.usedMemory + lessMemory);
    }

    /** How many such tasks an empty machine of the type holds. */
    static int slots(JobSpec s, MachineType t) {
        return slots(s, t.cpus(), t.gpus(), t.memoryGb());
    }

    private static int slots(JobSpec s, double cpus, double gpus, double memoryGb) {
        double n = s.tasks();
        if (s.cpus() > 0) {
            n = Math.min(n, Math.floor((cpus + 1e-6) / s.cpus()));
        }
        if (s.gpus() > 0) {
            n = Math.min(n, Math.floor((gpus + 1e-6) / s.gpus()));
        }
        if (s.memoryGb() > 0) {
            n = Math.min(n, Math.floor((memoryGb + 1e-6) / s.memoryGb()));
        }
        return (int) Math.max(0, n);
    }

    private static void take(Machine m, JobSpec s, int sign) {
        m.usedCpus += sign * s.cpus();
        m.usedGpus += sign * s.gpus();
        m.usedMemory += sign * s.memoryGb();
        m.unconfirmed += sign;
    }
}
