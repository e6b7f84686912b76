package io.kitepath.core.shard;

import io.kitepath.core.shard.ServiceLevels.ServiceGroup;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The {@link ServiceGroup}s of one kind by name: all classes, say, or all teams. */
final class ServiceGroups {
    /** Users name the classes, so there may be any number of them. */
    private static final int MAX_GROUPS = 1000;

    /** What one group takes in the record, in bytes of its JSON form, besides its name. */
    private static final int GROUP_BYTES = 64;

    /** What the log calls a group of this kind, before its name. */
    private final String kind;

    private final Map<String, ServiceGroup> groups = new LinkedHashMap<>();

    ServiceGroups(String kind) {
        this.kind = kind;
    }

    void clear() {
        groups.clear();
    }

    /** Empty if the group is new and there are too many already. */
    Optional<ServiceGroup> getOrAdd(String name) {
        ServiceGroup group = groups.get(name);
        if (group == null && groups.size() < MAX_GROUPS) {
            group = new ServiceGroup(kind + " " + name);
            groups.put(name, group);
        }
        return Optional.ofNullable(group);
    }

    /** In the order in which they became known. */
    Collection<ServiceGroup> all() {
        return Collections.unmodifiableCollection(groups.values());
    }

    /** A copy, sorted by name. */
    Map<String, ServiceGroup> byName() {
        return new TreeMap<>(groups);
    }

    /** The lowest share of all; 1 while there are none. */
    double leastShare() {
        return groups.values().stream().mapToDouble(ServiceGroup::share).min().orElse(1);
    }

    /** The group's share if it is behind; 1 otherwise, and for an unknown group. */
    double catchUpShare(String name) {
        ServiceGroup group = groups.get(name);
        return group == null ? 1 : group.catchUpShare();
    }

    /**
     * The counts of the groups with the most jobs decided, as many as fit into that many bytes: by
     * name, lists as of {@link ServiceGroup#toRecord}.
     */
    Map<String, Object> toRecord(double maxBytes) {
        List<Map.Entry<String, ServiceGroup>> mostDecidedFirst =
                groups.entrySet().stream()
                        .sorted(Comparator.comparingLong(entry -> -entry.getValue().decided()))
                        .toList();
        Map<String, Object> record = new LinkedHashMap<>();
        double bytesLeft = maxBytes;
        for (Map.Entry<String, ServiceGroup> entry : mostDecidedFirst) {
            bytesLeft -= GROUP_BYTES + entry.getKey().length();
            if (bytesLeft < 0 || entry.getValue().decided() == 0) {
                break;
            }
            record.put(entry.getKey(), entry.getValue().toRecord());
        }
        return record;
    }

    /** Goes on from what {@link #toRecord} wrote; what is not of that form is left out. */
    void restore(Object record) {
        if (!(record instanceof Map<?, ?> countsByName)) {
            return;
        }
        countsByName.forEach(
                (name, counts) -> {
                    if (name instanceof String text && ServiceGroup.isRecord(counts)) {
                        getOrAdd(text).ifPresent(group -> group.restore((List<?>) counts));
                    }
                });
    }
}
