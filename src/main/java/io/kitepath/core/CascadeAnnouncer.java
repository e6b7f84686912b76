package io.kitepath.core;

import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Announces the jobs that the leader still has to cancel because a dependency was cancelled. Guards
 * against users who get no answer about them because the store takes longer for all their records
 * than {@code cancel_s}.
 *
 * <p>Such a job can only be cancelled: the record of the dependency is final, and the job starts
 * only after that one is done. It may be called cancelled before its own record says so once no
 * node calls it pending any more, which is {@code pendingReportLifetimeSeconds} after the leader
 * has learned of the cancellation.
 */
final class CascadeAnnouncer {
    /** At most this many jobs at a time, a fraction of what a message between nodes may hold. */
    private static final int MAX_JOBS_PER_ANNOUNCEMENT = 400;

    private final NodeComponents node;

    /**
     * Since when each job is known here to be cancelled, in seconds on the steady clock; those that
     * were announced last come last.
     */
    private final Map<String, Double> knownSinceSeconds = new LinkedHashMap<>();

    CascadeAnnouncer(NodeComponents node) {
        this.node = node;
    }

    /** Announces the next jobs. They are announced again in turn, as messages may be lost. */
    void announce() {
        if (!node.isServingShard() || node.shard.jobDependencies().jobsToCancelCount() == 0) {
            knownSinceSeconds.clear();
            return;
        }
        updateJobs();
        List<String> dueJobs = takeDueJobs();
        if (!dueJobs.isEmpty()) {
            node.announceImpliedCancellations(dueJobs);
        }
    }

    private void updateJobs() {
        Set<String> jobIds = new HashSet<>();
        for (Job job : node.shard.jobDependencies().jobsToCancel()) {
            jobIds.add(job.spec.id());
            knownSinceSeconds.putIfAbsent(job.spec.id(), node.timers.nowSeconds());
        }
        knownSinceSeconds.keySet().retainAll(jobIds);
    }

    private List<String> takeDueJobs() {
        double latestSeconds =
                node.timers.nowSeconds() - node.settings.workers().pendingReportLifetimeSeconds();
        List<String> dueJobs = new ArrayList<>();
        for (Map.Entry<String, Double> job : knownSinceSeconds.entrySet()) {
            if (job.getValue() <= latestSeconds && dueJobs.size() < MAX_JOBS_PER_ANNOUNCEMENT) {
                dueJobs.add(job.getKey());
            }
        }
        for (String jobId : dueJobs) {
            knownSinceSeconds.put(jobId, knownSinceSeconds.remove(jobId));
        }
        return dueJobs;
    }
}
