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
import io.kitepath.core.shard.PartRecord;
import io.kitepath.core.state.PagedScan;
import io.kitepath.core.state.StoreKeys;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers for jobs that are open: their progress comes from the leader's memory, which costs the
 * store nothing, else from what this node heard before, else from the store's records.
 */
final class OpenJobAnswers {
    private static final Logger LOG = LoggerFactory.getLogger(OpenJobAnswers.class);

    /** Share of the store's request rate that all nodes together spend on reading records. */
    private static final double READ_RATE_SHARE = 0.05;

    private static final int MAX_PROGRESS_REMEMBERED = 3000;
    private static final int MAX_INDEPENDENT_REMEMBERED = 10_000;
    private static final int MAX_PAGE_ATTEMPTS = 2;

    /** A job's progress, and when it was heard, in seconds on the steady clock. */
    private record HeardProgress(JobProgress progress, double heardAt) {}

    private final Store store;
    private final Timers timers;
    private final ProgressSource progressSource;
    private final FinalStates finalStates;

    /**
     * Guards against jobs that are never answered since reading their records waits for what
     * comparisons leave: those take all there is as long as queries come faster than that.
     */
    private final TokenBucket readBudget;

    private final Cache<String, HeardProgress> lastHeard =
            Caffeine.newBuilder().maximumSize(MAX_PROGRESS_REMEMBERED).build();

    /** Jobs that wait for no others, or not any more. */
    private final Cache<String, Boolean> independent =
            Caffeine.newBuilder().maximumSize(MAX_INDEPENDENT_REMEMBERED).build();

    /** How long the progress of a job that may wait for others may be repeated. */
    private final double freshSeconds;

    OpenJobAnswers(
            ClusterSettings settings,
            Store store,
            Timers timers,
            ProgressSource progressSource,
            FinalStates finalStates) {
        this.store = store;
        this.timers = timers;
        this.progressSource = progressSource;
        this.finalStates = finalStates;
        int nodes = settings.peers().size() + 1;
        this.readBudget =
                new TokenBucket(
                        Math.max(
                                1, settings.store().requestsPerSecond() * READ_RATE_SHARE / nodes));
        this.freshSeconds = settings.workers().cancelDeadlineSeconds() / 2;
    }

    /** A job was accepted just now. */
    void onAccepted(String jobId, boolean isIndependent) {
        remember(new JobProgress(jobId, 0, 0, null), isIndependent);
    }

    /** Whether the job was accepted, as far as this node has heard. */
    boolean hasHeardOf(String jobId) {
        return lastHeard.getIfPresent(jobId) != null;
    }

    private void remember(JobProgress progress, boolean isIndependent) {
        lastHeard.put(progress.jobId(), new HeardProgress(progress, timers.nowSeconds()));
        // What runs, or ran, waits for nothing any more, and can only be cancelled by its own user.
        if (isIndependent || progress.runningTaskCount() > 0 || progress.doneTaskCount() > 0) {
            independent.put(progress.jobId(), true);
        }
    }

    /** Answers for those jobs of the batch. */
    void answer(QueryBatch batch, List<String> openJobs) {
        if (openJobs.isEmpty()) {
            return;
        }
        progressSource.progress(
                openJobs, reported -> onProgressReported(batch, openJobs, reported));
    }

    private void onProgressReported(
            QueryBatch batch, List<String> openJobs, List<JobProgress> reported) {
        Set<String> reportedIds = new HashSet<>();
        for (JobProgress progress : reported) {
            reportedIds.add(progress.jobId());
            remember(progress, false);
        }
        for (String jobId : openJobs) {
            HeardProgress heard = lastHeard.getIfPresent(jobId);
            if (heard != null && reportedIds.contains(jobId)) {
                batch.answer(jobId, unfinished(heard.progress));
            } else {
                answerUnreported(batch, jobId, heard, reported.isEmpty());
            }
        }
    }

    private static JobResponse unfinished(JobProgress progress) {
        return new JobResponse(Verdict.KNOWN, JobStatus.ofUnfinished(progress));
    }

    /**
     * The leader does not tell this job's progress. Guards against a user who is told for ever that
     * a job is pending which was cancelled because of a job that it depends on: only the leader
     * knows that until it has been written. So nothing old is told of a job that may still wait for
     * others.
     *
     * @param heard null if this node has not heard of the job's progress
     * @param isLeaderSilent whether the leader told nothing at all
     */
    private void answerUnreported(
            QueryBatch batch, String jobId, HeardProgress heard, boolean isLeaderSilent) {
        boolean isIndependent = independent.getIfPresent(jobId) != null;
        if (heard != null && (isIndependent || isFresh(heard))) {
            JobProgress progress = heard.progress;
            batch.answer(jobId, unfinished(isLeaderSilent ? markOld(progress) : progress));
        } else if (isIndependent) {
            answerFromParts(batch, jobId);
        } else if (readBudget.tryTake(1, timers.nowSeconds())) {
            readDependencies(batch, jobId, heard, isLeaderSilent);
        } else {
            batch.answer(jobId, JobResponse.LATER);
        }
    }

    private boolean isFresh(HeardProgress heard) {
        return timers.nowSeconds() - heard.heardAt < freshSeconds;
    }

    private JobProgress markOld(JobProgress progress) {
        return new JobProgress(
                progress.jobId(),
                progress.doneTaskCount(),
                progress.runningTaskCount(),
                progressSource.whyUnavailable() + "; the figures are from before");
    }

    private void readDependencies(
            QueryBatch batch, String jobId, HeardProgress heard, boolean isLeaderSilent) {
        store.get(
                StoreKeys.OPEN_JOBS + jobId,
                (outcome, entry) -> {
                    if (outcome == Outcome.REJECTED) {
                        finalStates.read(jobId, response -> batch.answer(jobId, response));
                    } else if (outcome != Outcome.OK || mayHaveDependencies(jobId, entry.value())) {
                        batch.answer(jobId, JobResponse.LATER);
                    } else {
                        independent.put(jobId, true);
                        answerUnreported(batch, jobId, heard, isLeaderSilent);
                    }
                });
    }

    private static boolean mayHaveDependencies(String jobId, Object record) {
        try {
            return !JobRecord.fromRecord(jobId, record).dependencies().isEmpty();
        } catch (InvalidInputException | IllegalArgumentException e) {
            return true; // Not to be told from one that has.
        }
    }

    /** Neither the leader nor this node's memory has the progress: the job's parts are read. */
    private void answerFromParts(QueryBatch batch, String jobId) {
        if (!readBudget.tryTake(1, timers.nowSeconds())) {
            batch.answer(jobId, JobResponse.LATER);
            return;
        }
        PagedScan.read(
                store,
                timers,
                StoreKeys.JOB_PARTS + jobId + "/",
                MAX_PAGE_ATTEMPTS,
                parts -> {
                    if (parts.outcome() != Outcome.OK) {
                        batch.answer(jobId, JobResponse.LATER);
                        return;
                    }
                    List<Object> records = parts.entries().stream().map(Entry::value).toList();
                    batch.answer(jobId, progressOf(jobId, records));
                });
    }

    private JobResponse progressOf(String jobId, List<Object> partRecords) {
        try {
            JobProgress progress = PartRecord.progress(jobId, partRecords);
            remember(progress, true);
            return unfinished(progress);
        } catch (InvalidInputException unreadable) {
            LOG.error("a part of job {} is unreadable: {}", jobId, unreadable.getMessage());
            return JobResponse.LATER;
        }
    }
}
