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
        ShardState block;
        QuotaShares shares;
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
            ClusterSettings facts =
                    new ClusterSettings(
                            name,
                            "a",
                            List.of(),
                            List.of("a"),
                            Map.of(
                                    "t",
                                    new ClusterSettings.Team("t", 0, LIMIT / 1000.0 / count, 0, 0)),
                            List.of(),
                            new ClusterSettings.Workers(1, 10, 30, 5, 30),
                            new ClusterSettings.StoreLimits(1000, 100, 8, 40),
                            new ClusterSettings.CloudLimits(10, 2),
                            new ClusterSettings.Limits(1, 200, 1000),
                            5);
            block = new ShardState(facts, m -> {});
            block.hold(token);
            riders = new ArrayDeque<>();
            int mine = incarnation;
            shares =
                    new QuotaShares(
                            name,
                            block,
                            riders::add,
                            new Timers() {
                                @Override
                                public double now() {
                                    return now;
                                }

                                @Override
                                public double wallMs() {
                                    return now * 1000;
                                }

                                @Override
                                public void after(double seconds, Runnable run) {
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
                            new Random(1));
            List<Store.Entry> all = List.copyOf(keys.values());
            shares.adopt(
                    new StateLoader.LoadedState(
                            0,
                            List.of(),
                            List.of(),
                            Map.of(),
                            List.of(),
                            List.of(),
                            List.of(),
                            all.stream().filter(e -> e.key().startsWith(StoreKeys.VOID)).toList(),
                            all.stream().filter(e -> e.key().startsWith(StoreKeys.SHARE)).toList(),
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
            block.addJob(job);
        }

        /** Its work is gone, or there is some now. */
        void turn() {
            wants = !wants;
            if (wants) {
                want();
            } else {
                job.leave();
            }
        }

        Summary summary() {
            return new Summary(
                    name, name, 1, true, List.of(), List.of(), List.of(), shares.told(100, 0));
        }

        /** The next rider's transaction, executed; whether its holder hears of it. */
        void commit(boolean heard) {
            StateWriter.BatchContributor r = riders.poll();
            if (!r.wanted()) {
                return;
            }
            Store.Transaction t = new Store.Transaction();
            r.board(t);
            for (Store.Condition c : t.conditions()) {
                Store.Entry e = keys.get(c.key());
                assertEquals(
                        e == null ? 0 : e.revision(), c.revision(), "only the holder writes here");
            }
            revision++;
            t.writes()
                    .forEach(w -> keys.put(w.key(), new Store.Entry(w.key(), w.value(), revision)));
            if (heard) {
                r.written(revision);
            }
        }

        /** What the store says that it has. */
        long stored() {
            return LIMIT / count
                    + keys.values().stream()
                            .filter(e -> e.key().startsWith(StoreKeys.SHARE))
                            .mapToLong(
                                    e ->
                                            DocumentReader.of(e.value())
                                                    .integer(
                                                            "cpus", Long.MIN_VALUE, Long.MAX_VALUE))
                            .sum();
        }

        boolean took(String giver, long number) {
            Store.Entry e = keys.get(StoreKeys.VOID + "share/" + giver);
            return e != null && SequenceNumbers.read(e.value(), 0).isVoid(number);
        }

        @Override
        public String toString() {
            return name
                    + keys.values().stream().map(e -> e.key() + e.value()).toList()
                    + shares
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
        for (Cell c : cells.values()) {
            out.add(() -> step(c));
            if (turns > 0) {
                out.add(
                        () -> {
                            turns--;
                            c.turn();
                        });
            }
            if (!c.riders.isEmpty()) {
                out.add(() -> c.commit(true));
                out.add(c::begin);
                out.add(
                        () -> {
                            c.commit(false);
                            c.begin();
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
                            arrive(new Sent(m.to, m.message, a -> {}));
                        });
            }
        }
        return out;
    }

    private void arrive(Sent m) {
        if (m.message instanceof QuotaGrant g) {
            unanswered.add(m);
            cells.get(m.to)
                    .shares
                    .granted(
                            g,
                            a -> {
                                if (unanswered.remove(m)) {
                                    messages.add(new Sent(g.from(), a, m.answer));
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
        c.shares.divide(others);
        c.shares.tend(now);
    }

    /** Never more than the limit in the stores and under way, and none of it lost. */
    private void check(String path) {
        long sum = 0;
        for (Cell c : cells.values()) {
            sum += c.stored();
            for (Store.Entry e : c.keys.values()) {
                if (e.key().startsWith(StoreKeys.SHARE)) {
                    for (Object o : DocumentReader.of(e.value()).list("out")) {
                        List<?> l = (List<?>) o;
                        if (!cells.get((String) l.get(1))
                                .took(c.name, ((Number) l.get(0)).longValue())) {
                            sum += ((Number) l.get(3)).longValue();
                        }
                    }
                }
            }
            ClusterSettings.Team t = c.block.facts().teams().get("t");
            assertTrue(
                    Math.round(c.shares.cpus(t) * 1000) <= c.stored(),
                    () -> c.name + " uses what its store lacks: " + path);
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
                            c -> {
                                while (!c.riders.isEmpty()) {
                                    c.commit(true);
                                }
                            });
        }
        check(path + " and then quiet");
        cells.values().forEach(c -> assertEquals(0, c.shares.underWay(), path));
        List<Cell> wanting = cells.values().stream().filter(c -> c.wants).toList();
        if (!wanting.isEmpty()) {
            assertEquals(
                    LIMIT,
                    wanting.stream().mapToLong(Cell::stored).sum(),
                    "all is where it is wanted, after " + path);
            assertTrue(
                    wanting.stream().allMatch(c -> c.stored() >= LIMIT / count / 1000 * 1000),
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
