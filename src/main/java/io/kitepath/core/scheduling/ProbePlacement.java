package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Machine;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Selects machines for tasks: the first of up to {@link #MAX_PROBES} random machines that passes a
 * probe, otherwise the best fit found by a scan over the shard. Also determines which machines a
 * job may use and how many of its tasks they hold.
 *
 * <p>The probes implement the Threshold location policy of Eager, Lazowska and Zahorjan, "Adaptive
 * Load Sharing in Homogeneous Distributed Systems", section II-B
 * (../given/docs/PAPER-adaptive-load-sharing-homogene-6f1f.md); docs/design.md lists the
 * deviations. Not thread-safe: used only on the event loop.
 */
public final class ProbePlacement {
    /** A machine passes a probe if it has fewer unconfirmed starts than this (T in the paper). */
    public static final int UNCONFIRMED_THRESHOLD = 2;

    /** Maximum number of machines probed per task (the probe limit Lp in the paper). */
    public static final int MAX_PROBES = 3;

    /** Tolerance for rounding errors when resources are divided into slots. */
    private static final double ROUNDING_SLACK = 1e-6;

    private final Random random;
    private final Map<String, MachineType> types;
    private final PlacementCounters counters = new PlacementCounters();

    /**
     * @param random random source for the machines to probe
     * @param types the known machine types by name; may grow later
     */
    ProbePlacement(Random random, Map<String, MachineType> types) {
        this.random = random;
        this.types = types;
    }

    /** Returns the number of machines probed since this node started. */
    public long probeCount() {
        return counters.probes;
    }

    /** Returns the number of probed machines that passed and received the task. */
    public long passedProbeCount() {
        return counters.passedProbes;
    }

    /** Returns the number of scans made because no probe passed. */
    public long scanCount() {
        return counters.scans;
    }

    /** Returns the number of machines inspected by scans and for gangs. */
    public long inspectedMachineCount() {
        return counters.inspectedMachines;
    }

    PlacementCounters counters() {
        return counters;
    }

    Random random() {
        return random;
    }

    Map<String, MachineType> types() {
        return types;
    }

    /** Returns the machine's type; only for machines whose type is known. */
    MachineType typeOf(Machine machine) {
        return machine.resolveType(types);
    }

    /** Whether the machine may run the job's tasks, regardless of its current load. */
    boolean isAllowed(Machine machine, JobSpec spec) {
        return typeOf(machine) != null
                && isAllowed(machine.type(), machine.zone(), machine.isSpot(), spec);
    }

    /** Whether machines of the given kind may run the job. */
    public static boolean isAllowed(MachineKind kind, JobSpec spec) {
        return isAllowed(kind.machineType(), kind.zone(), kind.spot(), spec);
    }

    private static boolean isAllowed(String type, String zone, boolean spot, JobSpec spec) {
        return (spec.machineTypes() == null || spec.machineTypes().contains(type))
                && (spec.zone() == null || spec.zone().equals(zone))
                && (spec.allowsSpot() || !spot);
    }

    /** Whether one more task of the job fits on the machine now. */
    boolean hasCapacity(Machine machine, JobSpec spec) {
        return machine.fits(spec, typeOf(machine));
    }

    /**
     * Creates a search for machines for the tasks of one job, among candidates that are all
     * allowed.
     *
     * @param mayWaitForImage whether machines without the image may be left out because enough
     *     others have it
     */
    MachineSearch newSearch(JobSpec spec, List<Machine> candidates, boolean mayWaitForImage) {
        return new MachineSearch(this, spec, candidates, mayWaitForImage);
    }

    /** Returns how many of the job's tasks fit on the machine now. */
    int freeSlots(Machine machine, JobSpec spec) {
        return freeSlots(machine, spec, new FreedResources());
    }

    /**
     * Returns how many of the job's tasks would fit on the machine if the given resources were
     * freed.
     */
    int freeSlots(Machine machine, JobSpec spec, FreedResources freed) {
        MachineType type = typeOf(machine);
        return slots(
                spec,
                type.cpus() - machine.usedCpus() + freed.cpus(),
                type.gpus() - machine.usedGpus() + freed.gpus(),
                type.memoryGigabytes() - machine.usedMemoryGigabytes() + freed.memoryGb());
    }

    /** Returns how many of the job's tasks an empty machine of the type holds. */
    public static int slots(JobSpec spec, MachineType type) {
        return slots(spec, type.cpus(), type.gpus(), type.memoryGigabytes());
    }

    /**
     * Returns how many of the job's tasks fit into the given resources; never more than the job
     * has.
     */
    public static int slots(JobSpec spec, double cpus, double gpus, double memoryGb) {
        return maxSlots(spec, spec.taskCount(), cpus, gpus, memoryGb);
    }

    /**
     * Returns how many tasks of the job's size an empty machine of the type holds, regardless of
     * the job's number of tasks.
     */
    static int maxSlots(JobSpec spec, MachineType type) {
        return maxSlots(spec, type.cpus(), type.gpus(), type.memoryGigabytes());
    }

    /**
     * Returns how many tasks of the job's size fit into the given resources, regardless of the
     * job's number of tasks.
     */
    static int maxSlots(JobSpec spec, double cpus, double gpus, double memoryGb) {
        return maxSlots(spec, Integer.MAX_VALUE, cpus, gpus, memoryGb);
    }

    private static int maxSlots(
            JobSpec spec, int tasks, double cpus, double gpus, double memoryGb) {
        double slots = tasks;
        if (spec.cpusPerTask() > 0) {
            slots = Math.min(slots, Math.floor((cpus + ROUNDING_SLACK) / spec.cpusPerTask()));
        }
        if (spec.gpusPerTask() > 0) {
            slots = Math.min(slots, Math.floor((gpus + ROUNDING_SLACK) / spec.gpusPerTask()));
        }
        if (spec.memoryGigabytesPerTask() > 0) {
            slots =
                    Math.min(
                            slots,
                            Math.floor(
                                    (memoryGb + ROUNDING_SLACK) / spec.memoryGigabytesPerTask()));
        }
        return (int) Math.max(0, slots);
    }
}
