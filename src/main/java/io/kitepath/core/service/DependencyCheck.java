package io.kitepath.core.service;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Whether the jobs that a submission names were accepted, by any node of any version. Each is
 * looked for where open jobs are and then where those over are, so that one on its way from one to
 * the other is never taken for one that was never accepted. What was accepted stays so, hence what
 * was found once is not looked for again.
 */
final class DependencyCheck {
    /**
     * What came of it: whether it could be found out; why not, if one was never accepted or can't
     * be waited for.
     */
    interface Callback {
        void onResult(boolean known, String wrong);
    }

    /** Jobs that were cancelled, for ever. */
    private final Cache<String, Boolean> cancelled =
            Caffeine.newBuilder().maximumSize(2000).build();

    /** Whether one of them is known to be cancelled. */
    boolean anyCancelled(List<String> ids) {
        return ids.stream().anyMatch(id -> cancelled.getIfPresent(id) != null);
    }

    void cancelled(String id) {
        cancelled.put(id, true);
    }

    /**
     * Read one by one up to that many, which also tells services; more are only compared, many at a
     * time.
     */
    private static final int MAX_READ_SINGLY = 16;

    private final Store store;

    /** Of a transaction's conditions, of which a job takes two. */
    private int maxIdsPerComparison;

    /** Jobs that were accepted and are no services. */
    private final Cache<String, Boolean> accepted = Caffeine.newBuilder().maximumSize(5000).build();

    DependencyCheck(ClusterSettings settings, Store store) {
        this.store = store;
        this.maxIdsPerComparison = 2 * settings.store().maxTransactionOperations();
    }

    void accepted(String id, Shape shape) {
        if (shape != Shape.SERVICE) {
            accepted.put(id, true);
        }
    }

    void check(List<String> needs, Callback answer) {
        List<String> open = needs.stream().filter(id -> accepted.getIfPresent(id) == null).toList();
        if (open.isEmpty()) {
            answer.onResult(true, null);
        } else if (open.size() <= MAX_READ_SINGLY) {
            readEach(open, answer);
        } else {
            compare(open, answer);
        }
    }

    private void readEach(List<String> ids, Callback answer) {
        int[] left = {ids.size()};
        Callback once =
                new Callback() {
                    private boolean said;

                    @Override
                    public void onResult(boolean known, String wrong) {
                        boolean bad = wrong != null && !wrong.isEmpty();
                        if (!said && (!known || bad || --left[0] == 0)) {
                            said = true;
                            answer.onResult(known, bad ? wrong : null);
                        }
                    }
                };
        ids.forEach(
                id ->
                        read(
                                id,
                                StoreKeys.OPEN_JOBS,
                                x -> {
                                    if (x == null) {
                                        read(
                                                id,
                                                StoreKeys.ENDED_JOBS,
                                                y ->
                                                        once.onResult(
                                                                true,
                                                                y == null
                                                                        ? "job "
                                                                                + id
                                                                                + " was never accepted"
                                                                        : y),
                                                () -> once.onResult(false, null));
                                    } else {
                                        once.onResult(true, x);
                                    }
                                },
                                () -> once.onResult(false, null)));
    }

    /** {@code found}: empty if it is fine, why not otherwise, null if there is no such record. */
    private void read(String id, String where, Consumer<String> found, Runnable unsure) {
        store.get(
                where + id,
                (outcome, entry) -> {
                    if (outcome == Outcome.REJECTED) {
                        found.accept(null);
                    } else if (outcome != Outcome.OK) {
                        unsure.run();
                    } else {
                        found.accept(rejectionReason(id, entry.value()));
                    }
                });
    }

    private String rejectionReason(String id, Object record) {
        try {
            Shape shape = JobRecord.fromRecord(id, record).spec().shape();
            if (DocumentReader.of(record).textOr("status", "").equals("cancelled")) {
                cancelled(id);
            }
            accepted(id, shape);
            return shape == Shape.SERVICE ? "job " + id + " is a service, which is never done" : "";
        } catch (InvalidInputException | IllegalArgumentException e) {
            return ""; // Accepted all the same.
        }
    }

    private void compare(List<String> ids, Callback answer) {
        List<String> some = ids.subList(0, Math.min(maxIdsPerComparison, ids.size()));
        Transaction transaction = new Transaction();
        some.forEach(
                id ->
                        transaction
                                .requireRevision(StoreKeys.OPEN_JOBS + id, 0)
                                .requireRevision(StoreKeys.ENDED_JOBS + id, 0));
        store.commit(
                transaction,
                result -> {
                    if (result.outcome() == Outcome.INVALID && some.size() > 1) {
                        maxIdsPerComparison =
                                some.size()
                                        / 2; // The store takes fewer conditions by now than anybody
                        // said.
                        compare(ids, answer);
                        return;
                    }
                    if (result.outcome() != Outcome.OK && result.outcome() != Outcome.REJECTED) {
                        answer.onResult(false, null);
                        return;
                    }
                    Set<String> there = new HashSet<>(result.failedKeys());
                    List<String> missing = new ArrayList<>(some);
                    missing.removeIf(
                            id ->
                                    there.contains(StoreKeys.OPEN_JOBS + id)
                                            || there.contains(StoreKeys.ENDED_JOBS + id));
                    Runnable rest =
                            () -> {
                                if (some.size() == ids.size()) {
                                    answer.onResult(true, null);
                                } else {
                                    compare(ids.subList(some.size(), ids.size()), answer);
                                }
                            };
                    if (missing.isEmpty()) {
                        rest.run();
                    } else {
                        // That one was never accepted is only said after one more look.
                        readEach(
                                missing.subList(0, Math.min(MAX_READ_SINGLY, missing.size())),
                                (known, wrong) -> {
                                    if (known
                                            && wrong == null
                                            && missing.size() <= MAX_READ_SINGLY) {
                                        rest.run();
                                    } else {
                                        answer.onResult(known && wrong != null, wrong);
                                    }
                                });
                    }
                });
    }
}
