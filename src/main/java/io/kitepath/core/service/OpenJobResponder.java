package io.kitepath.core.service;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.service.JobStatusQueries.ProgressSource;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.service.QueryOutcomes.UnansweredReason;
import io.kitepath.core.shard.PartRecord;
import io.kitepath.core.state.PagedScan;
import io.kitepath.core.state.StoreKeys;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Responds to status queries for open jobs. Their progress comes from the leader's memory, which
 * takes no request to the store, else from the progress that this node received before, else from
 * the store's records.
 */
final class OpenJobResponder {
    private static final Logger LOG = LoggerFactory.getLogger(OpenJobResponder.class);

    /** Share of the store's request rate that all nodes together spend on reading records. */
    private static final double READ_RATE_SHARE = 0.05;

    private static final int MAX_PROGRESS_REMEMBERED = 3000;
    private static final int MAX_INDEPENDENT_REMEMBERED = 10_000;
    private static final int MAX_PAGE_ATTEMPTS = 2;

    /**
     * A job's progress, and when it was requested from the leader, in seconds on the steady clock:
     * the leader's report is at most {@code dependencyStalenessSeconds} older than that.
     */
    private record ReceivedProgress(JobProgress progress, double requestedAtSeconds) {}

    private final Store store;
    private final Timers timers;
    private final ProgressSource progressSource;
    private final FinalStates finalStates;

    /**
     * Separate from the budget of comparisons. Guards against jobs whose queries never get a
     * response because reading their records has to wait for request rate that comparisons leave
     * over: comparisons use all of it as long as queries arrive faster than it allows.
     */
    private final TokenBucket readBudget;

    private final Cache<String, ReceivedProgress> lastReceived =
            Caffeine.newBuilder().maximumSize(MAX_PROGRESS_REMEMBERED).build();

    /** Jobs that have no dependencies, or whose dependencies are done. */
    private final Cache<String, Boolean> independentJobs =
            Caffeine.newBuilder().maximumSize(MAX_INDEPENDENT_REMEMBERED).build();

    /** How long the received progress of a job that may wait for others may be repeated. */
    private final double maxProgressAgeSeconds;

    OpenJobResponder(
            ClusterSettings settings,
            Store store,
            Timers timers,
            ProgressSource progressSource,
            FinalStates finalStates) {
        this.store = store;
        this.timers = timers;
        this.progressSource = progressSource;
        this.finalStates = finalStates;
        int nodeCount = settings.peers().size() + 1;
        this.readBudget =
                new TokenBucket(
                        Math.max(
                                1,
                                settings.store().requestsPerSecond()
                                        * READ_RATE_SHARE
                                        / nodeCount));
        this.maxProgressAgeSeconds = settings.workers().progressRepetitionSeconds();
    }

    /**
     * Called when a job is accepted at this node.
     *
     * @param requestedAtSeconds when the store was asked to accept it, on the steady clock
     */
    void onAccepted(String jobId, boolean isIndependent, double requestedAtSeconds) {
        remember(new JobProgress(jobId, 0, 0, null), isIndependent, requestedAtSeconds);
    }

    /** Returns whether this node knows that the job was accepted. */
    boolean isKnownAccepted(String jobId) {
        return lastReceived.getIfPresent(jobId) != null;
    }

    private void remember(JobProgress progress, boolean isIndependent, double requestedAtSeconds) {
        lastReceived.put(progress.jobId(), new ReceivedProgress(progress, requestedAtSeconds));
        // A job that has running or completed tasks no longer waits for others, and can only be
        // cancelled by its own user.
        if (isIndependent || progress.runningTaskCount() > 0 || progress.doneTaskCount() > 0) {
            independentJobs.put(progress.jobId(), true);
        }
    }

    /** Responds to the callers of the given open jobs of the batch. */
    void respond(QueryBatch batch, List<String> openJobs) {
        if (openJobs.isEmpty()) {
            return;
        }
        double requestedAtSeconds = timers.nowSeconds();
        progressSource.requestProgress(
                openJobs,
                reported -> onProgressReported(batch, openJobs, reported, requestedAtSeconds));
    }

    private void onProgressReported(
            QueryBatch batch,
            List<String> openJobs,
            List<JobProgress> reported,
            double requestedAtSeconds) {
        Set<String> reportedIds = new HashSet<>();
        for (JobProgress progress : reported) {
            reportedIds.add(progress.jobId());
            remember(progress, false, requestedAtSeconds);
        }
        for (String jobId : openJobs) {
            ReceivedProgress received = lastReceived.getIfPresent(jobId);
            if (received != null && reportedIds.contains(jobId) && isRecent(received)) {
                batch.respond(jobId, unfinishedResponse(received.progress));
            } else {
                respondUnreported(batch, jobId, received, reported.isEmpty());
            }
        }
    }

    private static JobResponse unfinishedResponse(JobProgress progress) {
        return new JobResponse(Verdict.KNOWN, JobStatus.ofUnfinished(progress));
    }

    /**
     * Responds for a job whose progress the leader did not report. Guards against a user who
     * permanently receives the state pending for a job that was cancelled because of a job that it
     * depends on: only the leader knows that until it is committed. So no old progress is returned
     * for a job that may still wait for others.
     *
     * @param received the progress that this node received last; null if there is none
     * @param isLeaderReportEmpty whether the leader reported no progress of any job
     */
    private void respondUnreported(
            QueryBatch batch,
            String jobId,
            ReceivedProgress received,
            boolean isLeaderReportEmpty) {
        boolean isIndependent = independentJobs.getIfPresent(jobId) != null;
        if (received != null && (isIndependent || isRecent(received))) {
            JobProgress progress = received.progress;
            batch.respond(
                    jobId,
                    unfinishedResponse(isLeaderReportEmpty ? markStale(progress) : progress));
        } else if (isIndependent) {
            respondFromParts(batch, jobId);
        } else if (readBudget.tryTake(1, timers.nowSeconds())) {
            readDependencies(batch, jobId, received, isLeaderReportEmpty);
        } else {
            batch.respond(jobId, JobResponse.later(UnansweredReason.RATE_USED_UP));
        }
    }

    private boolean isRecent(ReceivedProgress received) {
        return timers.nowSeconds() - received.requestedAtSeconds < maxProgressAgeSeconds;
    }

    private JobProgress markStale(JobProgress progress) {
        return new JobProgress(
                progress.jobId(),
                progress.doneTaskCount(),
                progress.runningTaskCount(),
                progressSource.describeUnavailability() + "; the figures are from before");
    }

    private void readDependencies(
            QueryBatch batch,
            String jobId,
            ReceivedProgress received,
            boolean isLeaderReportEmpty) {
        store.get(
                StoreKeys.OPEN_JOBS + jobId,
                (outcome, entry) -> {
                    if (outcome == Outcome.REJECTED) {
                        finalStates.read(jobId, response -> batch.respond(jobId, response));
                    } else if (outcome != Outcome.OK) {
                        batch.respond(jobId, JobResponse.later(UnansweredReason.STORE_FAILED));
                    } else if (mayHaveDependencies(jobId, entry.value())) {
                        batch.respond(jobId, JobResponse.later(UnansweredReason.LEADER_UNKNOWN));
                    } else {
                        independentJobs.put(jobId, true);
                        respondUnreported(batch, jobId, received, isLeaderReportEmpty);
                    }
                });
    }

    private static boolean mayHaveDependencies(String jobId, Object record) {
        try {
            return !JobRecord.fromRecord(jobId, record).dependencies().isEmpty();
        } catch (InvalidInputException | IllegalArgumentException e) {
            return true; // An unreadable record may have dependencies.
        }
    }

    /** Reads the job's parts, as neither the leader nor this node's memory has the progress. */
    private void respondFromParts(QueryBatch batch, String jobId) {
        if (!readBudget.tryTake(1, timers.nowSeconds())) {
            batch.respond(jobId, JobResponse.later(UnansweredReason.RATE_USED_UP));
            return;
        }
        PagedScan.read(
                store,
                timers,
                StoreKeys.JOB_PARTS + jobId + "/",
                MAX_PAGE_ATTEMPTS,
                parts -> {
                    if (parts.outcome() != Outcome.OK) {
                        batch.respond(jobId, JobResponse.later(UnansweredReason.STORE_FAILED));
                        return;
                    }
                    List<Object> records = parts.entries().stream().map(Entry::value).toList();
                    batch.respond(jobId, responseFromParts(jobId, records));
                });
    }

    private JobResponse responseFromParts(String jobId, List<Object> partRecords) {
        try {
            JobProgress progress = PartRecord.progress(jobId, partRecords);
            remember(progress, true, timers.nowSeconds());
            return unfinishedResponse(progress);
        } catch (InvalidInputException unreadable) {
            LOG.error("job part unreadable: job={} reason={}", jobId, unreadable.getMessage());
            return JobResponse.later(UnansweredReason.RECORD_UNREADABLE);
        }
    }
}
