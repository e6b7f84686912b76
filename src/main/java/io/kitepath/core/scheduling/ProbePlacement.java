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
 * Which machine a task goes to: the first of up to {@link #MAX_PROBES} random ones that passes,
 * else the best fit of a scan over the block. See docs/design.md.
 */
public final class ProbePlacement {
    /** T of the paper: a machine passes a probe with fewer unconfirmed starts than this. */
    public static final int UNCONFIRMED_THRESHOLD = 2;

    /** Lp of the paper. */
    public static final int MAX_PROBES = 3;

    /**
     * How often the places of the machines that hold an image have to hold a job for it to wait for
     * those.
     */
    private static final double IMAGE_SLOTS_FACTOR = 4;

    private final Random random;
    private final Map<String, MachineType> types;
    private long probeCount;
    private long passedProbeCount;
    private long scanCount;
    private long inspectedMachineCount;

    ProbePlacement(Random random, Map<String, MachineType> types) {
        this.random = random;
        this.types = types;
    }

    /** Machines probed, and how many of them passed. */
    public long probeCount() {
        return probeCount;
    }

    public long passedProbeCount() {
        return passedProbeCount;
    }

    public long scanCount() {
        return scanCount;
    }

    /** Machines looked at by scans and for gangs. */
    public long inspectedMachineCount() {
        return inspectedMachineCount;
    }

    /** Whether the machine may run the task by everything but its present load. */
    boolean isAllowed(Machine machine, JobSpec spec) {
        return types.containsKey(machine.type())
                && isAllowed(machine.type(), machine.zone(), machine.isSpot(), spec);
    }

    /** Whether machines of that kind may run the job. */
    public static boolean isAllowed(MachineKind kind, JobSpec spec) {
        return isAllowed(kind.machineType(), kind.zone(), kind.spot(), spec);
    }

    private static boolean isAllowed(String type, String zone, boolean spot, JobSpec spec) {
        return (spec.machineTypes() == null || spec.machineTypes().contains(type))
                && (spec.zone() == null || spec.zone().equals(zone))
                && (spec.allowsSpot() || !spot);
    }

    boolean hasRoom(Machine machine, JobSpec spec) {
        return machine.fits(spec, types.get(machine.type()));
    }

    /** A search for machines for the tasks of one job, out of candidates that are all allowed. */
    MachineSearch newSearch(JobSpec spec, List<Machine> candidates) {
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
        private boolean stagesWithoutImagePending;

        private Boolean enoughSlotsWithImage;

        /**
         * The candidates with room for a task, as of when the search began: room only shrinks while
         * it lasts.
         */
        private List<Machine> machinesWithRoom;

        /**
         * Null before a stage begins. Room only shrinks while a search lasts, so a stage that found
         * none is over.
         */
        private StageSearch stageSearch;

        private MachineSearch(JobSpec spec, List<Machine> candidates) {
            this.spec = spec;
            this.candidates = candidates;
            if (!spec.allowsSpot()) {
                if (fillsWholeMachine()) {
                    stages.add(this::hasImage);
                }
                stages.add(machine -> true);
                return;
            }
            // Work that may use spot machines leaves the others to work that may not; but with a
            // deadline there is no time to fetch an image on the one while the other has it.
            stages.add(machine -> machine.isSpot() && hasImage(machine));
            if (spec.deadlineSeconds() != null) {
                stages.add(this::hasImage);
            }
            stagesWithoutImagePending = true;
        }

        /** Once those that have the image are full. */
        private void addStagesWithoutImage() {
            stagesWithoutImagePending = false;
            boolean hurried = spec.deadlineSeconds() != null;
            if (!hasEnoughSlotsWithImage()) {
                addFetchStages(Machine::isSpot);
            }
            if (!hurried) {
                stages.add(this::hasImage);
            }
            if (!hasEnoughSlotsWithImage()) {
                addFetchStages(machine -> true);
            } else {
                // Where half a machine is free, one fetch serves many, and nothing is left idle.
                stages.add(
                        machine ->
                                2 * machine.usedCpus() <= types.get(machine.type()).cpus()
                                        && (machine.isFetching(spec.image())
                                                || !machine.isFetching()));
            }
        }

        private boolean hasImage(Machine machine) {
            return machine.hasImage(spec.image());
        }

        /**
         * Machines that lack the image: those that fetch it already, then those that fetch nothing
         * else, since images that are fetched at the same time may share the machine's rate.
         */
        private void addFetchStages(Predicate<Machine> of) {
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
        private boolean hasEnoughSlotsWithImage() {
            if (enoughSlotsWithImage == null) {
                double slots = 0;
                for (Machine machine : candidates) {
                    if (hasImage(machine) || machine.isFetching(spec.image())) {
                        MachineType type = types.get(machine.type());
                        slots +=
                                maxSlots(
                                        spec,
                                        Integer.MAX_VALUE,
                                        type.cpus() - machine.nonSpotCpus(),
                                        type.gpus(),
                                        type.memoryGigabytes());
                    }
                    if (slots >= IMAGE_SLOTS_FACTOR * spec.taskCount()) {
                        break;
                    }
                }
                enoughSlotsWithImage = slots >= IMAGE_SLOTS_FACTOR * spec.taskCount();
            }
            return enoughSlotsWithImage;
        }

        /** Whether it left out machines only because the image is elsewhere. */
        boolean isWaitingForImage() {
            return Boolean.TRUE.equals(enoughSlotsWithImage);
        }

        /**
         * Guards against bound work spread over empty machines for the sake of its image: it packs,
         * if it can.
         */
        private boolean fillsWholeMachine() {
            return types.values().stream().allMatch(type -> slots(spec, type) < 2);
        }

        /** The same search among fewer candidates. */
        MachineSearch restrictedTo(Predicate<Machine> in) {
            return new MachineSearch(spec, candidates.stream().filter(in).toList());
        }

        /**
         * Null if there is none now; the caller puts the task there before it asks for the next.
         */
        Machine nextMachine() {
            if (machinesWithRoom == null) {
                machinesWithRoom =
                        candidates.stream().filter(machine -> hasRoom(machine, spec)).toList();
            }
            while (stageSearch != null || stage < stages.size() || stagesWithoutImagePending) {
                if (stageSearch == null && stage == stages.size()) {
                    addStagesWithoutImage();
                    continue;
                }
                if (stageSearch == null) {
                    Predicate<Machine> in = stages.get(stage++);
                    // Where none has room, probes would miss and a scan find nothing: on a full
                    // fleet that is nearly every stage of nearly every search, and to ask hundreds
                    // of machines for an image takes its time.
                    if (machinesWithRoom.stream().noneMatch(in)) {
                        continue;
                    }
                    stageSearch = new StageSearch(spec, candidates.stream().filter(in).toList());
                }
                Machine machine = stageSearch.nextMachine();
                if (machine != null) {
                    return machine;
                }
                stageSearch = null;
            }
            return null;
        }
    }

    private final class StageSearch {
        private final JobSpec spec;
        private final List<Machine> candidates;

        /**
         * Machines in use come first, so that idle ones stay whole for gangs and large tasks, or
         * empty to return.
         */
        private final List<Machine> machinesInUse = new ArrayList<>();

        private List<Machine> scanOrder;
        private int nextInOrder;

        StageSearch(JobSpec spec, List<Machine> from) {
            this.spec = spec;
            this.candidates = from;
            for (Machine machine : from) {
                if (machine.cpusJustifyingRental() > 0) {
                    machinesInUse.add(machine);
                }
            }
        }

        Machine nextMachine() {
            if (scanOrder == null || nextInOrder < scanOrder.size()) {
                Machine machine = probe(spec, machinesInUse);
                return machine != null ? machine : scan();
            }
            return null; // A scan found the candidates full.
        }

        /**
         * Guards against work that may go anywhere filling just those ordinary machines that have
         * most images, which large work would start on at once: it takes those first that have few.
         * Less than what a full machine counts.
         */
        private double imageCountPenalty(Machine machine) {
            int n = machine.images().size();
            return 0.25 * n / (n + 4);
        }

        /** The fullest machine that has room, those with the image first. */
        private Machine scan() {
            scanCount++;
            if (scanOrder == null) {
                scanOrder = new ArrayList<>();
                Map<Machine, Double> score = new HashMap<>();
                for (Machine machine : candidates) {
                    inspectedMachineCount++;
                    if (hasRoom(machine, spec)) {
                        scanOrder.add(machine);
                        score.put(
                                machine,
                                (machine.cpusJustifyingRental() + machine.usedCpus() / 4)
                                                / types.get(machine.type()).cpus()
                                        + (machine.hasImage(spec.image()) ? 1 : 0)
                                        - (spec.allowsSpot() && !machine.isSpot()
                                                ? imageCountPenalty(machine)
                                                : 0));
                    }
                }
                scanOrder.sort(Comparator.comparing(score::get, Comparator.reverseOrder()));
            }
            for (; nextInOrder < scanOrder.size(); nextInOrder++) {
                inspectedMachineCount++;
                if (hasRoom(scanOrder.get(nextInOrder), spec)) {
                    return scanOrder.get(nextInOrder);
                }
            }
            return null;
        }
    }

    private Machine probe(JobSpec spec, List<Machine> from) {
        int n = from.size();
        for (int i = 0; i < MAX_PROBES && i < n; i++) {
            // A partial shuffle: distinct machines, as in the paper.
            int j = i + random.nextInt(n - i);
            Machine machine = from.get(j);
            from.set(j, from.get(i));
            from.set(i, machine);
            probeCount++;
            if (machine.unconfirmedStarts() < UNCONFIRMED_THRESHOLD && hasRoom(machine, spec)) {
                passedProbeCount++;
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
            inspectedMachineCount++;
            int n = freeSlots(machine, spec, 0, 0, 0);
            total += n;
            slots.merge(machine.zone(), n, Integer::sum);
        }
        if (total < spec.taskCount()) {
            return null;
        }
        MachineSearch all = newSearch(spec, candidates);
        if (!spec.isSingleZone()) {
            return findWholeGang(spec, all);
        }
        // The zone with the least room that still suffices, so that larger gangs find theirs.
        List<String> zones = new ArrayList<>(slots.keySet());
        zones.removeIf(z -> slots.get(z) < spec.taskCount());
        zones.sort(Comparator.comparing(slots::get));
        for (String z : zones) {
            List<Machine> found =
                    findWholeGang(spec, all.restrictedTo(machine -> machine.zone().equals(z)));
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
    String chooseZone(JobSpec spec, int tasks, List<Machine> candidates) {
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

    private List<Machine> findWholeGang(JobSpec spec, MachineSearch among) {
        MachineSearch search = among;
        List<Machine> found = new ArrayList<>();
        Map<String, Integer> perZone = new HashMap<>();
        for (int i = 0; i < spec.taskCount(); i++) {
            Machine machine = search.nextMachine();
            if (machine == null) {
                break;
            }
            machine.countTentatively(spec, 1);
            found.add(machine);
            if (perZone.merge(machine.zone(), 1, Integer::sum) >= spec.maxTasksPerZone()) {
                search = search.restrictedTo(x -> !x.zone().equals(machine.zone()));
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
        return maxSlots(spec, spec.taskCount(), cpus, gpus, memoryGb);
    }

    /** How many tasks of that size an empty machine of the type holds, however many the job has. */
    static int maxSlots(JobSpec spec, MachineType type) {
        return maxSlots(spec, Integer.MAX_VALUE, type.cpus(), type.gpus(), type.memoryGigabytes());
    }

    private static int maxSlots(
            JobSpec spec, int tasks, double cpus, double gpus, double memoryGb) {
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
