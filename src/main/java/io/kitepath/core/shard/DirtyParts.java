package io.kitepath.core.shard;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Queue of job parts that differ from their records and are not being written, in the order of
 * their addition. Parts with placements are queued separately, as their tasks must not be launched
 * before the write is committed.
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

    /** A copy of the parts with placements that are not stored yet. */
    public List<JobPart> withPlacements() {
        return List.copyOf(withPlacements);
    }

    /** A copy of the parts with other changes; some of them may also have placements. */
    public List<JobPart> withOtherChanges() {
        return List.copyOf(withOtherChanges);
    }

    /** Removes a part that is being written or no longer exists. */
    public void remove(JobPart part) {
        withPlacements.remove(part);
        withOtherChanges.remove(part);
    }

    /** Adds the part if it still has changes to store, after a write of it ended. */
    public void enqueueIfDirty(JobPart part) {
        if (part.hasUnwrittenPlacement()) {
            addPlacement(part);
        } else if (part.isDirty()) {
            addChange(part);
        }
    }
}
