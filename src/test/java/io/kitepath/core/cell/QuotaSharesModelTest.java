package io.kitepath.core.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.QuotaGrant;
import io.kitepath.core.model.CellMessage.Summary;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateLoader;
import io.kitepath.core.state.StateWriter;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Explores all interleavings up to some length in which quota shares can move between a few cells:
 * production code, with each message delivered, lost or delivered twice, and each leader ended
 * before or after each of its commits.
 */
class QuotaSharesModelTest {
    /** The team's quota in thousandths of a CPU. */
    private static final long LIMIT = 6000;

    /** One cell: its store, which outlives its leaders, and its present leader. */
    private final class Cell {
        final String name;
        final TreeMap<String, Store.Entry> keys = new TreeMap<>();
        boolean hasWork;
        Job job;
        int jobCount;
        long revision;
        long fencingToken;
        ShardState shard;
        QuotaShares quotaShares;
        ArrayDeque<StateWriter.BatchContributor> pendingWrites;

        /** Counts the leaders: answers to an earlier one are lost. */
        int leaderIncarnation;

        Cell(String name, boolean hasWork) {
            this.name = name;
            this.hasWork = hasWork;
            startLeader();
        }

        /** Starts a new leader, which knows the store's records only. */
        void startLeader() {
            leaderIncarnation++;
            fencingToken++;
            shard = new ShardState(settings(), machine -> {});
            shard.takeLeadership(fencingToken);
            pendingWrites = new ArrayDeque<>();
            int incarnation = leaderIncarnation;
            quotaShares =
                    new QuotaShares(
                            new CellContext(
                                    name,
                                    shard,
                                    pendingWrites::add,
                                    new ModelClock(),
                                    (toCell, message, answer) ->
                                            messages.add(
                                                    new Sent(
                                                            toCell,
                                                            message,
                                                            whileLeading(incarnation, answer))),
                                    new Random(1)));
            quotaShares.restore(storedState());
            job = null;
            if (hasWork) {
                submitJob();
            }
        }

        private Consumer<CellMessage> whileLeading(int incarnation, Consumer<CellMessage> answer) {
            return message -> {
                if (leaderIncarnation == incarnation) {
                    answer.accept(message);
                }
            };
        }

        private ClusterSettings settings() {
            double ownPart = LIMIT / 1000.0 / cellCount;
            return new ClusterSettings(
                    name,
                    "a",
                    List.of(),
                    List.of("a"),
                    Map.of("t", new ClusterSettings.Team("t", 0, ownPart, 0, 0)),
                    List.of(),
                    new ClusterSettings.WorkerTimings(1, 10, 30, 5, 30),
                    new ClusterSettings.StoreLimits(1000, 100, 8, 40),
                    new ClusterSettings.CloudLimits(10, 2),
                    new ClusterSettings.ProcessLimits(1, 200, 1000),
                    5);
        }

        private StateLoader.LoadedState storedState() {
            return new StateLoader.LoadedState(
                    0,
                    List.of(),
                    List.of(),
                    Map.of(),
                    new StateLoader.CellRecords(
                            List.of(),
                            List.of(),
                            List.of(),
                            entries(StoreKeys.VOIDED_NUMBERS),
                            entries(StoreKeys.QUOTA_SHARES)),
                    null,
                    Optional.empty());
        }

        List<Store.Entry> entries(String keyPrefix) {
            return keys.values().stream()
                    .filter(entry -> entry.key().startsWith(keyPrefix))
                    .toList();
        }

        private void submitJob() {
            JobSpec spec =
                    JobSpec.builder("j-" + ++jobCount)
                            .jobClass("work")
                            .team("t")
                            .shape(JobSpec.Shape.ARRAY)
                            .priority(JobSpec.Priority.NORMAL)
                            .taskCount(9)
                            .cpusPerTask(1)
                            .memoryGigabytesPerTask(1)
                            .image("img")
                            .imageGigabytes(1)
                            .estimatedSeconds(10)
                            .build();
            job = new Job(spec, 0, new double[] {9}, "k", 1, 256);
            shard.addJob(job);
        }

        /** Submits a job, or cancels the one that there is. */
        void toggleWork() {
            hasWork = !hasWork;
            if (hasWork) {
                submitJob();
            } else {
                job.requestCancel();
            }
        }

        Summary summary() {
            return new Summary(
                    name,
                    name,
                    1,
                    true,
                    List.of(),
                    List.of(),
                    List.of(),
                    quotaShares.summaryRows(100, 0));
        }

        /** Executes the next write; {@code isAnswered}: whether the leader learns of that. */
        void commit(boolean isAnswered) {
            StateWriter.BatchContributor contributor = pendingWrites.poll();
            if (!contributor.isStillWanted()) {
                return;
            }
            Store.Transaction transaction = new Store.Transaction();
            contributor.contributeTo(transaction);
            for (Store.Condition condition : transaction.conditions()) {
                Store.Entry entry = keys.get(condition.key());
                assertEquals(
                        entry == null ? 0 : entry.revision(),
                        condition.revision(),
                        "only the holder writes here");
            }
            revision++;
            transaction
                    .writes()
                    .forEach(
                            write ->
                                    keys.put(
                                            write.key(),
                                            new Store.Entry(write.key(), write.value(), revision)));
            if (isAnswered) {
                contributor.onCommitted(revision);
            }
        }

        /** The cell's share by its store, in thousandths of a CPU. */
        long storedShare() {
            return LIMIT / cellCount
                    + entries(StoreKeys.QUOTA_SHARES).stream()
                            .map(entry -> DocumentReader.of(entry.value()))
                            .mapToLong(
                                    share -> share.integer("cpus", Long.MIN_VALUE, Long.MAX_VALUE))
                            .sum();
        }

        /** Whether the store has it that the grant was received. */
        boolean hasReceived(String giver, long number) {
            Store.Entry entry = keys.get(StoreKeys.VOIDED_NUMBERS + "share/" + giver);
            return entry != null && SequenceNumbers.fromRecord(entry.value(), 0).isVoid(number);
        }

        @Override
        public String toString() {
            return name
                    + keys.values().stream().map(entry -> entry.key() + entry.value()).toList()
                    + quotaShares
                    + hasWork
                    + fencingToken
                    + pendingWrites.size();
        }
    }

    /** The model's time; nothing here sets timers. */
    private final class ModelClock implements Timers {
        @Override
        public double nowSeconds() {
            return now;
        }

        @Override
        public double wallClockMillis() {
            return now * 1000;
        }

        @Override
        public void schedule(double seconds, Runnable run) {
            throw new UnsupportedOperationException();
        }
    }

    /** A message, or an answer, that has not arrived. */
    private static final class Sent {
        final String toCell;
        final CellMessage message;
        final Consumer<CellMessage> answer;
        boolean isDuplicated;

        Sent(String toCell, CellMessage message, Consumer<CellMessage> answer) {
            this.toCell = toCell;
            this.message = message;
            this.answer = answer;
        }
    }

    private int cellCount;
    private double now;

    /** How often jobs may still be submitted or cancelled. */
    private int togglesLeft;

    private final List<Sent> messages = new ArrayList<>();

    /** Messages that arrived and have no answer yet; their senders give up in time. */
    private final List<Sent> unanswered = new ArrayList<>();

    private final Map<String, Cell> cells = new TreeMap<>();
    private final Set<String> visited = new HashSet<>();
    private long transitions;

    private void reset(int cellsToCreate) {
        cellCount = cellsToCreate;
        now = 0;
        togglesLeft = 2;
        messages.clear();
        unanswered.clear();
        cells.clear();
        for (int i = 0; i < cellCount; i++) {
            cells.put("c" + i, new Cell("c" + i, i > 0));
        }
    }

    /** Everything that may happen next, in an order that depends on the state alone. */
    private List<Runnable> actions() {
        List<Runnable> actions = new ArrayList<>();
        cells.values().forEach(cell -> addActionsOf(cell, actions));
        List.copyOf(messages).forEach(sent -> addActionsOf(sent, actions));
        return actions;
    }

    private void addActionsOf(Cell cell, List<Runnable> actions) {
        actions.add(() -> step(cell));
        if (togglesLeft > 0) {
            actions.add(
                    () -> {
                        togglesLeft--;
                        cell.toggleWork();
                    });
        }
        if (!cell.pendingWrites.isEmpty()) {
            actions.add(() -> cell.commit(true));
            actions.add(cell::startLeader);
            actions.add(
                    () -> {
                        cell.commit(false);
                        cell.startLeader();
                    });
        }
    }

    private void addActionsOf(Sent sent, List<Runnable> actions) {
        actions.add(
                () -> {
                    messages.remove(sent);
                    arrive(sent);
                });
        actions.add(
                () -> {
                    messages.remove(sent);
                    sent.answer.accept(null);
                });
        if (!sent.isDuplicated && sent.message instanceof QuotaGrant) {
            actions.add(
                    () -> {
                        sent.isDuplicated = true;
                        arrive(new Sent(sent.toCell, sent.message, message -> {}));
                    });
        }
    }

    private void arrive(Sent sent) {
        if (sent.message instanceof QuotaGrant grant) {
            unanswered.add(sent);
            cells.get(sent.toCell)
                    .quotaShares
                    .onGrant(
                            grant,
                            reply -> {
                                if (unanswered.remove(sent)) {
                                    messages.add(new Sent(grant.fromCell(), reply, sent.answer));
                                }
                            });
        } else {
            sent.answer.accept(sent.message);
        }
    }

    private void step(Cell stepping) {
        now += 1000;
        List<Summary> others =
                cells.values().stream()
                        .filter(cell -> cell != stepping)
                        .map(Cell::summary)
                        .toList();
        stepping.summary();
        stepping.quotaShares.rebalance(others);
        stepping.quotaShares.reconcile(now);
    }

    /** Shares and grants under way add up to exactly the quota, and no cell uses more than its. */
    private void checkQuotaHolds(String path) {
        long sum = 0;
        for (Cell cell : cells.values()) {
            sum += cell.storedShare() + amountInTransit(cell);
            ClusterSettings.Team team = cell.shard.settings().teams().get("t");
            assertTrue(
                    Math.round(cell.quotaShares.maxCpus(team) * 1000) <= cell.storedShare(),
                    () -> cell.name + " uses what its store lacks: " + path);
        }
        assertEquals(LIMIT, sum, "limit and shares, after " + path);
    }

    /** Granted by the cell's store and not received by that of the other cell. */
    private long amountInTransit(Cell giver) {
        long sum = 0;
        for (Store.Entry entry : giver.entries(StoreKeys.QUOTA_SHARES)) {
            for (Object grant : DocumentReader.of(entry.value()).list("out")) {
                List<?> fields = (List<?>) grant;
                Cell receiver = cells.get((String) fields.get(1));
                if (!receiver.hasReceived(giver.name, ((Number) fields.get(0)).longValue())) {
                    sum += ((Number) fields.get(3)).longValue();
                }
            }
        }
        return sum;
    }

    /** Without further failures, all grants arrive, and the cells with work get the quota. */
    private void checkSettles(String path) {
        for (int round = 0; round < 12; round++) {
            List<Sent> givenUp = List.copyOf(unanswered);
            unanswered.clear();
            givenUp.forEach(sent -> sent.answer.accept(null));
            cells.values().forEach(this::step);
            while (!messages.isEmpty()) {
                arrive(messages.remove(0));
            }
            cells.values()
                    .forEach(
                            cell -> {
                                while (!cell.pendingWrites.isEmpty()) {
                                    cell.commit(true);
                                }
                            });
        }
        checkQuotaHolds(path + " and then quiet");
        cells.values().forEach(cell -> assertEquals(0, cell.quotaShares.grantsInTransit(), path));
        List<Cell> wanting = cells.values().stream().filter(cell -> cell.hasWork).toList();
        if (!wanting.isEmpty()) {
            assertEquals(
                    LIMIT,
                    wanting.stream().mapToLong(Cell::storedShare).sum(),
                    "all is where it is wanted, after " + path);
            assertTrue(
                    wanting.stream()
                            .allMatch(
                                    cell -> cell.storedShare() >= LIMIT / cellCount / 1000 * 1000),
                    "nobody waits for ever, after " + path);
        }
    }

    private void explore(int cellsToCreate, int[] path, int depth, int maxDepth) {
        reset(cellsToCreate);
        for (int i = 0; i < depth; i++) {
            actions().get(path[i]).run();
        }
        String pathText = Arrays.toString(Arrays.copyOf(path, depth));
        checkQuotaHolds(pathText);
        if (!visited.add(stateText())) {
            return;
        }
        int actionCount = depth == maxDepth ? 0 : actions().size();
        checkSettles(pathText);
        for (int action = 0; action < actionCount; action++) {
            transitions++;
            path[depth] = action;
            explore(cellsToCreate, path, depth + 1, maxDepth);
        }
    }

    private String stateText() {
        List<String> underWay =
                messages.stream()
                        .map(sent -> sent.toCell + sent.message + sent.isDuplicated)
                        .sorted()
                        .toList();
        List<String> arrived =
                unanswered.stream().map(sent -> sent.toCell + sent.message).sorted().toList();
        return cells.values() + underWay.toString() + arrived + togglesLeft;
    }

    @Test
    void sharesAfterAnyInterleavingOfFailuresAddUpToTheQuotaAndSettle() {
        int maxDepth = Integer.getInteger("kitepath.model.depth", 7);
        explore(2, new int[20], 0, maxDepth);
        int statesOfTwoCells = visited.size();
        visited.clear();
        explore(3, new int[20], 0, maxDepth - 2);
        int statesOfThreeCells = visited.size();
        System.out.println(
                "shares: "
                        + statesOfTwoCells
                        + " states of two cells, "
                        + statesOfThreeCells
                        + " of three, "
                        + transitions
                        + " transitions");
        assertTrue(
                statesOfTwoCells > 500 && statesOfThreeCells > 100,
                statesOfTwoCells + " and " + statesOfThreeCells);
    }
}
