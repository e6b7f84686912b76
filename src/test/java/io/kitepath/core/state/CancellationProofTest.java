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

class CancellationProofTest {
    private final SimulatedCluster cluster = new SimulatedCluster();
    private final Timers timers = SimulatedClusters.timers(cluster);
    private final ShardState shard = new ShardState(cluster.settings("k0"), machine -> {});

    /** Transactions that were sent. */
    private final List<Store.Transaction> sent = new ArrayList<>();

    /** When each of them was sent, in seconds on the steady clock. */
    private final List<Double> sentAt = new ArrayList<>();

    /** Times that the listener received, in milliseconds. */
    private final List<Double> knownAsOfMillis = new ArrayList<>();

    /** Ids of closed jobs that the listener received. */
    private final List<String> closedJobs = new ArrayList<>();

    /** Keys that no longer exist in the store. */
    private final List<String> goneKeys = new ArrayList<>();

    /** The store's outcome unless one of the following fields causes another one. */
    private Outcome defaultOutcome = Outcome.OK;

    private double answerSeconds = 0.01;
    private int maxConditions = 1000;

    /** Whether the store refuses a transaction, by its number from 1. */
    private IntPredicate refuses = number -> false;

    private boolean holding = true;

    /** Responds to compare-only transactions and reads after a delay, and to nothing else. */
    private final Store store =
            new Store() {
                @Override
                public void get(String key, BiConsumer<Outcome, Entry> answer) {
                    cluster.after(
                            answerSeconds,
                            () ->
                                    answer.accept(
                                            goneKeys.contains(key) ? Outcome.REJECTED : Outcome.OK,
                                            null));
                }

                @Override
                public void commit(Transaction transaction, Consumer<CommitResult> answer) {
                    assertTrue(transaction.writes().isEmpty());
                    assertTrue(transaction.conditions().size() <= 160);
                    sent.add(transaction);
                    sentAt.add(cluster.clock.now);
                    List<String> failed =
                            transaction.conditions().stream()
                                    .map(Condition::key)
                                    .filter(goneKeys::contains)
                                    .toList();
                    Outcome outcome = outcomeOf(transaction, failed);
                    cluster.after(
                            answerSeconds,
                            () -> answer.accept(new CommitResult(outcome, 0, failed, false)));
                }

                private Outcome outcomeOf(Transaction transaction, List<String> failed) {
                    if (transaction.conditions().size() > maxConditions) {
                        return Outcome.INVALID;
                    }
                    if (refuses.test(sent.size())) {
                        return Outcome.NOT_EXECUTED;
                    }
                    return failed.isEmpty() ? defaultOutcome : Outcome.REJECTED;
                }

                @Override
                public void list(
                        String prefix, String from, int limit, Consumer<ListResult> answer) {}

                @Override
                public void grantLease(long lifeMs, BiConsumer<Outcome, Long> answer) {}

                @Override
                public void renewLease(long lease, Consumer<Outcome> answer) {}

                @Override
                public void revokeLease(long lease) {}

                @Override
                public void watch(
                        String prefix, long after, long holdMs, Consumer<WatchResult> answer) {}
            };

    private final CancellationProof proof =
            new CancellationProof(
                    store,
                    timers,
                    new Random(1),
                    shard,
                    () -> holding,
                    new CancellationProof.Listener() {
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
        return 1000 * sentAt.get(0);
    }

    private Store.Transaction lastSent() {
        return sent.get(sent.size() - 1);
    }

    @Test
    void roundOverManyJobsComparesEachOnceInFewTransactions() {
        addJobsWithLiveTasks(400);
        proof.start();
        cluster.run(1);
        assertEquals(
                400, sent.stream().mapToInt(transaction -> transaction.conditions().size()).sum());
        assertEquals(3, sent.size());
        assertEquals(List.of(firstSentMillis()), knownAsOfMillis);
    }

    /** The time during which the response was in flight is not confirmed. */
    @Test
    void roundWithSlowAnswerProvesAsOfWhenItWasAsked() {
        addJobsWithLiveTasks(3);
        answerSeconds = 6;
        proof.start();
        cluster.run(7);
        assertEquals(1, knownAsOfMillis.size());
        assertEquals(firstSentMillis(), knownAsOfMillis.get(0));
    }

    @Test
    void jobWhoseOpenKeyIsGoneIsReportedBeforeAnythingIsProven() {
        addJobsWithLiveTasks(3);
        goneKeys.add(StoreKeys.OPEN_JOBS + "j-1");
        proof.start();
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
    void roundWithoutDefiniteAnswerProvesNothingAndIsRetriedWhileTheShardIsHeld() {
        addJobsWithLiveTasks(1);
        for (Outcome outcome : List.of(Outcome.NOT_EXECUTED, Outcome.UNKNOWN, Outcome.INVALID)) {
            defaultOutcome = outcome;
            proof.start();
            cluster.run(5);
            assertEquals(List.of(), knownAsOfMillis, outcome.toString());
        }
        assertTrue(sent.size() > 20);
        defaultOutcome = Outcome.OK;
        cluster.run(1);
        assertEquals(1, knownAsOfMillis.size());
        holding = false;
        int before = sent.size();
        cluster.run(10);
        assertEquals(before, sent.size());
        proof.stop();
    }

    /** A store over its request rate refuses every second request. */
    @Test
    void transactionThatIsRefusedIsSentAgainWithoutTheAnsweredOnes() {
        addJobsWithLiveTasks(800);
        refuses = number -> number % 2 == 0;
        proof.start();
        cluster.run(3);
        assertTrue(knownAsOfMillis.size() >= 1);
        assertEquals(firstSentMillis(), knownAsOfMillis.get(0));
        assertTrue(
                sent.stream()
                                .map(transaction -> transaction.conditions().get(0).key())
                                .distinct()
                                .count()
                        == 5);
    }

    /** The store accepts fewer conditions than configured. */
    @Test
    void transactionThatIsInvalidAsTooLargeIsFollowedBySmallerOnes() {
        addJobsWithLiveTasks(100);
        maxConditions = 30;
        proof.start();
        cluster.run(5);
        assertTrue(knownAsOfMillis.size() >= 1);
        assertTrue(lastSent().conditions().size() <= 30);
    }

    /**
     * Responses take longer than a quarter of the margin, and the round needs several transactions.
     */
    @Test
    void roundOverManyJobsWithSlowAnswersIsCompleted() {
        addJobsWithLiveTasks(800);
        answerSeconds = 3;
        proof.start();
        cluster.run(7);
        assertEquals(1, knownAsOfMillis.size());
        assertEquals(firstSentMillis(), knownAsOfMillis.get(0));
    }
}
