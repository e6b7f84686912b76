package io.kitepath.core.service;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.JsonSize;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.service.QueryOutcomes.UnansweredReason;
import io.kitepath.core.shard.Job;
import io.kitepath.core.state.StoreKeys;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Accepts jobs, reports their state and cancels them, at any node. Only the store knows whether a
 * job is open or ended, so the state is read from it. Only final states are returned from memory
 * ({@link FinalStates}), because they never change.
 */
public final class JobSubmissionService implements JobApi {
    /** The outcome of a request. The names are sent over the wire between cells. */
    public enum Verdict {
        /** The job was accepted by this request. */
        CREATED,
        /** The job was accepted before. */
        KNOWN,
        NOT_FOUND,
        /** The outcome is uncertain: the request should be sent again. */
        LATER,
        /** The job can never be accepted. */
        REFUSED,
        /** The job can't be stored, for example because its record is too large. */
        INVALID
    }

    /**
     * The response to a request.
     *
     * @param jobStatus the job's status; null unless the job is accepted now or was before
     * @param reason why the job is refused or invalid; null otherwise
     * @param unansweredReason why a status query is not answered now; null otherwise
     */
    public record JobResponse(
            Verdict verdict,
            JobStatus jobStatus,
            String reason,
            UnansweredReason unansweredReason) {
        /** The node can't determine the state now; the user is asked to retry. */
        public static final JobResponse LATER = new JobResponse(Verdict.LATER, null);

        static final JobResponse NOT_FOUND = new JobResponse(Verdict.NOT_FOUND, null);

        /** Creates a response without a reason. */
        public JobResponse(Verdict verdict, JobStatus jobStatus) {
            this(verdict, jobStatus, null, null);
        }

        /** Returns the response for a job that can never be accepted, with the reason. */
        public static JobResponse refused(String reason) {
            return new JobResponse(Verdict.REFUSED, null, reason, null);
        }

        private static JobResponse invalid(String reason) {
            return new JobResponse(Verdict.INVALID, null, reason, null);
        }

        /** Returns the response to a status query that can't be answered now, with the reason. */
        static JobResponse later(UnansweredReason reason) {
            return new JobResponse(Verdict.LATER, null, null, reason);
        }
    }

    /** The size by which the record of an ended job exceeds that of an open one, in bytes. */
    private static final int FINAL_STATE_BYTES = 96;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final DependencyCheck dependencyCheck;
    private final FinalStates finalStates;
    private final QueryOutcomes queryOutcomes;
    private final JobCancellation cancellation;
    private final JobStatusQueries statusQueries;
    private Consumer<String> knownCancelledListener = id -> {};

    /**
     * Creates the service.
     *
     * @param isStoreReachable whether the store responds to this node
     * @param progressSource the source of the progress of open jobs
     * @param mayLendTasks whether tasks may be lent to other cells
     */
    public JobSubmissionService(
            ClusterSettings settings,
            Store store,
            Timers timers,
            BooleanSupplier isStoreReachable,
            JobStatusQueries.ProgressSource progressSource,
            boolean mayLendTasks) {
        this.settings = settings;
        this.store = store;
        this.timers = timers;
        this.dependencyCheck = new DependencyCheck(settings, store);
        this.queryOutcomes = new QueryOutcomes(settings, timers, isStoreReachable);
        this.finalStates = new FinalStates(store, isStoreReachable, this::onFoundCancelled);
        this.cancellation = new JobCancellation(settings, store, timers, finalStates, mayLendTasks);
        this.statusQueries =
                new JobStatusQueries(settings, store, timers, progressSource, finalStates);
    }

    /**
     * Sets the listener that is notified of every job that this node cancelled, before the user is.
     */
    public void onCancelled(Consumer<JobStatus> listener) {
        cancellation.onCancelled(listener);
    }

    /**
     * Sets the listener that is notified of every job that this node knows to be cancelled, before
     * any user is.
     */
    public void onKnownCancelled(Consumer<String> listener) {
        knownCancelledListener = listener;
    }

    private void onFoundCancelled(String id) {
        dependencyCheck.onCancelled(id);
        knownCancelledListener.accept(id);
    }

    /** Returns what is recorded about status queries without an answer. */
    public QueryOutcomes queryOutcomes() {
        return queryOutcomes;
    }

    /**
     * Caches a final state that another node committed and sent to this one, which saves a read.
     */
    public void onJobEnded(JobStatus status) {
        finalStates.remember(status);
    }

    /**
     * Records jobs that will be cancelled for certain because of a job that they depend on. Users
     * may be told, although the store may still show the jobs as open.
     */
    public void onImpliedCancellations(List<String> jobIds) {
        for (String jobId : jobIds) {
            finalStates.rememberImplied(jobId);
            dependencyCheck.onCancelled(jobId);
        }
    }

    @Override
    public void submit(JobSpec spec, List<String> dependencies, Consumer<JobResponse> onResponse) {
        String id = spec.id();
        if (finalStates.respondWithoutStore(id, onResponse)) {
            return;
        }
        if (dependencies.contains(id)) {
            respondUnlessKnown(id, JobResponse.refused("a job can't wait for itself"), onResponse);
            return;
        }
        if (dependencies.isEmpty()) {
            create(spec, dependencies, onResponse);
            return;
        }
        dependencyCheck.check(
                dependencies,
                result -> {
                    switch (result.kind()) {
                        case ACCEPTED -> create(spec, dependencies, onResponse);
                        case REJECTED ->
                                respondUnlessKnown(
                                        id, JobResponse.refused(result.reason()), onResponse);
                        case UNDETERMINED -> onResponse.accept(JobResponse.LATER);
                    }
                });
    }

    /**
     * Responds with the job's state if it was accepted before, even if this request is not
     * acceptable, and with {@code fallback} if it was not.
     */
    private void respondUnlessKnown(
            String id, JobResponse fallback, Consumer<JobResponse> onResponse) {
        status(
                id,
                response ->
                        onResponse.accept(
                                response.verdict() == Verdict.NOT_FOUND ? fallback : response));
    }

    private void create(JobSpec spec, List<String> dependencies, Consumer<JobResponse> onResponse) {
        String id = spec.id();
        Map<String, Object> record = newRecord(spec, dependencies).toRecord();
        int maxBytes = settings.store().maxValueBytes();
        if (JsonSize.sizeInBytes(record) + FINAL_STATE_BYTES > maxBytes) {
            String reason =
                    "names and lists that can't be kept: over "
                            + (maxBytes - FINAL_STATE_BYTES)
                            + " bytes together";
            respondUnlessKnown(id, JobResponse.invalid(reason), onResponse);
        } else if (dependencyCheck.isAnyCancelled(dependencies)) {
            createCancelled(id, record, onResponse);
        } else {
            createOpen(spec, !dependencies.isEmpty(), record, onResponse);
        }
    }

    private JobRecord newRecord(JobSpec spec, List<String> dependencies) {
        boolean startsAllTasksTogether = spec.shape() != JobSpec.Shape.ARRAY;
        boolean needsCompactParts =
                startsAllTasksTogether
                        && !Job.allTasksFitRecords(
                                spec, settings.tasksPerPart(), settings.store().maxValueBytes());
        int tasksPerPart = needsCompactParts ? settings.tasksPerCompactPart() : 0;
        return new JobRecord(spec, timers.wallClockMillis(), dependencies, tasksPerPart, 0);
    }

    /**
     * Accepts and cancels a job that depends on a cancelled one in a single write, so that no user
     * ever receives another state.
     */
    private void createCancelled(
            String id, Map<String, Object> record, Consumer<JobResponse> onResponse) {
        Transaction transaction =
                requireAbsent(id)
                        .put(StoreKeys.ENDED_JOBS + id, cancellation.cancelledRecord(id, record));
        commitNew(
                id,
                transaction,
                () -> {
                    JobStatus status = JobCancellation.cancelledStatus(id);
                    finalStates.remember(status);
                    onResponse.accept(new JobResponse(Verdict.CREATED, status));
                },
                onResponse);
    }

    private void createOpen(
            JobSpec spec,
            boolean hasDependencies,
            Map<String, Object> record,
            Consumer<JobResponse> onResponse) {
        String id = spec.id();
        double requestedAtSeconds = timers.nowSeconds();
        commitNew(
                id,
                requireAbsent(id).put(StoreKeys.OPEN_JOBS + id, record),
                () -> {
                    statusQueries.onAccepted(id, !hasDependencies, requestedAtSeconds);
                    dependencyCheck.onAccepted(id, spec.shape());
                    JobStatus pending = new JobStatus(id, "pending", 0, 0);
                    onResponse.accept(
                            latestResponse(id, new JobResponse(Verdict.CREATED, pending)));
                },
                onResponse);
    }

    private static Transaction requireAbsent(String id) {
        return new Transaction()
                .requireRevision(StoreKeys.OPEN_JOBS + id, 0)
                .requireRevision(StoreKeys.ENDED_JOBS + id, 0);
    }

    /** Runs {@code onCreated} if the transaction is committed, and responds otherwise. */
    private void commitNew(
            String id,
            Transaction transaction,
            Runnable onCreated,
            Consumer<JobResponse> onResponse) {
        store.commit(
                transaction,
                result -> {
                    switch (result.outcome()) {
                        case OK -> onCreated.run();
                        case REJECTED -> status(id, onResponse);
                        case INVALID ->
                                respondUnlessKnown(
                                        id,
                                        JobResponse.invalid("can't be kept as it is"),
                                        onResponse);
                        default -> onResponse.accept(JobResponse.LATER);
                    }
                });
    }

    @Override
    public void status(String id, Consumer<JobResponse> onResponse) {
        Consumer<JobResponse> recordAndRespond =
                response -> {
                    queryOutcomes.record(id, response);
                    onResponse.accept(response);
                };
        if (!finalStates.respondWithoutStore(id, recordAndRespond)) {
            statusQueries.query(
                    id, response -> recordAndRespond.accept(latestResponse(id, response)));
        }
    }

    /**
     * Replaces a response that is out of date. Guards against a response that was in flight while
     * this node received or sent a newer state: the end of a job is reported as soon as it is
     * known, and its acceptance as soon as it is committed.
     */
    private JobResponse latestResponse(String id, JobResponse response) {
        Optional<JobStatus> finalState = finalStates.find(id);
        if (finalState.isPresent()) {
            return new JobResponse(
                    response.verdict() == Verdict.CREATED ? Verdict.CREATED : Verdict.KNOWN,
                    finalState.get());
        }
        return response.verdict() == Verdict.NOT_FOUND && statusQueries.isKnownAccepted(id)
                ? JobResponse.later(UnansweredReason.OUTDATED)
                : response;
    }

    @Override
    public void cancel(String id, Consumer<JobResponse> onResponse) {
        cancellation.cancel(id, onResponse);
    }
}
