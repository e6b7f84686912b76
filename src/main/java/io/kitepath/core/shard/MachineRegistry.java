package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The shard's machines and the machine types on offer. A machine becomes known from the cloud's
 * list, a rental, a heartbeat or a job's record, whichever comes first, and stays known until it is
 * confirmed to no longer exist.
 */
final class MachineRegistry {
    /**
     * Maximum number of removed machines that are remembered; lists of the cloud and late
     * heartbeats may show a removed machine for some minutes at most.
     */
    private static final int MAX_TOMBSTONES = 5000;

    /** Assumed rate of image fetches, in GB/s, while no machine type specifies one. */
    private static final double DEFAULT_FETCH_GIGABYTES_PER_SECOND = 1;

    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final Map<String, MachineType> typesView = Collections.unmodifiableMap(types);
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, Machine> machinesView = Collections.unmodifiableMap(machines);

    /** Called with every machine that becomes known. */
    private final Consumer<Machine> machineAddedListener;

    /** Ids of machines that are recorded as being released, whether or not they are known yet. */
    private final Set<String> markedForRelease = new HashSet<>();

    /**
     * Ids of machines confirmed to no longer exist; lists of the cloud may still show them for a
     * while.
     */
    private final Set<String> tombstones =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        @Override
                        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                            return size() > MAX_TOMBSTONES;
                        }
                    });

    MachineRegistry(Consumer<Machine> machineAddedListener) {
        this.machineAddedListener = machineAddedListener;
    }

    // ---- types --------------------------------------------------------------------------------

    /** Unmodifiable view of the machine types by name, empty until they are known. */
    Map<String, MachineType> types() {
        return typesView;
    }

    void setTypes(Collection<MachineType> offeredTypes) {
        types.clear();
        offeredTypes.forEach(type -> types.put(type.name(), type));
        machines.values().forEach(Machine::clearCachedType);
    }

    /** Returns how long the slowest machine type takes to fetch the job's image, in seconds. */
    double imageFetchSeconds(JobSpec spec) {
        double slowestGigabytesPerSecond =
                types.values().stream()
                        .mapToDouble(MachineType::fetchGigabytesPerSecond)
                        .filter(rate -> rate > 0)
                        .min()
                        .orElse(DEFAULT_FETCH_GIGABYTES_PER_SECOND);
        return spec.imageGigabytes() / slowestGigabytesPerSecond;
    }

    /** Records that the attempt's image is now on its machine. */
    void recordImageUse(Attempt attempt) {
        MachineType type = types.get(attempt.machine.type());
        attempt.machine.recordImageUse(
                attempt.job.spec.image(),
                attempt.job.spec.imageGigabytes(),
                type == null ? 0 : type.cacheGigabytes());
    }

    // ---- machines -----------------------------------------------------------------------------

    /** Unmodifiable view of the machines by id. */
    Map<String, Machine> machines() {
        return machinesView;
    }

    Machine getOrAdd(String id, double now) {
        return machines.computeIfAbsent(
                id,
                key -> {
                    Machine machine = new Machine(key, now);
                    if (markedForRelease.contains(key)) {
                        machine.release();
                    }
                    machineAddedListener.accept(machine);
                    return machine;
                });
    }

    /**
     * Marks the machine for release, also if it becomes known only later: it accepts no work any
     * more.
     */
    void markForRelease(String id) {
        markedForRelease.add(id);
        Machine machine = machines.get(id);
        if (machine != null) {
            machine.release();
        }
    }

    /** Removes a machine that is confirmed to no longer exist; returns it if it was known. */
    Optional<Machine> remove(String id) {
        tombstones.add(id);
        markedForRelease.remove(id);
        Machine machine = machines.remove(id);
        if (machine != null) {
            machine.markGone();
        }
        return Optional.ofNullable(machine);
    }

    /** Whether the machine is confirmed to no longer exist, regardless of late messages. */
    boolean isKnownGone(String id) {
        return tombstones.contains(id);
    }

    /**
     * Applies a list of the machines that exist in the cloud. A list may be stale, so it never
     * proves that a machine no longer exists.
     */
    void applyCloudList(Collection<Cloud.ListedMachine> entries, double now) {
        for (Cloud.ListedMachine entry : entries) {
            if (isKnownGone(entry.machineId())) {
                continue;
            }
            boolean isNew = !machines.containsKey(entry.machineId());
            Machine machine = getOrAdd(entry.machineId(), now);
            if (isNew) {
                machine.rental().setKnownSince(now - entry.ageSeconds());
            }
            machine.applyCloudEntry(entry);
        }
    }

    /** Adds a newly rented machine, whose boot began at {@code since}. */
    void addRented(String id, MachineKind kind, double now, double since) {
        if (!isKnownGone(id)) {
            getOrAdd(id, now).recordRental(kind, since);
        }
    }

    /** Removes all machines; those confirmed to no longer exist stay remembered. */
    void clear() {
        machines.clear();
        markedForRelease.clear();
    }
}
