package io.kitepath.core.service;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.QueryOutcomes.UnansweredReason;
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
 * Serves users' status queries for jobs that this node does not know to have ended. Guards against
 * queries that use up the store's request rate and starve leases, submissions and a new leader that
 * loads the state: all queries that arrive within a short interval are resolved by one request,
 * which compares many keys and writes nothing. The request is sent after the last of its queries
 * has arrived, so no response is older than one that a user received before.
 */
public final class JobStatusQueries {
    /** Share of the store's request rate that all nodes together spend on comparisons. */
    private static final double RATE_SHARE = 0.15;

    /** How long the first query waits for others to join its batch. */
    private static final double BATCH_DELAY_SECONDS = 0.01;

    private static final int MAX_TRIES = 3;

    /**
     * The back-off after the first failed try; each further back-off is longer by the same amount.
     */
    private static final double RETRY_STEP_SECONDS = 0.1;

    /** A source of the progress of open jobs, such as the leader. */
    public interface ProgressSource {
        /**
         * Responds with the progress of those jobs that are known to the source; with an empty list
         * on failure.
         */
        void requestProgress(List<String> jobs, Consumer<List<JobProgress>> onResponse);

        /**
         * Returns why no progress is available, as a text for users, as far as the reason is known.
         */
        String describeUnavailability();
    }

    private final Store store;
    private final Timers timers;
    private final FinalStates finalStates;
    private final OpenJobResponder openJobResponder;
    private final TokenBucket requestBudget;
    private int maxJobsPerComparison;
    private final int maxWaitingCallers;

    /** Callers that wait for the next comparisons, by job. */
    private final Map<String, List<Consumer<JobResponse>>> waitingCallersByJob =
            new LinkedHashMap<>();

    private int waitingCallerCount;
    private boolean isBatchScheduled;

    JobStatusQueries(
            ClusterSettings settings,
            Store store,
            Timers timers,
            ProgressSource progressSource,
            FinalStates finalStates) {
        this.store = store;
        this.timers = timers;
        this.finalStates = finalStates;
        this.openJobResponder =
                new OpenJobResponder(settings, store, timers, progressSource, finalStates);
        int nodeCount = settings.peers().size() + 1;
        this.requestBudget =
                new TokenBucket(settings.store().requestsPerSecond() * RATE_SHARE / nodeCount);
        // A transaction may hold four conditions for each change that it may hold; a job needs two.
        this.maxJobsPerComparison = 2 * settings.store().maxTransactionOperations();
        this.maxWaitingCallers = settings.limits().maxSockets();
    }

    /**
     * Called when a job is accepted at this node.
     *
     * @param isIndependent whether the job has no dependencies
     * @param requestedAtSeconds when the store was asked to accept it, on the steady clock
     */
    void onAccepted(String jobId, boolean isIndependent, double requestedAtSeconds) {
        openJobResponder.onAccepted(jobId, isIndependent, requestedAtSeconds);
    }

    /** Returns whether this node knows that the job was accepted. */
    boolean isKnownAccepted(String jobId) {
        return openJobResponder.isKnownAccepted(jobId);
    }

    /**
     * Responds with the job's state, or with LATER if too many callers wait already or the store is
     * unavailable.
     */
    void query(String jobId, Consumer<JobResponse> onResponse) {
        if (waitingCallerCount >= maxWaitingCallers) {
            onResponse.accept(JobResponse.later(UnansweredReason.QUEUE_FULL));
            return;
        }
        waitingCallerCount++;
        waitingCallersByJob.computeIfAbsent(jobId, key -> new ArrayList<>()).add(onResponse);
        scheduleNextBatch();
    }

    private void scheduleNextBatch() {
        if (isBatchScheduled || waitingCallersByJob.isEmpty()) {
            return;
        }
        isBatchScheduled = true;
        timers.schedule(
                Math.max(BATCH_DELAY_SECONDS, requestBudget.secondsUntil(1, timers.nowSeconds())),
                () -> {
                    isBatchScheduled = false;
                    if (requestBudget.tryTake(1, timers.nowSeconds())) {
                        sendNextBatch();
                    }
                    scheduleNextBatch();
                });
    }

    private void sendNextBatch() {
        QueryBatch batch = new QueryBatch();
        Iterator<Map.Entry<String, List<Consumer<JobResponse>>>> remaining =
                waitingCallersByJob.entrySet().iterator();
        while (remaining.hasNext() && batch.size() < maxJobsPerComparison) {
            Map.Entry<String, List<Consumer<JobResponse>>> callers = remaining.next();
            remaining.remove();
            waitingCallerCount -= callers.getValue().size();
            batch.addCallers(callers.getKey(), callers.getValue());
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
                        case OK -> batch.respondToAll(JobResponse.NOT_FOUND);
                        case REJECTED -> dispatch(batch, new HashSet<>(result.failedKeys()));
                        case INVALID -> {
                            // The store now accepts fewer conditions than the settings say.
                            maxJobsPerComparison = Math.max(1, batch.size() / 2);
                            batch.respondToAll(
                                    JobResponse.later(UnansweredReason.COMPARISON_REFUSED));
                        }
                        default -> retry(comparison, batch, triesLeft - 1);
                    }
                });
    }

    private void retry(Transaction comparison, QueryBatch batch, int triesLeft) {
        if (triesLeft == 0) {
            batch.respondToAll(JobResponse.later(UnansweredReason.STORE_FAILED));
            return;
        }
        timers.schedule(
                RETRY_STEP_SECONDS * (MAX_TRIES - triesLeft),
                () -> send(comparison, batch, triesLeft));
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
        openJobResponder.respond(batch, openJobs);
    }

    private void readFinalState(QueryBatch batch, String jobId) {
        finalStates.read(jobId, response -> batch.respond(jobId, response));
    }

    /**
     * Handles a job that the comparison did not find: its two records are read in turn before it is
     * reported as never accepted.
     */
    private void confirmAbsent(QueryBatch batch, String jobId) {
        store.get(
                StoreKeys.OPEN_JOBS + jobId,
                (outcome, entry) -> {
                    switch (outcome) {
                        case OK -> openJobResponder.respond(batch, List.of(jobId));
                        // A job moves from open to ended and never back, so a job without either
                        // record was never accepted.
                        case REJECTED -> readFinalState(batch, jobId);
                        default ->
                                batch.respond(
                                        jobId, JobResponse.later(UnansweredReason.STORE_FAILED));
                    }
                });
    }
}
