package io.kitepath.core.shard;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Parts of jobs that differ from their records, the longest waiting first. */
public final class DirtyParts {
    private final Set<Job.Part> withPlacements = new LinkedHashSet<>();
    private final Set<Job.Part> withOtherChanges = new LinkedHashSet<>();

    void clear() {
        withPlacements.clear();
        withOtherChanges.clear();
    }

    void addPlacement(Job.Part part) {
        withPlacements.add(part);
    }

    void addChange(Job.Part part) {
        withOtherChanges.add(part);
    }

    /** Parts with placings that their records lack; nothing of those may start before. */
    public List<Job.Part> withPlacements() {
        return List.copyOf(withPlacements);
    }

    /** Parts that differ otherwise. */
    public List<Job.Part> withOtherChanges() {
        return List.copyOf(withOtherChanges);
    }

    /** The part is being written. */
    public void remove(Job.Part part) {
        withPlacements.remove(part);
        withOtherChanges.remove(part);
    }

    /** Has the part written if it differs from its record. */
    public void enqueueIfDirty(Job.Part part) {
        if (part.hasUnwrittenPlacement()) {
            withPlacements.add(part);
        } else if (part.isDirty()) {
            withOtherChanges.add(part);
        }
    }
}
