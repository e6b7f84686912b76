package io.kitepath.core.shard;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Parts of jobs that differ from their records, the longest waiting first. */
public final class DirtyParts {
    private final Set<Job.JobPart> withPlacements = new LinkedHashSet<>();
    private final Set<Job.JobPart> withOtherChanges = new LinkedHashSet<>();

    void clear() {
        withPlacements.clear();
        withOtherChanges.clear();
    }

    void addPlacement(Job.JobPart part) {
        withPlacements.add(part);
    }

    void addChange(Job.JobPart part) {
        withOtherChanges.add(part);
    }

    /** Parts with placings that their records lack; nothing of those may start before. */
    public List<Job.JobPart> withPlacements() {
        return List.copyOf(withPlacements);
    }

    /** Parts that differ otherwise. */
    public List<Job.JobPart> withOtherChanges() {
        return List.copyOf(withOtherChanges);
    }

    /** The part is being written. */
    public void remove(Job.JobPart part) {
        withPlacements.remove(part);
        withOtherChanges.remove(part);
    }

    /** Has the part written if it differs from its record. */
    public void enqueueIfDirty(Job.JobPart part) {
        if (part.hasUnwrittenPlacement()) {
            withPlacements.add(part);
        } else if (part.isDirty()) {
            withOtherChanges.add(part);
        }
    }
}
