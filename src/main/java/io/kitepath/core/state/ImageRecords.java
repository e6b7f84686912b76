package io.kitepath.core.state;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.shard.Machine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Stores the images on each machine for the next leader. Guards against a new leader that knows
 * only the images of running tasks and makes tasks pull an image on one machine although another
 * already has it. The records are hints that affect only start times: the machines are distributed
 * over a few records, which are written in turn, at intervals and only if they changed.
 */
public final class ImageRecords {
    private static final int RECORD_COUNT = 16;

    /** Share of the maximum value size that a record may use, by an estimate. */
    private static final double MAX_VALUE_FILL = 0.9;

    /** Size of a machine in a record without its name. */
    private static final int MACHINE_OVERHEAD_BYTES = 4;

    /** Size of an image in a record without its name and its machines. */
    private static final int IMAGE_OVERHEAD_BYTES = 32;

    /**
     * One image in a record. It is stored as a list: the size, then the machine ids.
     *
     * @param gigabytes the image's size
     * @param machineIds the machines that have the image
     */
    private record ImageCopies(double gigabytes, List<String> machineIds) {
        List<Object> toStored() {
            List<Object> stored = new ArrayList<>();
            stored.add(gigabytes);
            stored.addAll(machineIds);
            return stored;
        }

        /**
         * Parses a stored value; empty if it is not an image. Elements that are not ids are
         * skipped.
         */
        static Optional<ImageCopies> fromStored(Object value) {
            if (!(value instanceof List<?> stored)
                    || stored.isEmpty()
                    || !(stored.get(0) instanceof Number gigabytes)) {
                return Optional.empty();
            }
            List<String> machineIds = new ArrayList<>();
            for (Object element : stored.subList(1, stored.size())) {
                if (element instanceof String id) {
                    machineIds.add(id);
                }
            }
            return Optional.of(new ImageCopies(gigabytes.doubleValue(), machineIds));
        }
    }

    private final ClusterSettings settings;

    /** By index: the records as last written by this leader. */
    private final Map<Integer, Map<String, Object>> lastWrittenRecords = new HashMap<>();

    /** By id of a machine that is not known yet: the size of its images in gigabytes, by name. */
    private final Map<String, Map<String, Double>> imagesByUnknownMachine = new HashMap<>();

    private int nextIndex;

    /** When the next record is due, in seconds on the steady clock. */
    private double nextDueAtSeconds;

    /** Creates an instance that assumes no records in the store. */
    public ImageRecords(ClusterSettings settings) {
        this.settings = settings;
    }

    /** Returns the next record if it is due and differs from the one last written. */
    Optional<Store.Write> nextDueRecord(Collection<Machine> machines, double nowSeconds) {
        if (nowSeconds < nextDueAtSeconds) {
            return Optional.empty();
        }
        nextDueAtSeconds = nowSeconds + settings.workers().heartbeatIntervalSeconds() / 2;
        int index = nextIndex++ % RECORD_COUNT;
        Map<String, Object> record = composeRecord(machines, index);
        Map<String, Object> last = lastWrittenRecords.get(index);
        if (record.equals(last) || last == null && record.isEmpty()) {
            return Optional.empty();
        }
        lastWrittenRecords.put(index, record);
        return Optional.of(new Store.Write(StoreKeys.IMAGES + index, record, 0));
    }

    private static int recordIndexOf(String machineId) {
        return Math.floorMod(machineId.hashCode(), RECORD_COUNT);
    }

    private Map<String, Object> composeRecord(Collection<Machine> machines, int index) {
        Map<String, ImageCopies> copiesByImage = new TreeMap<>();
        double maxBytes = settings.store().maxValueKibibytes() * 1024 * MAX_VALUE_FILL;
        int bytes = 0;
        for (Machine machine : machines) {
            if (recordIndexOf(machine.id) != index || machine.isGone() || machine.isReleasing()) {
                continue;
            }
            for (Map.Entry<String, Double> image : machine.images().entrySet()) {
                String name = image.getKey();
                bytes += machine.id.length() + MACHINE_OVERHEAD_BYTES;
                if (!copiesByImage.containsKey(name)) {
                    bytes += name.length() + IMAGE_OVERHEAD_BYTES;
                }
                if (bytes < maxBytes) {
                    copiesByImage
                            .computeIfAbsent(
                                    name,
                                    key -> new ImageCopies(image.getValue(), new ArrayList<>()))
                            .machineIds()
                            .add(machine.id);
                }
            }
        }
        Map<String, Object> record = new LinkedHashMap<>();
        copiesByImage.forEach((name, copies) -> record.put(name, copies.toStored()));
        return record;
    }

    /** Loads the previous leader's records, to be applied as machines become known here. */
    void load(List<Entry> records) {
        for (Entry entry : records) {
            if (entry.value() instanceof Map<?, ?> images) {
                images.forEach(this::addUnknownMachines);
            }
        }
    }

    private void addUnknownMachines(Object image, Object storedCopies) {
        if (!(image instanceof String name)) {
            return;
        }
        ImageCopies.fromStored(storedCopies)
                .ifPresent(
                        copies -> {
                            for (String id : copies.machineIds()) {
                                imagesByUnknownMachine
                                        .computeIfAbsent(id, key -> new TreeMap<>())
                                        .put(name, copies.gigabytes());
                            }
                        });
    }

    /** Restores, once, the images that the previous leader recorded for a machine now known. */
    public void restoreImages(Machine machine) {
        Map<String, Double> images = imagesByUnknownMachine.remove(machine.id);
        if (images != null) {
            images.forEach(machine::restoreImage);
        }
    }

    /** Clears all state, because this node is no longer the leader. */
    void clear() {
        imagesByUnknownMachine.clear();
        lastWrittenRecords.clear();
    }
}
