package io.kitepath.core.shard;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Set;
import java.util.function.Function;

/**
 * Tracks which waiting jobs may have to be cancelled without this being known here. A dependency is
 * unresolved if it has ended with an unknown outcome, or if it is open and has an unresolved
 * dependency itself. Each job counts its unresolved dependencies, so a change is propagated along
 * each edge once.
 */
final class UnresolvedDependencies {
    private final Function<String, Set<Job>> dependentsOf;

    /**
     * @param dependentsOf returns the open jobs that wait for the job with the given id
     */
    UnresolvedDependencies(Function<String, Set<Job>> dependentsOf) {
        this.dependentsOf = dependentsOf;
    }

    /** Handles a change of whether the job with the id is unresolved for its dependents. */
    void onChanged(String id, boolean isUnresolved) {
        adjust(dependentsOf.apply(id), isUnresolved ? 1 : -1);
    }

    /** Handles dependents for whom an unresolved dependency is resolved. */
    void onResolved(Collection<Job> dependents) {
        adjust(dependents, -1);
    }

    private void adjust(Collection<Job> dependents, int difference) {
        Deque<Job> changed = new ArrayDeque<>();
        addToCounts(dependents, difference, changed);
        while (!changed.isEmpty()) {
            addToCounts(dependentsOf.apply(changed.poll().spec.id()), difference, changed);
        }
    }

    private static void addToCounts(
            Collection<Job> dependents, int difference, Deque<Job> changed) {
        for (Job job : dependents) {
            boolean wasUnresolved = job.hasUnresolvedDependency();
            job.dependencyState.unresolvedCount += difference;
            if (wasUnresolved != job.hasUnresolvedDependency()) {
                changed.add(job);
            }
        }
    }
}
