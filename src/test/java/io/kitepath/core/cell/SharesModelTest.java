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
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Every way in which shares can move between a few cells up to some length: the core's own code,
 * with each message delivered, lost or delivered twice, and each holder ended before or after each
 * of its writes.
 */
class SharesModelTest {
    /** Of the team, in thousandths of a CPU. */
    private static final long LIMIT = 6000;

    /** One cell: its store, which lasts, and its holder, which does not. */
    private final class Cell {
        final String name;
        final TreeMap<String, Store.Entry> keys = new TreeMap<>();
        boolean wants;
        Job job;
        int named;
        long revision;
        long token;
        ShardState shard;
        QuotaShares quotaShares;
        ArrayDeque<StateWriter.BatchContributor> riders;

        /** Of the present holder: what an earlier one was to hear is heard by nobody. */
        int incarnation;

        Cell(String name, boolean wants) {
            this.name = name;
            this.wants = wants;
            begin();
        }

        /** A new holder that knows the store's records only. */
        void begin() {
            incarnation++;
            token++;
            ClusterSettings settings =
                    new ClusterSettings(
                            name,
                            "a",
                            List.of(),
                            List.of("a"),
                            Map.of(
                                    "t",
                                    new ClusterSettings.Team("t", 0, LIMIT / 1000.0 / count, 0, 0)),
                            List.of(),
                            new ClusterSettings.WorkerTimings(1, 10, 30, 5, 30),
                            new ClusterSettings.StoreLimits(1000, 100, 8, 40),
                            new ClusterSettings.CloudLimits(10, 2),
                            new ClusterSettings.ProcessLimits(1, 200, 1000),
                            5);
            shard = new ShardState(settings, machine -> {});
            shard.takeLeadership(token);
            riders = new ArrayDeque<>();
            int mine = incarnation;
            quotaShares =
                    new QuotaShares(
                            new CellContext(
                                    name,
                                    shard,
                                    riders::add,
                                    new Timers() {
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
                                    },
                                    (to, m, answer) ->
                                            messages.add(
                                                    new Sent(
                                                            to,
                                                            m,
                                                            a -> {
                                                                if (incarnation == mine) {
                                                                    answer.accept(a);
                                                                }
                                                            })),
                                    new Random(1)));
            List<Store.Entry> all = List.copyOf(keys.values());
            quotaShares.restore(
                    new StateLoader.LoadedState(
                            0,
                            List.of(),
                            List.of(),
                            Map.of(),
                            List.of(),
                            List.of(),
                            List.of(),
                            all.stream()
                                    .filter(
                                            entry ->
                                                    entry.key()
                                                            .startsWith(StoreKeys.VOIDED_NUMBERS))
                                    .toList(),
                            all.stream()
                                    .filter(entry -> entry.key().startsWith(StoreKeys.QUOTA_SHARES))
                                    .toList(),
                            null,
                            null));
            job = null;
            if (wants) {
                want();
            }
        }

        private void want() {
            job =
                    new Job(
                            new JobSpec(
                                    "j-" + ++named,
                                    "work",
                                    "t",
                                    JobSpec.Shape.ARRAY,
                                    JobSpec.Priority.NORMAL,
                                    9,
                                    1,
                                    0,
                                    1,
                                    null,
                                    null,
                                    false,
                                    false,
                                    false,
                                    "img",
                                    1,
                                    10,
                                    0,
                                    0,
                                    null),
                            0,
                            new double[] {9},
                            "k",
                            1,
                            256);
            shard.addJob(job);
        }

        /** Its work is gone, or there is some now. */
        void turn() {
            wants = !wants;
            if (wants) {
                want();
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

        /** The next rider's transaction, executed; whether its holder hears of it. */
        void commit(boolean heard) {
            StateWriter.BatchContributor contributor = riders.poll();
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
            if (heard) {
                contributor.onCommitted(revision);
            }
        }

        /** What the store says that it has. */
        long stored() {
            return LIMIT / count
                    + keys.values().stream()
                            .filter(entry -> entry.key().startsWith(StoreKeys.QUOTA_SHARES))
                            .mapToLong(
                                    entry ->
                                            DocumentReader.of(entry.value())
                                                    .integer(
                                                            "cpus", Long.MIN_VALUE, Long.MAX_VALUE))
                            .sum();
        }

        boolean took(String giver, long number) {
            Store.Entry entry = keys.get(StoreKeys.VOIDED_NUMBERS + "share/" + giver);
            return entry != null && SequenceNumbers.fromRecord(entry.value(), 0).isVoid(number);
        }

        @Override
        public String toString() {
            return name
                    + keys.values().stream().map(entry -> entry.key() + entry.value()).toList()
                    + quotaShares
                    + wants
                    + token
                    + riders.size();
        }
    }

    /** A message, or an answer, that has not arrived. */
    private static final class Sent {
        final String to;
        final CellMessage message;
        final Consumer<CellMessage> answer;
        boolean doubled;

        Sent(String to, CellMessage message, Consumer<CellMessage> answer) {
            this.to = to;
            this.message = message;
            this.answer = answer;
        }
    }

    private int count;
    private double now;

    /** How often work may still come to a cell or go from it. */
    private int turns;

    private final List<Sent> messages = new ArrayList<>();

    /** Questions that arrived and got no answer yet; in time they are given up. */
    private final List<Sent> unanswered = new ArrayList<>();

    private final Map<String, Cell> cells = new TreeMap<>();
    private final Set<String> visited = new HashSet<>();
    private long edges;

    private void begin(int n) {
        count = n;
        now = 0;
        turns = 2;
        messages.clear();
        unanswered.clear();
        cells.clear();
        for (int i = 0; i < n; i++) {
            cells.put("c" + i, new Cell("c" + i, i > 0));
        }
    }

    private interface Action {
        void run();
    }

    /** All that may happen next, in an order that depends on the state alone. */
    private List<Action> actions() {
        List<Action> out = new ArrayList<>();
        for (Cell cell : cells.values()) {
            out.add(() -> step(cell));
            if (turns > 0) {
                out.add(
                        () -> {
                            turns--;
                            cell.turn();
                        });
            }
            if (!cell.riders.isEmpty()) {
                out.add(() -> cell.commit(true));
                out.add(cell::begin);
                out.add(
                        () -> {
                            cell.commit(false);
                            cell.begin();
                        });
            }
        }
        for (Sent m : List.copyOf(messages)) {
            out.add(
                    () -> {
                        messages.remove(m);
                        arrive(m);
                    });
            out.add(
                    () -> {
                        messages.remove(m);
                        m.answer.accept(null);
                    });
            if (!m.doubled && m.message instanceof QuotaGrant) {
                out.add(
                        () -> {
                            m.doubled = true;
                            arrive(new Sent(m.to, m.message, message -> {}));
                        });
            }
        }
        return out;
    }

    private void arrive(Sent m) {
        if (m.message instanceof QuotaGrant g) {
            unanswered.add(m);
            cells.get(m.to)
                    .quotaShares
                    .onGrant(
                            g,
                            message -> {
                                if (unanswered.remove(m)) {
                                    messages.add(new Sent(g.fromCell(), message, m.answer));
                                }
                            });
        } else {
            m.answer.accept(m.message);
        }
    }

    private void step(Cell c) {
        now += 1000;
        List<Summary> others =
                cells.values().stream().filter(x -> x != c).map(Cell::summary).toList();
        c.summary();
        c.quotaShares.rebalance(others);
        c.quotaShares.reconcile(now);
    }

    /** Never more than the limit in the stores and under way, and none of it lost. */
    private void check(String path) {
        long sum = 0;
        for (Cell cell : cells.values()) {
            sum += cell.stored();
            for (Store.Entry entry : cell.keys.values()) {
                if (entry.key().startsWith(StoreKeys.QUOTA_SHARES)) {
                    for (Object o : DocumentReader.of(entry.value()).list("out")) {
                        List<?> l = (List<?>) o;
                        if (!cells.get((String) l.get(1))
                                .took(cell.name, ((Number) l.get(0)).longValue())) {
                            sum += ((Number) l.get(3)).longValue();
                        }
                    }
                }
            }
            ClusterSettings.Team team = cell.shard.settings().teams().get("t");
            assertTrue(
                    Math.round(cell.quotaShares.maxCpus(team) * 1000) <= cell.stored(),
                    () -> cell.name + " uses what its store lacks: " + path);
        }
        assertEquals(LIMIT, sum, "limit and shares, after " + path);
    }

    /** Without failures, all arrives, and who wants gets it. */
    private void settles(String path) {
        for (int round = 0; round < 12; round++) {
            List<Sent> givenUp = List.copyOf(unanswered);
            unanswered.clear();
            givenUp.forEach(m -> m.answer.accept(null));
            cells.values().forEach(this::step);
            while (!messages.isEmpty()) {
                arrive(messages.remove(0));
            }
            cells.values()
                    .forEach(
                            cell -> {
                                while (!cell.riders.isEmpty()) {
                                    cell.commit(true);
                                }
                            });
        }
        check(path + " and then quiet");
        cells.values().forEach(cell -> assertEquals(0, cell.quotaShares.grantsInTransit(), path));
        List<Cell> wanting = cells.values().stream().filter(cell -> cell.wants).toList();
        if (!wanting.isEmpty()) {
            assertEquals(
                    LIMIT,
                    wanting.stream().mapToLong(Cell::stored).sum(),
                    "all is where it is wanted, after " + path);
            assertTrue(
                    wanting.stream().allMatch(cell -> cell.stored() >= LIMIT / count / 1000 * 1000),
                    "nobody waits for ever, after " + path);
        }
    }

    private void explore(int n, int[] path, int depth, int most) {
        begin(n);
        for (int i = 0; i < depth; i++) {
            actions().get(path[i]).run();
        }
        String at = Arrays.toString(Arrays.copyOf(path, depth));
        check(at);
        String state =
                cells.values()
                        + messages.stream()
                                .map(m -> m.to + m.message + m.doubled)
                                .sorted()
                                .toList()
                                .toString()
                        + unanswered.stream().map(m -> m.to + m.message).sorted().toList()
                        + turns;
        if (!visited.add(state)) {
            return;
        }
        int k = depth == most ? 0 : actions().size();
        settles(at);
        for (int i = 0; i < k; i++) {
            edges++;
            path[depth] = i;
            explore(n, path, depth + 1, most);
        }
    }

    @Test
    void whateverHappensInAFewStepsTheLimitHoldsAndNothingIsLost() {
        explore(2, new int[20], 0, Integer.getInteger("kitepath.model.depth", 7));
        int two = visited.size();
        visited.clear();
        explore(3, new int[20], 0, Integer.getInteger("kitepath.model.depth", 7) - 2);
        System.out.println(
                "shares: "
                        + two
                        + " states of two cells, "
                        + visited.size()
                        + " of three, "
                        + edges
                        + " transitions");
        assertTrue(two > 500 && visited.size() > 100, two + " and " + visited.size());
    }
}
