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
 * Whether the jobs that a submission depends on were accepted, by any node of any version. Each is
 * looked for among the open jobs and then among the ended ones, so that one that is just being
 * moved is never taken for one that was never accepted. A job that was accepted stays accepted, so
 * what was found once is not looked for again.
 */
final class DependencyCheck {
    /**
     * What the check found.
     *
     * @param reason why a job can't be depended on; null unless REJECTED
     */
    record Result(Kind kind, String reason) {
        /** Whether a job may depend on the jobs that were checked. */
        enum Kind {
            /** All were accepted. */
            ACCEPTED,
            /** One was never accepted, or can't be waited for. */
            REJECTED,
            /** The store did not tell. */
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
     * Up to that many are read one by one, which also tells services; more are only compared, many
     * in one request.
     */
    private static final int MAX_READ_SINGLY = 16;

    private final Store store;

    /** Of a transaction's conditions a job takes two. */
    private int maxIdsPerComparison;

    /** Jobs that were accepted and are no services. */
    private final Cache<String, Boolean> accepted =
            Caffeine.newBuilder().maximumSize(MAX_ACCEPTED_REMEMBERED).build();

    private final Cache<String, Boolean> cancelled =
            Caffeine.newBuilder().maximumSize(MAX_CANCELLED_REMEMBERED).build();

    DependencyCheck(ClusterSettings settings, Store store) {
        this.store = store;
        this.maxIdsPerComparison = 2 * settings.store().maxTransactionOperations();
    }

    /** Whether one of them is known to be cancelled. */
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

    // ---- reading one by one ---------------------------------------------------------------------

    /** Answers once: when all were accepted, or as soon as one was not. */
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
            return Result.ACCEPTED; // Unreadable to this version, but accepted.
        }
    }

    // ---- comparing many -------------------------------------------------------------------------

    /** Compares as many as one transaction may, and then the rest. */
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
            // The store takes fewer conditions by now than the settings say.
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

    /** That a job was never accepted is only said after it has been read once more. */
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
