package io.kitepath.core.service;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks whether the jobs that a submission depends on were accepted, by any node of any version.
 * Each job is looked up among the open jobs first and then among the ended ones, so that a job that
 * is being moved at that time is not reported as never accepted. A job that was accepted stays
 * accepted, so a positive result is cached and not looked up again.
 */
final class DependencyCheck {
    /**
     * The result of a dependency check.
     *
     * @param reason why the submission may not depend on a job; null unless REJECTED
     */
    record Result(Kind kind, String reason) {
        /** Whether a job may depend on the jobs that were checked. */
        enum Kind {
            /** All jobs were accepted. */
            ACCEPTED,
            /** A job was never accepted, or is a service and never ends. */
            REJECTED,
            /** The store returned no usable result. */
            UNDETERMINED
        }

        private static final Result ACCEPTED = new Result(Kind.ACCEPTED, null);
        private static final Result UNDETERMINED = new Result(Kind.UNDETERMINED, null);

        private static Result rejected(String reason) {
            return new Result(Kind.REJECTED, reason);
        }
    }

    private static final int MAX_ACCEPTED_REMEMBERED = 5000;
    private static final int MAX_CANCELLED_REMEMBERED = 2000;

    /**
     * Up to this many jobs are read individually, which also identifies services. More jobs are
     * only compared, many in one request.
     */
    private static final int MAX_INDIVIDUAL_READS = 16;

    private final Store store;

    /** A job takes two of a transaction's conditions. */
    private int maxIdsPerComparison;

    /** Jobs that were accepted and are not services. */
    private final Cache<String, Boolean> acceptedIds =
            Caffeine.newBuilder().maximumSize(MAX_ACCEPTED_REMEMBERED).build();

    private final Cache<String, Boolean> cancelledIds =
            Caffeine.newBuilder().maximumSize(MAX_CANCELLED_REMEMBERED).build();

    DependencyCheck(ClusterSettings settings, Store store) {
        this.store = store;
        this.maxIdsPerComparison = 2 * settings.store().maxTransactionOperations();
    }

    /** Returns whether at least one of the jobs is known to be cancelled. */
    boolean isAnyCancelled(List<String> ids) {
        return ids.stream().anyMatch(id -> cancelledIds.getIfPresent(id) != null);
    }

    void onCancelled(String id) {
        cancelledIds.put(id, true);
    }

    void onAccepted(String id, Shape shape) {
        if (shape != Shape.SERVICE) {
            acceptedIds.put(id, true);
        }
    }

    void check(List<String> ids, Consumer<Result> onResult) {
        List<String> uncachedIds =
                ids.stream().filter(id -> acceptedIds.getIfPresent(id) == null).toList();
        if (uncachedIds.isEmpty()) {
            onResult.accept(Result.ACCEPTED);
        } else if (uncachedIds.size() <= MAX_INDIVIDUAL_READS) {
            readEach(uncachedIds, onResult);
        } else {
            compare(uncachedIds, onResult);
        }
    }

    // ---- reading individually -------------------------------------------------------------------

    /** Reports one result: when all jobs were accepted, or as soon as one was not. */
    private void readEach(List<String> ids, Consumer<Result> onResult) {
        Consumer<Result> combined =
                new Consumer<>() {
                    private int remainingCount = ids.size();
                    private boolean hasReported;

                    @Override
                    public void accept(Result result) {
                        if (!hasReported
                                && (result.kind() != Result.Kind.ACCEPTED
                                        || --remainingCount == 0)) {
                            hasReported = true;
                            onResult.accept(result);
                        }
                    }
                };
        ids.forEach(id -> readJob(id, combined));
    }

    private void readJob(String id, Consumer<Result> onResult) {
        Result neverAccepted = Result.rejected("job " + id + " was never accepted");
        readRecord(
                id,
                StoreKeys.OPEN_JOBS,
                onResult,
                () ->
                        readRecord(
                                id,
                                StoreKeys.ENDED_JOBS,
                                onResult,
                                () -> onResult.accept(neverAccepted)));
    }

    private void readRecord(
            String id, String prefix, Consumer<Result> onResult, Runnable onAbsent) {
        store.get(
                prefix + id,
                (outcome, entry) -> {
                    switch (outcome) {
                        case OK -> onResult.accept(evaluateRecord(id, entry.value()));
                        case REJECTED -> onAbsent.run();
                        default -> onResult.accept(Result.UNDETERMINED);
                    }
                });
    }

    private Result evaluateRecord(String id, Object record) {
        try {
            Shape shape = JobRecord.fromRecord(id, record).spec().shape();
            if (DocumentReader.of(record).textOr("status", "").equals(FinalStates.CANCELLED)) {
                onCancelled(id);
            }
            onAccepted(id, shape);
            return shape == Shape.SERVICE
                    ? Result.rejected("job " + id + " is a service, which is never done")
                    : Result.ACCEPTED;
        } catch (InvalidInputException | IllegalArgumentException e) {
            return Result.ACCEPTED; // This version can't read the record, but the job was accepted.
        }
    }

    // ---- comparing many -------------------------------------------------------------------------

    /** Compares as many jobs as one transaction can hold, and then the rest. */
    private void compare(List<String> ids, Consumer<Result> onResult) {
        List<String> comparedIds = ids.subList(0, Math.min(maxIdsPerComparison, ids.size()));
        Transaction transaction = new Transaction();
        for (String id : comparedIds) {
            transaction
                    .requireRevision(StoreKeys.OPEN_JOBS + id, 0)
                    .requireRevision(StoreKeys.ENDED_JOBS + id, 0);
        }
        store.commit(transaction, result -> onCompared(ids, comparedIds, result, onResult));
    }

    private void onCompared(
            List<String> ids,
            List<String> comparedIds,
            CommitResult result,
            Consumer<Result> onResult) {
        if (result.outcome() == Outcome.INVALID && comparedIds.size() > 1) {
            // The store now accepts fewer conditions than the settings say.
            maxIdsPerComparison = comparedIds.size() / 2;
            compare(ids, onResult);
            return;
        }
        if (result.outcome() != Outcome.OK && result.outcome() != Outcome.REJECTED) {
            onResult.accept(Result.UNDETERMINED);
            return;
        }
        Runnable compareRest =
                () -> {
                    if (comparedIds.size() == ids.size()) {
                        onResult.accept(Result.ACCEPTED);
                    } else {
                        compare(ids.subList(comparedIds.size(), ids.size()), onResult);
                    }
                };
        List<String> missingIds = findMissing(comparedIds, result);
        if (missingIds.isEmpty()) {
            compareRest.run();
        } else {
            confirmMissing(missingIds, compareRest, onResult);
        }
    }

    private static List<String> findMissing(List<String> comparedIds, CommitResult result) {
        Set<String> existingKeys = new HashSet<>(result.failedKeys());
        List<String> missingIds = new ArrayList<>(comparedIds);
        missingIds.removeIf(
                id ->
                        existingKeys.contains(StoreKeys.OPEN_JOBS + id)
                                || existingKeys.contains(StoreKeys.ENDED_JOBS + id));
        return missingIds;
    }

    /** Reads the missing jobs again before one is reported as never accepted. */
    private void confirmMissing(
            List<String> missingIds, Runnable compareRest, Consumer<Result> onResult) {
        readEach(
                missingIds.subList(0, Math.min(MAX_INDIVIDUAL_READS, missingIds.size())),
                result -> {
                    if (result.kind() != Result.Kind.ACCEPTED) {
                        onResult.accept(result);
                    } else if (missingIds.size() <= MAX_INDIVIDUAL_READS) {
                        compareRest.run();
                    } else {
                        onResult.accept(Result.UNDETERMINED);
                    }
                });
    }
}
