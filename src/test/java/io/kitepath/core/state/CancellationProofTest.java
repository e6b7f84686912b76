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

    /** What it sent, and when. */
    private final List<Store.Transaction> sent = new ArrayList<>();

    private final List<Double> sentAt = new ArrayList<>();
    private final List<Double> proven = new ArrayList<>();
    private final List<String> closed = new ArrayList<>();

    /** Keys that are gone. */
    private final List<String> gone = new ArrayList<>();

    private Outcome otherwise = Outcome.OK;
    private double answerTakesS = 0.01;
    private int mostConditions = 1000;

    /** By the number of the request. */
    private IntPredicate refuses = n -> false;

    private boolean holding = true;

    /** Answers comparisons a while after they arrived. */
    private final Store store =
            new Store() {
                @Override
                public void get(String key, BiConsumer<Outcome, Entry> answer) {
                    cluster.after(
                            answerTakesS,
                            () ->
                                    answer.accept(
                                            gone.contains(key) ? Outcome.REJECTED : Outcome.OK,
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
                                    .filter(gone::contains)
                                    .toList();
                    Outcome outcome =
                            transaction.conditions().size() > mostConditions
                                    ? Outcome.INVALID
                                    : refuses.test(sent.size())
                                            ? Outcome.NOT_EXECUTED
                                            : failed.isEmpty() ? otherwise : Outcome.REJECTED;
                    cluster.after(
                            answerTakesS,
                            () -> answer.accept(new CommitResult(outcome, 0, failed, false)));
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
                        public void jobClosed(String jobId) {
                            closed.add(jobId);
                            shard.finishJob(jobId);
                        }

                        @Override
                        public void cancellationsKnownAsOf(double atMs) {
                            proven.add(atMs);
                        }
                    });

    /** Each has a task on a machine, by its record. */
    private void jobs(int n) {
        for (int i = 0; i < n; i++) {
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

    @Test
    void allJobsOfWhichSomethingMayRunAreCompared() {
        jobs(400);
        proof.start();
        cluster.run(1);
        assertEquals(
                400, sent.stream().mapToInt(transaction -> transaction.conditions().size()).sum());
        assertEquals(3, sent.size());
        assertEquals(List.of(1000 * sentAt.get(0)), proven);
    }

    /** Nothing is proven of the time while the answer was under way. */
    @Test
    void whatIsProvenCountsFromWhenItWasAsked() {
        jobs(3);
        answerTakesS = 6;
        proof.start();
        cluster.run(7);
        assertEquals(1, proven.size());
        assertEquals(1000 * sentAt.get(0), proven.get(0));
    }

    @Test
    void whatIsGoneIsSaidBeforeAnythingIsProven() {
        jobs(3);
        gone.add(StoreKeys.OPEN_JOBS + "j-1");
        proof.start();
        cluster.run(0.015);
        assertEquals(List.of(), proven);
        cluster.run(0.02);
        assertEquals(List.of("j-1"), closed);
        assertEquals(1, proven.size());
        cluster.run(3);
        assertTrue(
                sent.get(sent.size() - 1).conditions().stream()
                        .noneMatch(condition -> condition.key().endsWith("j-1")));
    }

    @Test
    void refusalsAndUnknownAnswersProveNothingAndAreTriedAgain() {
        jobs(1);
        for (Outcome outcome : List.of(Outcome.NOT_EXECUTED, Outcome.UNKNOWN, Outcome.INVALID)) {
            otherwise = outcome;
            proof.start();
            cluster.run(5);
            assertEquals(List.of(), proven, outcome.toString());
        }
        assertTrue(sent.size() > 20);
        otherwise = Outcome.OK;
        cluster.run(1);
        assertEquals(1, proven.size());
        holding = false;
        int before = sent.size();
        cluster.run(10);
        assertEquals(before, sent.size());
        proof.stop();
    }

    /**
     * A store over its rate refuses one request of two: what has been answered is not asked again.
     */
    @Test
    void oneOfSeveralThatIsRefusedIsSentAgainByItself() {
        jobs(800);
        refuses = n -> n % 2 == 0;
        proof.start();
        cluster.run(3);
        assertTrue(proven.size() >= 1);
        assertEquals(1000 * sentAt.get(0), proven.get(0));
        assertTrue(
                sent.stream()
                                .map(transaction -> transaction.conditions().get(0).key())
                                .distinct()
                                .count()
                        == 5);
    }

    /**
     * A store that takes fewer conditions than its settings say is asked with fewer, rather than
     * never heard again.
     */
    @Test
    void aStoreThatTakesFewerConditionsIsAskedWithFewer() {
        jobs(100);
        mostConditions = 30;
        proof.start();
        cluster.run(5);
        assertTrue(proven.size() >= 1);
        assertTrue(sent.get(sent.size() - 1).conditions().size() <= 30);
    }

    /** Slower than a quarter of the margin, and in several pieces: it still gets there. */
    @Test
    void aSlowStoreProvesLater() {
        jobs(800);
        answerTakesS = 3;
        proof.start();
        cluster.run(7);
        assertEquals(1, proven.size());
        assertEquals(1000 * sentAt.get(0), proven.get(0));
    }
}
