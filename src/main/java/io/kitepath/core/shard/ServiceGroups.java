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

/** The {@link ServiceGroup}s of one kind by name, for example all classes or all teams. */
final class ServiceGroups {
    /**
     * Maximum number of groups; users choose the names of classes, so their number is unlimited.
     */
    private static final int MAX_GROUPS = 1000;

    /** Estimated size of one group in the record, in bytes of its JSON form, without its name. */
    private static final int GROUP_BYTES = 64;

    /** The kind of the groups, which precedes a group's name in the log. */
    private final String kind;

    private final Map<String, ServiceGroup> groups = new LinkedHashMap<>();

    ServiceGroups(String kind) {
        this.kind = kind;
    }

    void clear() {
        groups.clear();
    }

    /**
     * Returns the group, which is added if it is new; empty if it is new and the maximum number of
     * groups is reached.
     */
    Optional<ServiceGroup> getOrAdd(String name) {
        ServiceGroup group = groups.get(name);
        if (group == null && groups.size() < MAX_GROUPS) {
            group = new ServiceGroup(kind + " " + name);
            groups.put(name, group);
        }
        return Optional.ofNullable(group);
    }

    /** All groups, in the order in which they were added. */
    Collection<ServiceGroup> all() {
        return Collections.unmodifiableCollection(groups.values());
    }

    /** A copy of the groups, sorted by name. */
    Map<String, ServiceGroup> byName() {
        return new TreeMap<>(groups);
    }

    /** Returns the lowest share of all groups; 1 while there are none. */
    double lowestShare() {
        return groups.values().stream().mapToDouble(ServiceGroup::goalsMetShare).min().orElse(1);
    }

    /** Returns the group's share if it is lagging; 1 otherwise, and for an unknown group. */
    double catchUpShare(String name) {
        ServiceGroup group = groups.get(name);
        return group == null ? 1 : group.catchUpShare();
    }

    /**
     * Returns the counts of the groups with the most decided jobs, as many as fit into {@code
     * maxBytes}: by name, lists as written by {@link ServiceGroup#toRecord}.
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

    /** Restores the counts that {@link #toRecord} wrote; entries of another form are skipped. */
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
