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
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.shard.PartRecord;
import io.kitepath.core.state.PagedScan;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Users' questions about jobs that this node does not know to be over. Guards against questions
 * that use up the state service's request rate and starve leases, submissions and a new leader's
 * reading of it: all that come within a moment are settled by one request, which compares many keys
 * and writes nothing. The request is sent after the last of its questions came, so no answer is
 * older than one that a user got before. How far a job is comes from the holder's memory, which
 * costs the state service nothing.
 */
public final class JobStatusQueries {
    /** Of the state service's requests, what all nodes together spend on comparing. */
    private static final double RATE_SHARE = 0.15;

    /** And on reading how far jobs are that the holder says nothing of. */
    private static final double READ_SHARE = 0.05;

    /** How long the first question waits for others. */
    private static final double GATHER_SECONDS = 0.01;

    private static final int MAX_TRIES = 3;

    /** Who knows how far jobs are; answers an empty list if nobody can be asked. */
    public interface ProgressSource {
        void progress(List<String> jobs, Consumer<List<JobProgress>> answer);

        /** Why nobody can be asked, as far as known. */
        String whyUnavailable();
    }

    private final Store store;
    private final Timers timers;
    private final ProgressSource progressSource;

    /** Reads how a job that is over ended, which happens once on each node. */
    private final BiConsumer<String, Consumer<JobResponse>> finalStateReader;

    private final TokenBucket requestBudget;

    /**
     * Guards against jobs that are never answered as their reading waits for what comparing leaves:
     * it takes all there is as long as questions come faster than that.
     */
    private final TokenBucket readBudget;

    /** Jobs in one comparison. */
    private int maxJobsPerComparison;

    private final int maxWaiting;
    private final Map<String, List<Consumer<JobResponse>>> waiting = new LinkedHashMap<>();
    private int waitingCount;
    private boolean isGathering;
    private final Cache<String, HeardProgress> lastHeard =
            Caffeine.newBuilder().maximumSize(3000).build();

    /** Jobs that wait for no others, or not any more. */
    private final Cache<String, Boolean> withoutDependencies =
            Caffeine.newBuilder().maximumSize(10_000).build();

    /** For how long it may be said of one that may wait for others how far it was. */
    private final double freshSeconds;

    /** How far a job was, and when that was said. */
    private record HeardProgress(JobProgress progress, double heardAt) {}

    JobStatusQueries(
            ClusterSettings settings,
            Store store,
            Timers timers,
            ProgressSource holder,
            BiConsumer<String, Consumer<JobResponse>> over) {
        this.store = store;
        this.timers = timers;
        this.progressSource = holder;
        this.finalStateReader = over;
        int nodes = settings.siblings().size() + 1;
        this.requestBudget =
                new TokenBucket(settings.store().requestsPerSecond() * RATE_SHARE / nodes);
        this.readBudget =
                new TokenBucket(
                        Math.max(1, settings.store().requestsPerSecond() * READ_SHARE / nodes));
        // A transaction takes four conditions for each change that it may hold, and a job needs
        // two.
        this.maxJobsPerComparison = 2 * settings.store().maxTransactionOperations();
        this.maxWaiting = settings.limits().maxSockets();
        this.freshSeconds = settings.workers().cancelDeadlineSeconds() / 2;
    }

    /** A job that was accepted here just now; {@code free}: it waits for no others. */
    void onAccepted(String id, boolean free) {
        remember(new JobProgress(id, 0, 0, null), free);
    }

    private void remember(JobProgress progress, boolean isFree) {
        lastHeard.put(progress.jobId(), new HeardProgress(progress, timers.nowSeconds()));
        // What runs, or ran, waits for nothing any more, and can only be cancelled by its own user.
        if (isFree || progress.runningTaskCount() > 0 || progress.doneTaskCount() > 0) {
            withoutDependencies.put(progress.jobId(), true);
        }
    }

    /** Whether the job was accepted, as far as this node has heard. */
    boolean hasHeardOf(String id) {
        return lastHeard.getIfPresent(id) != null;
    }

    void query(String id, Consumer<JobResponse> answer) {
        if (waitingCount >= maxWaiting) {
            answer.accept(JobResponse.LATER);
            return;
        }
        waitingCount++;
        waiting.computeIfAbsent(id, key -> new ArrayList<>()).add(answer);
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
                        send();
                    }
                    gather();
                });
    }

    private void send() {
        Map<String, List<Consumer<JobResponse>>> batch = new LinkedHashMap<>();
        Transaction compare = new Transaction();
        Iterator<Map.Entry<String, List<Consumer<JobResponse>>>> all =
                waiting.entrySet().iterator();
        while (all.hasNext() && batch.size() < maxJobsPerComparison) {
            Map.Entry<String, List<Consumer<JobResponse>>> e = all.next();
            all.remove();
            waitingCount -= e.getValue().size();
            batch.put(e.getKey(), e.getValue());
            compare.requireRevision(StoreKeys.OPEN_JOBS + e.getKey(), 0)
                    .requireRevision(StoreKeys.ENDED_JOBS + e.getKey(), 0);
        }
        if (!batch.isEmpty()) {
            send(compare, batch, MAX_TRIES);
        }
    }

    private void send(
            Transaction compare, Map<String, List<Consumer<JobResponse>>> batch, int tries) {
        store.commit(
                compare,
                result -> {
                    switch (result.outcome()) {
                        // None of the keys exists.
                        case OK ->
                                batch.keySet()
                                        .forEach(id -> answerAll(batch, id, JobResponse.NOT_FOUND));
                        case REJECTED -> dispatch(batch, new HashSet<>(result.failedKeys()));
                        case INVALID -> {
                            // The store takes fewer conditions by now than anybody said.
                            maxJobsPerComparison = Math.max(1, batch.size() / 2);
                            batch.keySet().forEach(id -> answerAll(batch, id, JobResponse.LATER));
                        }
                        default -> {
                            if (tries > 1) {
                                timers.schedule(
                                        0.1 * (MAX_TRIES + 1 - tries),
                                        () -> send(compare, batch, tries - 1));
                            } else {
                                batch.keySet()
                                        .forEach(id -> answerAll(batch, id, JobResponse.LATER));
                            }
                        }
                    }
                });
    }

    private static void answerAll(
            Map<String, List<Consumer<JobResponse>>> batch, String id, JobResponse response) {
        batch.get(id).forEach(x -> x.accept(response));
    }

    /** {@code there}: the keys that exist. */
    private void dispatch(Map<String, List<Consumer<JobResponse>>> batch, Set<String> there) {
        List<String> open = new ArrayList<>();
        for (String id : batch.keySet()) {
            if (there.contains(StoreKeys.OPEN_JOBS + id)) {
                open.add(id);
            } else if (there.contains(StoreKeys.ENDED_JOBS + id)) {
                finalStateReader.accept(id, response -> answerAll(batch, id, response));
            } else {
                confirmAbsent(batch, id);
            }
        }
        askProgress(batch, open);
    }

    /**
     * A job that the comparison did not find; that it was never accepted is only said after one
     * more look.
     */
    private void confirmAbsent(Map<String, List<Consumer<JobResponse>>> batch, String id) {
        store.get(
                StoreKeys.OPEN_JOBS + id,
                (outcome, entry) -> {
                    switch (outcome) {
                        case OK -> askProgress(batch, List.of(id));
                        // A job moves from open to over and never back, so what is in neither was
                        // never accepted.
                        case REJECTED ->
                                finalStateReader.accept(
                                        id, response -> answerAll(batch, id, response));
                        default -> answerAll(batch, id, JobResponse.LATER);
                    }
                });
    }

    private void askProgress(Map<String, List<Consumer<JobResponse>>> batch, List<String> open) {
        if (open.isEmpty()) {
            return;
        }
        progressSource.progress(
                open,
                known -> {
                    Set<String> told = new HashSet<>();
                    known.forEach(
                            progress -> {
                                told.add(progress.jobId());
                                remember(progress, false);
                            });
                    for (String id : open) {
                        HeardProgress h = lastHeard.getIfPresent(id);
                        if (h != null && told.contains(id)) {
                            answerAll(batch, id, unfinished(h.progress));
                        } else {
                            answerFromMemory(batch, id, h, known.isEmpty());
                        }
                    }
                });
    }

    private static JobResponse unfinished(JobProgress progress) {
        return new JobResponse(Verdict.KNOWN, JobStatus.ofUnfinished(progress));
    }

    /**
     * The holder does not say how far it is. Guards against a user who is told for ever that a job
     * is pending which is cancelled, because one before it was: that is only known to the holder
     * until it has been written. So nothing old is said of one that may still wait for others.
     */
    private void answerFromMemory(
            Map<String, List<Consumer<JobResponse>>> batch,
            String id,
            HeardProgress h,
            boolean silent) {
        if (h != null
                && (withoutDependencies.getIfPresent(id) != null
                        || timers.nowSeconds() - h.heardAt < freshSeconds)) {
            JobProgress progress = h.progress;
            answerAll(
                    batch,
                    id,
                    unfinished(
                            silent
                                    ? new JobProgress(
                                            id,
                                            progress.doneTaskCount(),
                                            progress.runningTaskCount(),
                                            progressSource.whyUnavailable()
                                                    + "; the figures are from before")
                                    : progress));
        } else if (withoutDependencies.getIfPresent(id) != null) {
            answerFromRecords(batch, id);
        } else if (!readBudget.tryTake(1, timers.nowSeconds())) {
            answerAll(batch, id, JobResponse.LATER);
        } else {
            store.get(
                    StoreKeys.OPEN_JOBS + id,
                    (outcome, entry) -> {
                        if (outcome == Outcome.REJECTED) {
                            finalStateReader.accept(id, response -> answerAll(batch, id, response));
                        } else if (outcome != Outcome.OK
                                || mayHaveDependencies(id, entry.value())) {
                            answerAll(batch, id, JobResponse.LATER);
                        } else {
                            withoutDependencies.put(id, true);
                            answerFromMemory(batch, id, h, silent);
                        }
                    });
        }
    }

    private static boolean mayHaveDependencies(String id, Object record) {
        try {
            return !JobRecord.fromRecord(id, record).dependencies().isEmpty();
        } catch (InvalidInputException | IllegalArgumentException e) {
            return true; // Not to be told from one that does.
        }
    }

    /**
     * The holder can't be asked or does not know the job, and nothing was heard of it here before.
     */
    private void answerFromRecords(Map<String, List<Consumer<JobResponse>>> batch, String id) {
        if (!readBudget.tryTake(1, timers.nowSeconds())) {
            answerAll(batch, id, JobResponse.LATER);
            return;
        }
        PagedScan.read(
                store,
                timers,
                StoreKeys.JOB_PARTS + id + "/",
                2,
                parts -> {
                    if (parts.outcome() != Outcome.OK) {
                        answerAll(batch, id, JobResponse.LATER);
                        return;
                    }
                    JobProgress progress =
                            PartRecord.progress(
                                    id, parts.entries().stream().map(Entry::value).toList());
                    remember(progress, true);
                    answerAll(batch, id, unfinished(progress));
                });
    }
}
