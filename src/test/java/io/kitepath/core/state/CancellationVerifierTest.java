package io.kitepath.core.state;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;

class CancellationVerifierTest {
    private final SimulatedCluster cluster = new SimulatedCluster();
    private final Timers timers = SimulatedClusters.timers(cluster);
    private final ShardState shard = new ShardState(cluster.settings("k0"), machine -> {});

    /** Transactions that were sent. */
    private final List<Store.Transaction> sentTransactions = new ArrayList<>();

    /** When each of them was sent, in seconds on the steady clock. */
    private final List<Double> sentAtSeconds = new ArrayList<>();

    /** Times that the listener received, in milliseconds. */
    private final List<Double> knownAsOfMillis = new ArrayList<>();

    /** Ids of closed jobs that the listener received. */
    private final List<String> closedJobs = new ArrayList<>();

    /** Keys that no longer exist in the store. */
    private final List<String> removedKeys = new ArrayList<>();

    /** The store's outcome unless one of the following fields causes another one. */
    private Outcome defaultOutcome = Outcome.OK;

    private double responseDelaySeconds = 0.01;
    private int maxConditions = 1000;

    /** Whether the store refuses a transaction, by its number from 1. */
    private IntPredicate isRefused = number -> false;

    private boolean isLoadedLeader = true;

    /** Responds to compare-only transactions and reads after a delay, and to nothing else. */
    private final Store store =
            new Store() {
                @Override
                public void get(String key, BiConsumer<Outcome, Entry> callback) {
                    cluster.after(
                            responseDelaySeconds,
                            () ->
                                    callback.accept(
                                            removedKeys.contains(key)
                                                    ? Outcome.REJECTED
                                                    : Outcome.OK,
                                            null));
                }

                @Override
                public void commit(Transaction transaction, Consumer<CommitResult> callback) {
                    assertTrue(transaction.writes().isEmpty());
                    assertTrue(transaction.conditions().size() <= 160);
                    sentTransactions.add(transaction);
                    sentAtSeconds.add(cluster.clock.now);
                    List<String> failedKeys =
                            transaction.conditions().stream()
                                    .map(Condition::key)
                                    .filter(removedKeys::contains)
                                    .toList();
                    Outcome outcome = outcomeOf(transaction, failedKeys);
                    cluster.after(
                            responseDelaySeconds,
                            () -> callback.accept(new CommitResult(outcome, 0, failedKeys, false)));
                }

                private Outcome outcomeOf(Transaction transaction, List<String> failedKeys) {
                    if (transaction.conditions().size() > maxConditions) {
                        return Outcome.INVALID;
                    }
                    if (isRefused.test(sentTransactions.size())) {
                        return Outcome.NOT_EXECUTED;
                    }
                    return failedKeys.isEmpty() ? defaultOutcome : Outcome.REJECTED;
                }

                @Override
                public void list(
                        String prefix, String from, int limit, Consumer<ListResult> callback) {}

                @Override
                public void grantLease(long lifeMs, BiConsumer<Outcome, Long> callback) {}

                @Override
                public void renewLease(long lease, Consumer<Outcome> callback) {}

                @Override
                public void revokeLease(long lease) {}

                @Override
                public void watch(
                        String prefix, long after, long holdMs, Consumer<WatchResult> callback) {}
            };

    private final CancellationVerifier verifier =
            new CancellationVerifier(
                    store,
                    timers,
                    new Random(1),
                    shard,
                    () -> isLoadedLeader,
                    new CancellationVerifier.Listener() {
                        @Override
                        public void jobClosed(String id) {
                            closedJobs.add(id);
                            shard.finishJob(id);
                        }

                        @Override
                        public void cancellationsKnownAsOf(double asOfMillis) {
                            knownAsOfMillis.add(asOfMillis);
                        }
                    });

    /** Adds {@code count} open jobs, each with a task on a machine by its record. */
    private void addJobsWithLiveTasks(int count) {
        for (int i = 0; i < count; i++) {
            JobSpec spec = job("j-" + i, Shape.ARRAY, 1, 1);
            Job job =
                    Job.of(
                            new JobRecord(spec, 0, List.of(), 0, 0),
                            shard.settings(),
                            StoreKeys.OPEN_JOBS + spec.id(),
                            7,
                            256);
            shard.addJob(job);
            shard.restorePart(
                    job,
                    0,
                    Map.of("next", 2L, "done", "", "live", Map.of("i-1", List.of(0L, 1L))),
                    8,
                    0);
        }
    }

    private double firstSentMillis() {
        return 1000 * sentAtSeconds.get(0);
    }

    private Store.Transaction lastSent() {
        return sentTransactions.get(sentTransactions.size() - 1);
    }

    @Test
    void comparesEachJobOnceInThreeTransactionsWhenThereAreManyJobs() {
        addJobsWithLiveTasks(400);
        verifier.start();
        cluster.run(1);
        assertEquals(
                400,
                sentTransactions.stream()
                        .mapToInt(transaction -> transaction.conditions().size())
                        .sum());
        assertEquals(3, sentTransactions.size());
        assertEquals(List.of(firstSentMillis()), knownAsOfMillis);
    }

    /** The time during which the response was in flight is not confirmed. */
    @Test
    void confirmsCancellationsAsOfRequestTimeWhenResponseIsSlow() {
        addJobsWithLiveTasks(3);
        responseDelaySeconds = 6;
        verifier.start();
        cluster.run(7);
        assertEquals(1, knownAsOfMillis.size());
        assertEquals(firstSentMillis(), knownAsOfMillis.get(0));
    }

    @Test
    void reportsJobAsClosedBeforeConfirmationWhenItsOpenKeyIsRemoved() {
        addJobsWithLiveTasks(3);
        removedKeys.add(StoreKeys.OPEN_JOBS + "j-1");
        verifier.start();
        cluster.run(0.015);
        assertEquals(List.of(), knownAsOfMillis);
        cluster.run(0.02);
        assertEquals(List.of("j-1"), closedJobs);
        assertEquals(1, knownAsOfMillis.size());
        cluster.run(3);
        assertTrue(
                lastSent().conditions().stream()
                        .noneMatch(condition -> condition.key().endsWith("j-1")));
    }

    @Test
    void retriesWithoutConfirmationOnIndefiniteResponseWhileLeadingTheShard() {
        addJobsWithLiveTasks(1);
        for (Outcome outcome : List.of(Outcome.NOT_EXECUTED, Outcome.UNKNOWN, Outcome.INVALID)) {
            defaultOutcome = outcome;
            verifier.start();
            cluster.run(5);
            assertEquals(List.of(), knownAsOfMillis, outcome.toString());
        }
        assertTrue(sentTransactions.size() > 20);
        defaultOutcome = Outcome.OK;
        cluster.run(1);
        assertEquals(1, knownAsOfMillis.size());
        isLoadedLeader = false;
        int sentBefore = sentTransactions.size();
        cluster.run(10);
        assertEquals(sentBefore, sentTransactions.size());
        verifier.stop();
    }

    /** A store over its request rate refuses every second request. */
    @Test
    void resendsOnlyRefusedTransactions() {
        addJobsWithLiveTasks(800);
        isRefused = number -> number % 2 == 0;
        verifier.start();
        cluster.run(3);
        assertTrue(knownAsOfMillis.size() >= 1);
        assertEquals(firstSentMillis(), knownAsOfMillis.get(0));
        assertTrue(
                sentTransactions.stream()
                                .map(transaction -> transaction.conditions().get(0).key())
                                .distinct()
                                .count()
                        == 5);
    }

    /** The store accepts fewer conditions than configured. */
    @Test
    void sendsSmallerTransactionsWhenTransactionIsInvalid() {
        addJobsWithLiveTasks(100);
        maxConditions = 30;
        verifier.start();
        cluster.run(5);
        assertTrue(knownAsOfMillis.size() >= 1);
        assertTrue(lastSent().conditions().size() <= 30);
    }

    /**
     * Responses take longer than a quarter of the margin, and the round needs several transactions.
     */
    @Test
    void completesRoundOverManyJobsWhenResponsesAreSlow() {
        addJobsWithLiveTasks(800);
        responseDelaySeconds = 3;
        verifier.start();
        cluster.run(7);
        assertEquals(1, knownAsOfMillis.size());
        assertEquals(firstSentMillis(), knownAsOfMillis.get(0));
    }
}
