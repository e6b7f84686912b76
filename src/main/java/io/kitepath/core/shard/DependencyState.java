package io.kitepath.core.shard;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * What {@link JobDependencies} maintains of a job: what its dependencies keep it waiting for, and
 * what is demanded of it by its dependents.
 */
final class DependencyState {
    /** Ids of the dependencies that are not known to be done. */
    final Set<String> unmet = new LinkedHashSet<>();

    /** Whether a dependency was cancelled, so that the job has to be cancelled too. */
    boolean hasCancelled;

    /** The number of unmet dependencies of which it is not known whether they are cancelled. */
    int unresolvedCount;

    /** What the job's dependents demand of it. */
    final StrongestDemand demandOfDependents = new StrongestDemand();

    /** What the job demands of its dependencies, as they know it; null before it is determined. */
    Demand ownDemand;

    /** Whether {@link #demandOfDependents} has to be determined anew from all dependents. */
    boolean isDemandOutdated;

    /** Whether the job is queued for an update of its demand. */
    boolean isUpdateQueued;
}
