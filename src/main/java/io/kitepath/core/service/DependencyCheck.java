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
    private static final int MAX_READ_SINGLY = 16;

    private final Store store;

    /** A job takes two of a transaction's conditions. */
    private int maxIdsPerComparison;

    /** Jobs that were accepted and are not services. */
    private final Cache<String, Boolean> accepted =
            Caffeine.newBuilder().maximumSize(MAX_ACCEPTED_REMEMBERED).build();

    private final Cache<String, Boolean> cancelled =
            Caffeine.newBuilder().maximumSize(MAX_CANCELLED_REMEMBERED).build();

    DependencyCheck(ClusterSettings settings, Store store) {
        this.store = store;
        this.maxIdsPerComparison = 2 * settings.store().maxTransactionOperations();
    }

    /** Returns whether at least one of the jobs is known to be cancelled. */
    boolean isAnyCancelled(List<String> ids) {
        return ids.stream().anyMatch(id -> cancelled.getIfPresent(id) != null);
    }

    void onCancelled(String id) {
        cancelled.put(id, true);
    }

    void onAccepted(String id, Shape shape) {
        if (shape != Shape.SERVICE) {
            accepted.put(id, true);
        }
    }

    void check(List<String> ids, Consumer<Result> answer) {
        List<String> unknown =
                ids.stream().filter(id -> accepted.getIfPresent(id) == null).toList();
        if (unknown.isEmpty()) {
            answer.accept(Result.ACCEPTED);
        } else if (unknown.size() <= MAX_READ_SINGLY) {
            readEach(unknown, answer);
        } else {
            compare(unknown, answer);
        }
    }

    // ---- reading individually -------------------------------------------------------------------

    /** Reports one result: when all jobs were accepted, or as soon as one was not. */
    private void readEach(List<String> ids, Consumer<Result> answer) {
        Consumer<Result> combined =
                new Consumer<>() {
                    private int left = ids.size();
                    private boolean hasAnswered;

                    @Override
                    public void accept(Result result) {
                        if (!hasAnswered
                                && (result.kind() != Result.Kind.ACCEPTED || --left == 0)) {
                            hasAnswered = true;
                            answer.accept(result);
                        }
                    }
                };
        ids.forEach(id -> read(id, combined));
    }

    private void read(String id, Consumer<Result> answer) {
        Result neverAccepted = Result.rejected("job " + id + " was never accepted");
        readRecord(
                id,
                StoreKeys.OPEN_JOBS,
                answer,
                () ->
                        readRecord(
                                id,
                                StoreKeys.ENDED_JOBS,
                                answer,
                                () -> answer.accept(neverAccepted)));
    }

    private void readRecord(String id, String prefix, Consumer<Result> answer, Runnable onAbsent) {
        store.get(
                prefix + id,
                (outcome, entry) -> {
                    switch (outcome) {
                        case OK -> answer.accept(judge(id, entry.value()));
                        case REJECTED -> onAbsent.run();
                        default -> answer.accept(Result.UNDETERMINED);
                    }
                });
    }

    private Result judge(String id, Object record) {
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
    private void compare(List<String> ids, Consumer<Result> answer) {
        List<String> compared = ids.subList(0, Math.min(maxIdsPerComparison, ids.size()));
        Transaction transaction = new Transaction();
        for (String id : compared) {
            transaction
                    .requireRevision(StoreKeys.OPEN_JOBS + id, 0)
                    .requireRevision(StoreKeys.ENDED_JOBS + id, 0);
        }
        store.commit(transaction, result -> onCompared(ids, compared, result, answer));
    }

    private void onCompared(
            List<String> ids, List<String> compared, CommitResult result, Consumer<Result> answer) {
        if (result.outcome() == Outcome.INVALID && compared.size() > 1) {
            // The store now accepts fewer conditions than the settings say.
            maxIdsPerComparison = compared.size() / 2;
            compare(ids, answer);
            return;
        }
        if (result.outcome() != Outcome.OK && result.outcome() != Outcome.REJECTED) {
            answer.accept(Result.UNDETERMINED);
            return;
        }
        Runnable compareRest =
                () -> {
                    if (compared.size() == ids.size()) {
                        answer.accept(Result.ACCEPTED);
                    } else {
                        compare(ids.subList(compared.size(), ids.size()), answer);
                    }
                };
        List<String> missing = missing(compared, result);
        if (missing.isEmpty()) {
            compareRest.run();
        } else {
            readMissing(missing, compareRest, answer);
        }
    }

    private static List<String> missing(List<String> compared, CommitResult result) {
        Set<String> present = new HashSet<>(result.failedKeys());
        List<String> missing = new ArrayList<>(compared);
        missing.removeIf(
                id ->
                        present.contains(StoreKeys.OPEN_JOBS + id)
                                || present.contains(StoreKeys.ENDED_JOBS + id));
        return missing;
    }

    /** Reads the missing jobs again before one is reported as never accepted. */
    private void readMissing(List<String> missing, Runnable compareRest, Consumer<Result> answer) {
        readEach(
                missing.subList(0, Math.min(MAX_READ_SINGLY, missing.size())),
                result -> {
                    if (result.kind() != Result.Kind.ACCEPTED) {
                        answer.accept(result);
                    } else if (missing.size() <= MAX_READ_SINGLY) {
                        compareRest.run();
                    } else {
                        answer.accept(Result.UNDETERMINED);
                    }
                });
    }
}
