package io.kitepath.core.service;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Users' queries for jobs that this node does not know to have ended. Guards against queries that
 * use up the store's request rate and starve leases, submissions and a new leader's reading of the
 * state: all that come within a moment are settled by one request, which compares many keys and
 * writes nothing. The request is sent after the last of its queries came, so no answer is older
 * than one that a user got before.
 */
public final class JobStatusQueries {
    /** Share of the store's request rate that all nodes together spend on comparisons. */
    private static final double RATE_SHARE = 0.15;

    /** How long the first query waits for others. */
    private static final double GATHER_SECONDS = 0.01;

    private static final int MAX_TRIES = 3;

    /** After the first failed try; each further pause is longer by as much. */
    private static final double RETRY_SECONDS = 0.1;

    /** Knows the progress of open jobs, as the leader does. */
    public interface ProgressSource {
        /** Answers the progress of those of the jobs that it knows; an empty list on failure. */
        void progress(List<String> jobs, Consumer<List<JobProgress>> answer);

        /** Why nobody can be asked, in words for users, as far as known. */
        String whyUnavailable();
    }

    private final Store store;
    private final Timers timers;
    private final FinalStates finalStates;
    private final OpenJobAnswers openJobAnswers;
    private final TokenBucket requestBudget;
    private int maxJobsPerComparison;
    private final int maxWaiting;

    /** Callers of the next comparisons, by job. */
    private final Map<String, List<Consumer<JobResponse>>> waiting = new LinkedHashMap<>();

    private int waitingCount;
    private boolean isGathering;

    JobStatusQueries(
            ClusterSettings settings,
            Store store,
            Timers timers,
            ProgressSource progressSource,
            FinalStates finalStates) {
        this.store = store;
        this.timers = timers;
        this.finalStates = finalStates;
        this.openJobAnswers =
                new OpenJobAnswers(settings, store, timers, progressSource, finalStates);
        int nodes = settings.peers().size() + 1;
        this.requestBudget =
                new TokenBucket(settings.store().requestsPerSecond() * RATE_SHARE / nodes);
        // A transaction takes four conditions for each change that it may hold; a job needs two.
        this.maxJobsPerComparison = 2 * settings.store().maxTransactionOperations();
        this.maxWaiting = settings.limits().maxSockets();
    }

    /** A job was accepted here just now; {@code isIndependent}: it waits for no others. */
    void onAccepted(String jobId, boolean isIndependent) {
        openJobAnswers.onAccepted(jobId, isIndependent);
    }

    /** Whether the job was accepted, as far as this node has heard. */
    boolean hasHeardOf(String jobId) {
        return openJobAnswers.hasHeardOf(jobId);
    }

    /** Answers the job's state; LATER if too many wait already or the store can't be asked. */
    void query(String jobId, Consumer<JobResponse> answer) {
        if (waitingCount >= maxWaiting) {
            answer.accept(JobResponse.LATER);
            return;
        }
        waitingCount++;
        waiting.computeIfAbsent(jobId, key -> new ArrayList<>()).add(answer);
        gather();
    }

    private void gather() {
        if (isGathering || waiting.isEmpty()) {
            return;
        }
        isGathering = true;
        timers.schedule(
                Math.max(GATHER_SECONDS, requestBudget.secondsUntil(1, timers.nowSeconds())),
                () -> {
                    isGathering = false;
                    if (requestBudget.tryTake(1, timers.nowSeconds())) {
                        sendNextBatch();
                    }
                    gather();
                });
    }

    private void sendNextBatch() {
        QueryBatch batch = new QueryBatch();
        Iterator<Map.Entry<String, List<Consumer<JobResponse>>>> remaining =
                waiting.entrySet().iterator();
        while (remaining.hasNext() && batch.size() < maxJobsPerComparison) {
            Map.Entry<String, List<Consumer<JobResponse>>> callers = remaining.next();
            remaining.remove();
            waitingCount -= callers.getValue().size();
            batch.add(callers.getKey(), callers.getValue());
        }
        if (batch.size() > 0) {
            send(batch.comparison(), batch, MAX_TRIES);
        }
    }

    private void send(Transaction comparison, QueryBatch batch, int triesLeft) {
        store.commit(
                comparison,
                result -> {
                    switch (result.outcome()) {
                        // None of the keys exists.
                        case OK -> batch.answerAll(JobResponse.NOT_FOUND);
                        case REJECTED -> dispatch(batch, new HashSet<>(result.failedKeys()));
                        case INVALID -> {
                            // The store takes fewer conditions by now than the settings say.
                            maxJobsPerComparison = Math.max(1, batch.size() / 2);
                            batch.answerAll(JobResponse.LATER);
                        }
                        default -> retry(comparison, batch, triesLeft - 1);
                    }
                });
    }

    private void retry(Transaction comparison, QueryBatch batch, int triesLeft) {
        if (triesLeft == 0) {
            batch.answerAll(JobResponse.LATER);
            return;
        }
        timers.schedule(
                RETRY_SECONDS * (MAX_TRIES - triesLeft), () -> send(comparison, batch, triesLeft));
    }

    private void dispatch(QueryBatch batch, Set<String> existingKeys) {
        List<String> openJobs = new ArrayList<>();
        for (String jobId : batch.jobIds()) {
            if (existingKeys.contains(StoreKeys.OPEN_JOBS + jobId)) {
                openJobs.add(jobId);
            } else if (existingKeys.contains(StoreKeys.ENDED_JOBS + jobId)) {
                readFinalState(batch, jobId);
            } else {
                confirmAbsent(batch, jobId);
            }
        }
        openJobAnswers.answer(batch, openJobs);
    }

    private void readFinalState(QueryBatch batch, String jobId) {
        finalStates.read(jobId, response -> batch.answer(jobId, response));
    }

    /**
     * The comparison did not find the job; that it was never accepted is only said after its two
     * records have been read in turn.
     */
    private void confirmAbsent(QueryBatch batch, String jobId) {
        store.get(
                StoreKeys.OPEN_JOBS + jobId,
                (outcome, entry) -> {
                    switch (outcome) {
                        case OK -> openJobAnswers.answer(batch, List.of(jobId));
                        // A job moves from open to ended and never back, so what is in neither
                        // place was never accepted.
                        case REJECTED -> readFinalState(batch, jobId);
                        default -> batch.answer(jobId, JobResponse.LATER);
                    }
                });
    }
}
