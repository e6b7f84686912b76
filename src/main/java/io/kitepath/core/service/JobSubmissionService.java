package io.kitepath.core.service;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.JsonSize;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Job;
import io.kitepath.core.state.StoreKeys;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * What users ask of any node, answered from the store: only it knows whether a job is open or over.
 * Only final states come from memory, because they never change.
 */
public final class JobSubmissionService implements JobApi {
    /** REFUSED: it can never be accepted; INVALID: nor kept, as it is. */
    public enum Verdict {
        CREATED,
        KNOWN,
        NOT_FOUND,
        LATER,
        REFUSED,
        INVALID
    }

    /** {@code reason}: of what is refused or invalid. */
    public record JobResponse(Verdict verdict, JobStatus jobStatus, String reason) {
        public static final JobResponse LATER = new JobResponse(Verdict.LATER, null);
        static final JobResponse NOT_FOUND = new JobResponse(Verdict.NOT_FOUND, null);

        public JobResponse(Verdict verdict, JobStatus state) {
            this(verdict, state, null);
        }

        public static JobResponse refused(String why) {
            return new JobResponse(Verdict.REFUSED, null, why);
        }
    }

    /** What a record of a job that is over says beyond one of an open job, in bytes. */
    private static final int FINAL_STATE_BYTES = 96;

    private static final int MAX_TRIES = 4;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final DependencyCheck dependencies;
    private final Cache<String, JobStatus> finalStates =
            Caffeine.newBuilder().maximumSize(5000).build();
    private final JobStatusQueries statusQueries;

    /** Whether tasks may be lent to other cells. */
    private final boolean mayLendTasks;

    private Consumer<JobStatus> onCancelled = job -> {};
    private Consumer<String> knownCancelled = id -> {};

    /**
     * Whether the store answers this node. Guards against requests that wait for their time-out,
     * one behind the other, when it is known that they can't be answered: users are told at once
     * when to come back.
     */
    private final BooleanSupplier isStoreReachable;

    /** {@code cells}: whether tasks may be lent to other cells. */
    public JobSubmissionService(
            ClusterSettings settings,
            Store store,
            Timers timers,
            BooleanSupplier served,
            JobStatusQueries.ProgressSource holder,
            boolean cells) {
        this.mayLendTasks = cells;
        this.settings = settings;
        this.dependencies = new DependencyCheck(settings, store);
        this.store = store;
        this.timers = timers;
        this.isStoreReachable = served;
        this.statusQueries =
                new JobStatusQueries(settings, store, timers, holder, this::readFinalState);
    }

    public void onCancelled(Consumer<JobStatus> listener) {
        onCancelled = listener;
    }

    /** Is told of every job that this node knows to be cancelled, before any user is. */
    public void onKnownCancelled(Consumer<String> listener) {
        knownCancelled = listener;
    }

    /**
     * Answers what needs no look into the store: a final state, or that the store can't be asked
     * now.
     */
    private boolean answeredWithoutStore(String id, Consumer<JobResponse> answer) {
        JobStatus known = finalStates.getIfPresent(id);
        if (known != null) {
            answer.accept(new JobResponse(Verdict.KNOWN, known));
        } else if (!isStoreReachable.getAsBoolean()) {
            answer.accept(JobResponse.LATER);
        } else {
            return false;
        }
        return true;
    }

    /**
     * The store has the job's end, which never changes: a word of the node that wrote it saves a
     * read.
     */
    public void onJobEnded(JobStatus status) {
        finalStates.put(status.jobId(), status);
        if (status.status().equals("cancelled")) {
            dependencies.cancelled(status.jobId());
            knownCancelled.accept(status.jobId());
        }
    }

    @Override
    public void submit(JobSpec spec, List<String> needs, Consumer<JobResponse> answer) {
        String id = spec.id();
        if (answeredWithoutStore(id, answer)) {
            return;
        }
        if (needs.contains(id)) {
            answerIfKnown(id, JobResponse.refused("a job can't wait for itself"), answer);
            return;
        }
        if (needs.isEmpty()) {
            create(spec, needs, answer);
            return;
        }
        dependencies.check(
                needs,
                (sure, wrong) -> {
                    if (!sure) {
                        answer.accept(JobResponse.LATER);
                    } else if (wrong != null) {
                        answerIfKnown(id, JobResponse.refused(wrong), answer);
                    } else {
                        create(spec, needs, answer);
                    }
                });
    }

    /** A job that is known gets its state whatever else is said of it now. */
    private void answerIfKnown(String id, JobResponse otherwise, Consumer<JobResponse> answer) {
        status(
                id,
                response ->
                        answer.accept(
                                response.verdict() == Verdict.NOT_FOUND ? otherwise : response));
    }

    private void create(JobSpec spec, List<String> needs, Consumer<JobResponse> answer) {
        String id = spec.id();
        boolean atOnce = spec.shape() != JobSpec.Shape.ARRAY;
        int bytes = settings.store().maxValueBytes();
        int narrow =
                atOnce && !Job.allTasksFitRecords(spec, settings.tasksPerPart(), bytes)
                        ? settings.tasksPerCompactPart()
                        : 0;
        Map<String, Object> record =
                new JobRecord(spec, timers.wallClockMillis(), needs, narrow, 0).toRecord();
        if (JsonSize.sizeInBytes(record) + FINAL_STATE_BYTES > bytes) {
            answerIfKnown(
                    id,
                    new JobResponse(
                            Verdict.INVALID,
                            null,
                            "names and lists that can't be kept: over "
                                    + (bytes - FINAL_STATE_BYTES)
                                    + " bytes together"),
                    answer);
            return;
        }
        // One that names a cancelled job is accepted and cancelled in one write, and never called
        // anything else.
        JobStatus doomed =
                dependencies.anyCancelled(needs) ? new JobStatus(id, "cancelled", 0, 0) : null;
        Transaction transaction =
                new Transaction()
                        .requireRevision(StoreKeys.OPEN_JOBS + id, 0)
                        .requireRevision(StoreKeys.ENDED_JOBS + id, 0);
        if (doomed == null) {
            transaction.put(StoreKeys.OPEN_JOBS + id, record);
        } else {
            transaction.put(StoreKeys.ENDED_JOBS + id, cancelledRecord(id, record));
        }
        store.commit(
                transaction,
                result -> {
                    switch (result.outcome()) {
                        case OK -> {
                            if (doomed != null) {
                                onJobEnded(doomed);
                                answer.accept(new JobResponse(Verdict.CREATED, doomed));
                                return;
                            }
                            statusQueries.onAccepted(id, needs.isEmpty());
                            dependencies.accepted(id, spec.shape());
                            answer.accept(
                                    latest(
                                            id,
                                            new JobResponse(
                                                    Verdict.CREATED,
                                                    new JobStatus(id, "pending", 0, 0))));
                        }
                        case REJECTED -> status(id, answer);
                        case INVALID ->
                                answerIfKnown(
                                        id,
                                        new JobResponse(
                                                Verdict.INVALID, null, "can't be kept as it is"),
                                        answer);
                        default -> answer.accept(JobResponse.LATER);
                    }
                });
    }

    @Override
    public void status(String id, Consumer<JobResponse> answer) {
        if (!answeredWithoutStore(id, answer)) {
            statusQueries.query(id, response -> answer.accept(latest(id, response)));
        }
    }

    /**
     * Guards against an answer that was on its way while this node said, or heard, something newer:
     * that a job is over goes out to users at once, and that it was accepted when the store says
     * so.
     */
    private JobResponse latest(String id, JobResponse response) {
        JobStatus known = finalStates.getIfPresent(id);
        if (known != null) {
            return new JobResponse(
                    response.verdict() == Verdict.CREATED ? Verdict.CREATED : Verdict.KNOWN, known);
        }
        return response.verdict() == Verdict.NOT_FOUND && statusQueries.hasHeardOf(id)
                ? JobResponse.LATER
                : response;
    }

    private void readFinalState(String id, Consumer<JobResponse> answer) {
        store.get(
                StoreKeys.ENDED_JOBS + id,
                (outcome, entry) -> {
                    if (outcome == Outcome.OK) {
                        DocumentReader document = DocumentReader.of(entry.value());
                        JobStatus status =
                                new JobStatus(
                                        id,
                                        document.text("status"),
                                        (int) document.count("done"),
                                        0);
                        onJobEnded(status);
                        answer.accept(new JobResponse(Verdict.KNOWN, status));
                    } else {
                        answer.accept(
                                outcome == Outcome.REJECTED
                                        ? JobResponse.NOT_FOUND
                                        : JobResponse.LATER);
                    }
                });
    }

    @Override
    public void cancel(String id, Consumer<JobResponse> answer) {
        cancel(id, MAX_TRIES, answer);
    }

    private void cancel(String id, int tries, Consumer<JobResponse> answer) {
        if (answeredWithoutStore(id, answer)) {
            return;
        }
        if (tries == 0) {
            answer.accept(JobResponse.LATER);
            return;
        }
        store.get(
                StoreKeys.OPEN_JOBS + id,
                (outcome, open) -> {
                    if (outcome == Outcome.REJECTED) {
                        readFinalState(id, answer);
                        return;
                    }
                    if (outcome != Outcome.OK) {
                        answer.accept(JobResponse.LATER);
                        return;
                    }
                    Map<String, Object> record = cancelledRecord(id, open.value());
                    Transaction move =
                            new Transaction()
                                    .requireRevision(StoreKeys.OPEN_JOBS + id, open.revision())
                                    .requireRevision(StoreKeys.ENDED_JOBS + id, 0)
                                    .remove(StoreKeys.OPEN_JOBS + id)
                                    .put(StoreKeys.ENDED_JOBS + id, record);
                    if (mayLendTasks) {
                        move.requireRevision(StoreKeys.LENT_TASKS + id, 0);
                    }
                    store.commit(
                            move,
                            result -> {
                                if (result.outcome() == Outcome.OK) {
                                    JobStatus status = new JobStatus(id, "cancelled", 0, 0);
                                    onJobEnded(status);
                                    onCancelled.accept(status);
                                    answer.accept(new JobResponse(Verdict.KNOWN, status));
                                } else if (result.outcome() == Outcome.REJECTED
                                        && result.failedKeys()
                                                .contains(StoreKeys.LENT_TASKS + id)) {
                                    recallLoans(id, open.revision(), answer);
                                } else if (result.outcome() == Outcome.REJECTED) {
                                    cancel(id, tries - 1, answer);
                                } else {
                                    answer.accept(JobResponse.LATER);
                                }
                            });
                });
    }

    private Map<String, Object> cancelledRecord(String id, Object open) {
        Map<String, Object> end =
                Map.of("status", "cancelled", "done", 0L, "endedMs", timers.wallClockMillis());
        try {
            return JobRecord.fromRecord(id, open)
                    .toFinishedRecord(end, settings.store().maxValueBytes());
        } catch (InvalidInputException | IllegalArgumentException e) {
            // Of a later version, or not what it should be: kept as it is, and cancelled all the
            // same.
            Map<String, Object> record = new LinkedHashMap<>();
            ((Map<?, ?>) open).forEach((k, v) -> record.put((String) k, v));
            record.putAll(end);
            return record;
        }
    }

    /**
     * Some of the job is lent to other cells. Guards against a user who is told that it is
     * cancelled while a cell that nobody can reach starts a task of it: it is called back first,
     * and the user told to come again, until its holder has it from that cell's own records that no
     * more of it will start.
     */
    private void recallLoans(String id, long openRevision, Consumer<JobResponse> answer) {
        store.commit(
                new Transaction()
                        .requireRevision(StoreKeys.OPEN_JOBS + id, openRevision)
                        .requireRevision(StoreKeys.CANCELLATION_REQUESTS + id, 0)
                        .put(StoreKeys.CANCELLATION_REQUESTS + id, Map.of()),
                result -> answer.accept(JobResponse.LATER));
    }
}
