package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Machine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Which machine a task goes to: the first of up to {@link #PROBES} random ones that passes, else
 * the best fit of a scan over the block. See docs/design.md.
 */
public final class ProbePlacement {
    /** T of the paper: a machine passes a probe with fewer unconfirmed starts than this. */
    public static final int THRESHOLD = 2;

    /** Lp of the paper. */
    public static final int PROBES = 3;

    /**
     * How often the places of the machines that hold an image have to hold a job for it to wait for
     * those.
     */
    private static final double ENOUGH = 4;

    private final Random random;
    private final Map<String, MachineType> types;
    private long probes;
    private long passed;
    private long scans;
    private long looks;

    ProbePlacement(Random random, Map<String, MachineType> types) {
        this.random = random;
        this.types = types;
    }

    /** Machines probed, and how many of them passed. */
    public long probes() {
        return probes;
    }

    public long passed() {
        return passed;
    }

    public long scans() {
        return scans;
    }

    /** Machines looked at by scans and for gangs. */
    public long looks() {
        return looks;
    }

    /** Whether the machine may run the task by everything but its present load. */
    boolean allowed(Machine machine, JobSpec spec) {
        return types.containsKey(machine.type())
                && allowed(machine.type(), machine.zone(), machine.isSpot(), spec);
    }

    /** Whether machines of that kind may run the job. */
    public static boolean allowed(MachineKind kind, JobSpec spec) {
        return allowed(kind.machineType(), kind.zone(), kind.spot(), spec);
    }

    private static boolean allowed(String type, String zone, boolean spot, JobSpec spec) {
        return (spec.machineTypes() == null || spec.machineTypes().contains(type))
                && (spec.zone() == null || spec.zone().equals(zone))
                && (spec.allowsSpot() || !spot);
    }

    boolean room(Machine machine, JobSpec spec) {
        return machine.fits(spec, types.get(machine.type()));
    }

    /** A search for machines for the tasks of one job, out of candidates that are all allowed. */
    MachineSearch search(JobSpec spec, List<Machine> candidates) {
        return new MachineSearch(spec, candidates);
    }

    /**
     * Machines for a job's tasks, one call after the other. Guards against a look at the whole
     * block for every task of a large array: what the candidates are and their order for the scan
     * is worked out once. That order holds because the tasks are alike: a machine that gets one
     * becomes fuller still, and one without room stays so.
     */
    final class MachineSearch {
        private final JobSpec spec;
        private final List<Machine> candidates;

        /** Which of the candidates come first, those that are left after them, and so on. */
        private final List<Predicate<Machine>> stages = new ArrayList<>();

        private int stage;

        /** Whether the stages for machines without the image have still to be worked out. */
        private boolean elsewhereToo;

        private Boolean enough;

        /**
         * The candidates with room for a task, as of when the search began: room only shrinks while
         * it lasts.
         */
        private List<Machine> roomy;

        /**
         * Null before a stage begins. Room only shrinks while a search lasts, so a stage that found
         * none is over.
         */
        private Walk walk;

        private MachineSearch(JobSpec spec, List<Machine> candidates) {
            this.spec = spec;
            this.candidates = candidates;
            if (!spec.allowsSpot()) {
                if (large()) {
                    stages.add(this::holds);
                }
                stages.add(machine -> true);
                return;
            }
            // Work that may use spot machines leaves the others to work that may not; but with a
            // deadline there is no time to fetch an image on the one while the other has it.
            stages.add(machine -> machine.isSpot() && holds(machine));
            if (spec.deadlineSeconds() != null) {
                stages.add(this::holds);
            }
            elsewhereToo = true;
        }

        /** Once those that have the image are full. */
        private void goElsewhere() {
            elsewhereToo = false;
            boolean hurried = spec.deadlineSeconds() != null;
            if (!enoughHold()) {
                elsewhere(Machine::isSpot);
            }
            if (!hurried) {
                stages.add(this::holds);
            }
            if (!enoughHold()) {
                elsewhere(machine -> true);
            } else {
                // Where half a machine is free, one fetch serves many, and nothing is left idle.
                stages.add(
                        machine ->
                                2 * machine.usedCpus() <= types.get(machine.type()).cpus()
                                        && (machine.isFetching(spec.image()) || !machine.isFetching()));
            }
        }

        private boolean holds(Machine machine) {
            return machine.hasImage(spec.image());
        }

        /**
         * Machines that lack the image: those that fetch it already, then those that fetch nothing
         * else, since images that are fetched at the same time may share the machine's rate.
         */
        private void elsewhere(Predicate<Machine> of) {
            stages.add(machine -> of.test(machine) && machine.isFetching(spec.image()));
            stages.add(machine -> of.test(machine) && !machine.isFetching());
            stages.add(of);
        }

        /**
         * Whether so many machines have the image, or fetch it, that room on them comes free sooner
         * than another one would have fetched it. Guards against arrays whose last tasks wait for
         * an image on a machine that three others fetch theirs on, while their like end every
         * second where the image is.
         */
        private boolean enoughHold() {
            if (enough == null) {
                double slots = 0;
                for (Machine machine : candidates) {
                    if (holds(machine) || machine.isFetching(spec.image())) {
                        MachineType type = types.get(machine.type());
                        slots +=
                                most(
                                        spec,
                                        Integer.MAX_VALUE,
                                        type.cpus() - machine.nonSpotCpus(),
                                        type.gpus(),
                                        type.memoryGigabytes());
                    }
                    if (slots >= ENOUGH * spec.taskCount()) {
                        break;
                    }
                }
                enough = slots >= ENOUGH * spec.taskCount();
            }
            return enough;
        }

        /** Whether it left out machines only because the image is elsewhere. */
        boolean holdsOut() {
            return Boolean.TRUE.equals(enough);
        }

        /**
         * Guards against bound work spread over empty machines for the sake of its image: it packs,
         * if it can.
         */
        private boolean large() {
            return types.values().stream().allMatch(type -> slots(spec, type) < 2);
        }

        /** The same search among fewer candidates. */
        MachineSearch within(Predicate<Machine> in) {
            return new MachineSearch(spec, candidates.stream().filter(in).toList());
        }

        /**
         * Null if there is none now; the caller puts the task there before it asks for the next.
         */
        Machine next() {
            if (roomy == null) {
                roomy = candidates.stream().filter(machine -> room(machine, spec)).toList();
            }
            while (walk != null || stage < stages.size() || elsewhereToo) {
                if (walk == null && stage == stages.size()) {
                    goElsewhere();
                    continue;
                }
                if (walk == null) {
                    Predicate<Machine> in = stages.get(stage++);
                    // Where none has room, probes would miss and a scan find nothing: on a full
                    // fleet that is nearly every stage of nearly every search, and to ask hundreds
                    // of machines for an image takes its time.
                    if (roomy.stream().noneMatch(in)) {
                        continue;
                    }
                    walk = new Walk(spec, candidates.stream().filter(in).toList());
                }
                Machine machine = walk.next();
                if (machine != null) {
                    return machine;
                }
                walk = null;
            }
            return null;
        }
    }

    private final class Walk {
        private final JobSpec spec;
        private final List<Machine> from;

        /**
         * Machines in use come first, so that idle ones stay whole for gangs and large tasks, or
         * empty to return.
         */
        private final List<Machine> used = new ArrayList<>();

        private List<Machine> order;
        private int at;

        Walk(JobSpec spec, List<Machine> from) {
            this.spec = spec;
            this.from = from;
            for (Machine machine : from) {
                if (machine.cpusJustifyingRental() > 0) {
                    used.add(machine);
                }
            }
        }

        Machine next() {
            if (order == null || at < order.size()) {
                Machine machine = probe(spec, used);
                return machine != null ? machine : scan();
            }
            return null; // A scan found the candidates full.
        }

        /**
         * Guards against work that may go anywhere filling just those ordinary machines that have
         * most images, which large work would start on at once: it takes those first that have few.
         * Less than what a full machine counts.
         */
        private double worthKeeping(Machine machine) {
            int n = machine.images().size();
            return 0.25 * n / (n + 4);
        }

        /** The fullest machine that has room, those with the image first. */
        private Machine scan() {
            scans++;
            if (order == null) {
                order = new ArrayList<>();
                Map<Machine, Double> score = new HashMap<>();
                for (Machine machine : from) {
                    looks++;
                    if (room(machine, spec)) {
                        order.add(machine);
                        score.put(
                                machine,
                                (machine.cpusJustifyingRental() + machine.usedCpus() / 4)
                                                / types.get(machine.type()).cpus()
                                        + (machine.hasImage(spec.image()) ? 1 : 0)
                                        - (spec.allowsSpot() && !machine.isSpot()
                                                ? worthKeeping(machine)
                                                : 0));
                    }
                }
                order.sort(Comparator.comparing(score::get, Comparator.reverseOrder()));
            }
            for (; at < order.size(); at++) {
                looks++;
                if (room(order.get(at), spec)) {
                    return order.get(at);
                }
            }
            return null;
        }
    }

    private Machine probe(JobSpec spec, List<Machine> from) {
        int n = from.size();
        for (int i = 0; i < PROBES && i < n; i++) {
            // A partial shuffle: distinct machines, as in the paper.
            int j = i + random.nextInt(n - i);
            Machine machine = from.get(j);
            from.set(j, from.get(i));
            from.set(i, machine);
            probes++;
            if (machine.unconfirmedStarts() < THRESHOLD && room(machine, spec)) {
                passed++;
                return machine;
            }
        }
        return null;
    }

    /** Machines for every waiting task of a gang, or null if the gang does not fit as a whole. */
    List<Machine> chooseGang(JobSpec spec, List<Machine> candidates) {
        Map<String, Integer> slots = new TreeMap<>();
        int total = 0;
        for (Machine machine : candidates) {
            looks++;
            int n = freeSlots(machine, spec, 0, 0, 0);
            total += n;
            slots.merge(machine.zone(), n, Integer::sum);
        }
        if (total < spec.taskCount()) {
            return null;
        }
        MachineSearch all = search(spec, candidates);
        if (!spec.isSingleZone()) {
            return whole(spec, all);
        }
        // The zone with the least room that still suffices, so that larger gangs find theirs.
        List<String> zones = new ArrayList<>(slots.keySet());
        zones.removeIf(z -> slots.get(z) < spec.taskCount());
        zones.sort(Comparator.comparing(slots::get));
        for (String z : zones) {
            List<Machine> found = whole(spec, all.within(machine -> machine.zone().equals(z)));
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    /**
     * The zone for the first tasks of a job that has to stay in one: that with the least room that
     * suffices for so many, or else the most. Guards against a job that is bound to a zone which
     * holds few of its tasks by the first of them, while another would hold all.
     */
    String roomiest(JobSpec spec, int tasks, List<Machine> candidates) {
        Map<String, Integer> slots = new TreeMap<>();
        for (Machine machine : candidates) {
            slots.merge(machine.zone(), freeSlots(machine, spec, 0, 0, 0), Integer::sum);
        }
        return slots.entrySet().stream()
                .min(
                        Comparator.comparingInt(
                                        (Map.Entry<String, Integer> e) ->
                                                e.getValue() >= tasks
                                                        ? e.getValue()
                                                        : Integer.MAX_VALUE)
                                .thenComparingInt(e -> -e.getValue()))
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    private List<Machine> whole(JobSpec spec, MachineSearch among) {
        MachineSearch search = among;
        List<Machine> found = new ArrayList<>();
        Map<String, Integer> perZone = new HashMap<>();
        for (int i = 0; i < spec.taskCount(); i++) {
            Machine machine = search.next();
            if (machine == null) {
                break;
            }
            machine.countTentatively(spec, 1);
            found.add(machine);
            if (perZone.merge(machine.zone(), 1, Integer::sum) >= spec.maxTasksPerZone()) {
                search = search.within(x -> !x.zone().equals(machine.zone()));
            }
        }
        for (Machine machine : found) {
            machine.countTentatively(spec, -1);
        }
        return found.size() == spec.taskCount() ? found : null;
    }

    /** How many such tasks fit on the machine if that much of its load were gone. */
    int freeSlots(
            Machine machine, JobSpec spec, double lessCpus, double lessGpus, double lessMemory) {
        MachineType type = types.get(machine.type());
        return slots(
                spec,
                type.cpus() - machine.usedCpus() + lessCpus,
                type.gpus() - machine.usedGpus() + lessGpus,
                type.memoryGigabytes() - machine.usedMemory() + lessMemory);
    }

    /** How many of the job's tasks an empty machine of the type holds. */
    public static int slots(JobSpec spec, MachineType type) {
        return slots(spec, type.cpus(), type.gpus(), type.memoryGigabytes());
    }

    public static int slots(JobSpec spec, double cpus, double gpus, double memoryGb) {
        return most(spec, spec.taskCount(), cpus, gpus, memoryGb);
    }

    /** How many tasks of that size an empty machine of the type holds, however many the job has. */
    static int most(JobSpec spec, MachineType type) {
        return most(spec, Integer.MAX_VALUE, type.cpus(), type.gpus(), type.memoryGigabytes());
    }

    private static int most(JobSpec spec, int tasks, double cpus, double gpus, double memoryGb) {
        double n = tasks;
        if (spec.cpusPerTask() > 0) {
            n = Math.min(n, Math.floor((cpus + 1e-6) / spec.cpusPerTask()));
        }
        if (spec.gpusPerTask() > 0) {
            n = Math.min(n, Math.floor((gpus + 1e-6) / spec.gpusPerTask()));
        }
        if (spec.memoryGigabytesPerTask() > 0) {
            n = Math.min(n, Math.floor((memoryGb + 1e-6) / spec.memoryGigabytesPerTask()));
        }
        return (int) Math.max(0, n);
    }
}
