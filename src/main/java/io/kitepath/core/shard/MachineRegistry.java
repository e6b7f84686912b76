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
 * The shard's machines and the machine types on offer. A machine is known from the cloud's list, a
 * rental, a heartbeat or a job's record, whichever comes first, until it is gone for certain.
 */
final class MachineRegistry {
    /** Lists and late heartbeats show a machine that is gone for minutes at most. */
    private static final int MAX_TOMBSTONES = 5000;

    /** GB/s taken for image fetches while no machine type says a rate. */
    private static final double DEFAULT_FETCH_GIGABYTES_PER_SECOND = 1;

    private final Map<String, MachineType> types = new LinkedHashMap<>();
    private final Map<String, MachineType> typesView = Collections.unmodifiableMap(types);
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, Machine> machinesView = Collections.unmodifiableMap(machines);

    /** Is called with every machine that becomes known. */
    private final Consumer<Machine> machineAddedListener;

    /** Machines on record as being given back, whether or not they have been heard of. */
    private final Set<String> markedForRelease = new HashSet<>();

    /** Names of machines that are gone for certain; lists may show them a while longer. */
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

    void setTypes(Collection<MachineType> all) {
        types.clear();
        all.forEach(type -> types.put(type.name(), type));
        machines.values().forEach(Machine::forgetKnownType);
    }

    /** How long the job's image takes to fetch on the slowest type of machine. */
    double imageFetchSeconds(JobSpec spec) {
        double slowestGigabytesPerSecond =
                types.values().stream()
                        .mapToDouble(MachineType::fetchGigabytesPerSecond)
                        .filter(rate -> rate > 0)
                        .min()
                        .orElse(DEFAULT_FETCH_GIGABYTES_PER_SECOND);
        return spec.imageGigabytes() / slowestGigabytesPerSecond;
    }

    /** The attempt's image is on its machine now. */
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
     * The machine is on record as one to be given back: whenever it is heard of, it takes no work
     * any more.
     */
    void markForRelease(String id) {
        markedForRelease.add(id);
        Machine machine = machines.get(id);
        if (machine != null) {
            machine.release();
        }
    }

    /** The machine is gone for certain; returns it if it was known. */
    Optional<Machine> remove(String id) {
        tombstones.add(id);
        markedForRelease.remove(id);
        Machine machine = machines.remove(id);
        if (machine != null) {
            machine.markGone();
        }
        return Optional.ofNullable(machine);
    }

    /** Whether the machine is gone for certain, whatever late messages say. */
    boolean isKnownGone(String id) {
        return tombstones.contains(id);
    }

    /** What the cloud says exists. A list can be old, so it never proves a machine gone. */
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

    /** The cloud has rented this machine to us; its boot began at {@code since}. */
    void addRented(String id, MachineKind kind, double now, double since) {
        if (!isKnownGone(id)) {
            getOrAdd(id, now).recordRental(kind, since);
        }
    }

    /** Forgets all machines; those that are gone stay known as such. */
    void clear() {
        machines.clear();
        markedForRelease.clear();
    }
}
