package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;

/**
 * The strongest demand among the dependents of a job: the highest priority and the earliest due
 * times. It counts how many dependents make it, so that one of several can be removed without
 * looking at the others.
 */
final class StrongestDemand {
    private static final double NOT_DUE = Double.POSITIVE_INFINITY;

    /** Null if there are no dependents. */
    private JobSpec.Priority priority;

    private int priorityCount;
    private double earliestMillis = NOT_DUE;
    private int earliestCount;
    private double latestMillis = NOT_DUE;
    private int latestCount;

    void clear() {
        priority = null;
        priorityCount = 0;
        earliestMillis = NOT_DUE;
        earliestCount = 0;
        latestMillis = NOT_DUE;
        latestCount = 0;
    }

    void add(Demand demand) {
        int difference = priority == null ? -1 : demand.priority().compareTo(priority);
        if (difference < 0) {
            priority = demand.priority();
            priorityCount = 1;
        } else if (difference == 0) {
            priorityCount++;
        }
        double earliest = demand.due().earliestMillis();
        if (earliest < earliestMillis) {
            earliestMillis = earliest;
            earliestCount = 1;
        } else if (earliest == earliestMillis) {
            earliestCount++;
        }
        double latest = demand.due().latestMillis();
        if (latest < latestMillis) {
            latestMillis = latest;
            latestCount = 1;
        } else if (latest == latestMillis) {
            latestCount++;
        }
    }

    /**
     * Removes a demand that was added.
     *
     * @return whether the strongest one is still known; if not, it has to be determined anew
     */
    boolean remove(Demand demand) {
        if (demand.priority() == priority) {
            priorityCount--;
        }
        if (demand.due().earliestMillis() == earliestMillis) {
            earliestCount--;
        }
        if (demand.due().latestMillis() == latestMillis) {
            latestCount--;
        }
        return priorityCount > 0
                && (earliestCount > 0 || earliestMillis == NOT_DUE)
                && (latestCount > 0 || latestMillis == NOT_DUE);
    }

    /** The higher one of the given priority and those of all dependents. */
    JobSpec.Priority priorityFrom(JobSpec.Priority ownPriority) {
        return priority != null && priority.compareTo(ownPriority) < 0 ? priority : ownPriority;
    }

    DueTimes due() {
        return new DueTimes(earliestMillis, latestMillis);
    }
}
