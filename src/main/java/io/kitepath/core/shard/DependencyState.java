package io.kitepath.core.shard;

import java.util.LinkedHashSet;
import java.util.Set;

/** What a job's dependencies keep it waiting for; maintained by {@link JobDependencies}. */
final class DependencyState {
    /** Ids of the dependencies that are not known to be done. */
    final Set<String> unmet = new LinkedHashSet<>();

    /** Whether a dependency was cancelled, so that the job has to be cancelled too. */
    boolean hasCancelled;

    /** The number of unmet dependencies of which it is not known whether they are cancelled. */
    int unresolvedCount;
}
