package io.kitepath.core.shard;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Parts of jobs that differ from their records and are not being written, the longest waiting
 * first. Parts with placements are kept apart, as their tasks can't be launched before the write.
 */
public final class DirtyParts {
    private final Set<JobPart> withPlacements = new LinkedHashSet<>();
    private final Set<JobPart> withOtherChanges = new LinkedHashSet<>();

    void clear() {
        withPlacements.clear();
        withOtherChanges.clear();
    }

    void addPlacement(JobPart part) {
        withPlacements.add(part);
    }

    void addChange(JobPart part) {
        withOtherChanges.add(part);
    }

    /** A copy of the parts with placements that their records lack. */
    public List<JobPart> withPlacements() {
        return List.copyOf(withPlacements);
    }

    /** A copy of the parts that differ otherwise; some may have placements too. */
    public List<JobPart> withOtherChanges() {
        return List.copyOf(withOtherChanges);
    }

    /** Removes a part that is being written, or is no more. */
    public void remove(JobPart part) {
        withPlacements.remove(part);
        withOtherChanges.remove(part);
    }

    /** Adds the part where it belongs, after a write of it has succeeded or failed. */
    public void enqueueIfDirty(JobPart part) {
        if (part.hasUnwrittenPlacement()) {
            addPlacement(part);
        } else if (part.isDirty()) {
            addChange(part);
        }
    }
}
