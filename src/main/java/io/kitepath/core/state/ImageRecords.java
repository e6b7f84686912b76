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
import java.util.Objects;
import java.util.TreeMap;

/**
 * Which machines have which images, kept in the store for whoever holds the block next. Guards
 * against a new holder that knows only the images of what runs, and has tasks fetch on one machine
 * what lies on another. A hint, on which nothing depends but time: written now and then, one of a
 * few records after the other, if it changed.
 */
public final class ImageRecords {
    private static final int RECORD_COUNT = 16;

    private final ClusterSettings settings;
    private final List<Map<String, Object>> written = new ArrayList<>();
    private final Map<String, Map<String, Double>> remembered = new HashMap<>();
    private int next;
    private double nextAt;

    public ImageRecords(ClusterSettings settings) {
        this.settings = settings;
        for (int i = 0; i < RECORD_COUNT; i++) {
            written.add(null);
        }
    }

    /** The next record that is to be written, or null if none is due. */
    Store.Write nextDueRecord(Collection<Machine> machines, double now) {
        if (now < nextAt) {
            return null;
        }
        nextAt = now + settings.workers().heartbeatIntervalSeconds() / 2;
        int index = next++ % RECORD_COUNT;
        Map<String, Object> record = record(machines, index);
        if (Objects.equals(record, written.get(index))
                || written.get(index) == null && record.isEmpty()) {
            return null;
        }
        written.set(index, record);
        return new Store.Write(StoreKeys.IMAGES + index, record, 0);
    }

    private static int indexOf(String machine) {
        return Math.floorMod(machine.hashCode(), RECORD_COUNT);
    }

    /** By image: its size, and the machines that have it. */
    private Map<String, Object> record(Collection<Machine> machines, int index) {
        Map<String, List<Object>> by = new TreeMap<>();
        int bytes = 0;
        for (Machine machine : machines) {
            if (indexOf(machine.id) != index || machine.isGone() || machine.isReleasing()) {
                continue;
            }
            for (Map.Entry<String, Double> e : machine.images().entrySet()) {
                bytes +=
                        machine.id.length()
                                + 4
                                + (by.containsKey(e.getKey()) ? 0 : e.getKey().length() + 32);
                if (bytes < settings.store().maxValueKibibytes() * 1024 * 0.9) {
                    by.computeIfAbsent(e.getKey(), key -> new ArrayList<>(List.of(e.getValue())))
                            .add(machine.id);
                }
            }
        }
        return new LinkedHashMap<>(by);
    }

    /** What the last holder knew, for machines as they become known here. */
    void load(List<Entry> entries) {
        for (Entry entry : entries) {
            if (!(entry.value() instanceof Map<?, ?> by)) {
                continue;
            }
            by.forEach(
                    (image, l) -> {
                        if (image instanceof String name
                                && l instanceof List<?> list
                                && !list.isEmpty()
                                && list.get(0) instanceof Number gb) {
                            for (Object m : list.subList(1, list.size())) {
                                if (m instanceof String id) {
                                    remembered
                                            .computeIfAbsent(id, key -> new TreeMap<>())
                                            .put(name, gb.doubleValue());
                                }
                            }
                        }
                    });
        }
    }

    public void restoreImages(Machine machine) {
        Map<String, Double> images = remembered.remove(machine.id);
        if (images != null) {
            images.forEach(machine::restoreImage);
        }
    }

    void clear() {
        remembered.clear();
        written.replaceAll(r -> null);
    }
}
