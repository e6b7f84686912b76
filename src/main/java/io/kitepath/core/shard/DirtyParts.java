package io.kitepath.core.shard;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Parts of jobs that differ from their records, the longest waiting first. */
public final class DirtyParts {
    private final Set<Job.Part> placings = new LinkedHashSet<>();
    private final Set<Job.Part> changes = new LinkedHashSet<>();

    void clear() {
        placings.clear();
        changes.clear();
    }

    void placed(Job.Part part) {
        placings.add(part);
    }

    void changed(Job.Part part) {
        changes.add(part);
    }

    /** Parts with placings that their records lack; nothing of those may start before. */
    public List<Job.Part> placings() {
        return List.copyOf(placings);
    }

    /** Parts that differ otherwise. */
    public List<Job.Part> changes() {
        return List.copyOf(changes);
    }

    /** The part is being written. */
    public void taken(Job.Part part) {
        placings.remove(part);
        changes.remove(part);
    }

    /** Has the part written if it differs from its record. */
    public void queue(Job.Part part) {
        if (part.placingDue()) {
            placings.add(part);
        } else if (part.due()) {
            changes.add(part);
        }
    }
}
