package io.kitepath.core;

import static io.kitepath.core.MeetingsTest.other;
import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.Worlds.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Answer;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Users ask at all nodes, again and again within milliseconds, and repeat the submission, right
 * after a job was accepted, ended or confirmed as cancelled; some cancel at once. No node may then
 * answer something older, whatever else meets.
 */
class CloseLooksTest {
    /** Between two questions at the same node, and how many there are. */
    private static final double EVERY_S = 0.005;

    private static final int TIMES = 16;

    private int questions;
    private int lost;

    /**
     * From the moment in which the store has it that a job is accepted or over, so also before any
     * user was told.
     */
    private void storm(SimulatedCluster w, Random random) {
        w.store.written =
                (by, t) ->
                        t.writes().stream()
                                .filter(
                                        x ->
                                                x.value() != null
                                                        && (x.key().startsWith(StoreKeys.OPEN)
                                                                || x.key()
                                                                        .startsWith(
                                                                                StoreKeys.OVER)))
                                .forEach(
                                        x -> {
                                            String id =
                                                    x.key().substring(x.key().lastIndexOf('/') + 1);
                                            if (w.specs.containsKey(id)) {
                                                around(w, id, random);
                                            }
                                        });
    }

    private void around(SimulatedCluster w, String id, Random random) {
        for (String k : w.siblings) {
            for (int i = 0; i <= TIMES; i++) {
                boolean repeats = i == TIMES;
                w.after(
                        (repeats ? random.nextDouble() * TIMES : i + random.nextDouble()) * EVERY_S,
                        () -> {
                            SimulatedNode n = w.nodes.get(k);
                            if (n.alive && repeats) {
                                w.users.repeat(n, id);
                            } else if (n.alive) {
                                w.users.ask(n, id);
                            }
                            questions += n.alive ? 1 : 0;
                        });
            }
        }
    }

    private static void kill(SimulatedCluster w, SimulatedNode n, double backAfterS) {
        if (n.alive) {
            n.kill();
            w.after(backAfterS, () -> w.node(n.name));
        }
    }

    /** All that was accepted ends, and every node says so. */
    private static void ends(SimulatedCluster w, double seconds, String at) {
        w.store.written = (by, t) -> {};
        w.store.unheard = t -> false;
        w.latencyS = null;
        w.run(1);
        w.rules.calm();
        w.run(seconds);
        for (String id : w.accepted.keySet()) {
            for (String k : w.siblings) {
                String status = w.status(w.nodes.get(k), id);
                assertTrue(
                        List.of("done", "cancelled").contains(status),
                        at + ": " + id + " is " + status);
            }
        }
        assertEquals(List.of(), w.broken, at);
    }

    /**
     * Requests that take from one to 600 ms, lost answers, nodes that end, come back or stand
     * still.
     */
    @Test
    void noNodeAnswersSomethingOlderWhateverElseMeets() {
        int accepted = 0;
        int cancelled = 0;
        for (long seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            SimulatedCluster w = settled(3, 4);
            w.closeLooks = true;
            w.runsFor = id -> 1 + Math.floorMod(id.hashCode(), 4);
            w.latencyS = () -> 0.001 + random.nextDouble() * (random.nextInt(12) == 0 ? 0.6 : 0.01);
            w.store.unheard =
                    t -> {
                        boolean no = !t.writes().isEmpty() && random.nextInt(12) == 0;
                        lost += no ? 1 : 0;
                        return no;
                    };
            w.cancelsAtEnd = t -> Math.floorMod(t.job.hashCode(), 3) == 0;
            storm(w, random);
            for (int i = 0; i < 10; i++) {
                String id = "j-" + (100 + i);
                w.specs.put(
                        id,
                        job(id, i % 3 == 0 ? Shape.GANG : Shape.ARRAY, 1 + random.nextInt(2), 1));
                w.users.repeat(w.nodes.get("k" + random.nextInt(3)), id);
                if (random.nextInt(3) == 0) {
                    SimulatedNode n = w.nodes.get("k" + random.nextInt(3));
                    w.after(
                            random.nextDouble() * 0.05,
                            () -> w.users.cancel(w.nodes.get(n.name), id));
                }
                SimulatedNode n = w.nodes.get("k" + random.nextInt(3));
                switch (random.nextInt(6)) {
                    case 0 ->
                            w.after(
                                    random.nextDouble() * 0.1,
                                    () -> kill(w, w.nodes.get(n.name), 0.3));
                    case 1 ->
                            w.after(
                                    random.nextDouble() * 0.1,
                                    () -> n.frozenUntil = w.clock.now + random.nextDouble());
                    default -> {}
                }
                w.run(0.4 + random.nextDouble());
            }
            ends(w, 30, "seed " + seed);
            accepted += w.accepted.size();
            cancelled += w.toldCancelled.size();
        }
        System.out.println(
                "close looks: "
                        + accepted
                        + " accepted, "
                        + cancelled
                        + " cancelled, "
                        + questions
                        + " questions, "
                        + lost
                        + " answers lost");
        assertTrue(accepted > 300 && cancelled > 60 && questions > 30_000 && lost > 40);
    }

    /**
     * The node that took the submission ends at each millisecond around its answer, and is back
     * after 0.3 s.
     */
    @Test
    void whatANodeAcceptedAsItEndedIsForgottenByNone() {
        int told = 0;
        for (int holds = 0; holds < 2; holds++) {
            for (int ms = 0; ms <= 40; ms += 2) {
                SimulatedCluster w = settled(3, 2);
                w.closeLooks = true;
                w.runsFor = id -> 2;
                w.latencyS = () -> 0.005;
                Random random = new Random(ms);
                storm(w, random);
                SimulatedNode taker = holds == 1 ? w.leader() : other(w, w.leader());
                w.specs.put("j-1", job("j-1", Shape.ARRAY, 1, 1));
                w.users.repeat(taker, "j-1");
                w.run(ms / 1000.0);
                kill(w, taker, 0.3);
                w.run(0.2);
                told += w.accepted.size();
                w.users.repeat(other(w, taker), "j-1");
                w.run(1);
                assertEquals(1, w.accepted.size());
                ends(w, 25, "ends after " + ms + " ms" + (holds == 1 ? ", holding" : ""));
            }
        }
        assertTrue(told > 20, "told " + told);
    }

    /**
     * The id again with other needs, as one that waits for itself, or larger than can be kept:
     * known is known.
     */
    @Test
    void aRepeatWithAnotherBodyIsNeverRefusedOnceTheJobWasAccepted() {
        int known = 0;
        for (int way = 0; way < 3; way++) {
            for (int back = 0; back < 3; back++) {
                SimulatedCluster w = settled(3, 3);
                w.runsFor = id -> 4;
                w.submit(w.nodes.get("k1"), job("j-1", Shape.ARRAY, 1, 1));
                if (way == 1) {
                    w.cancel(w.nodes.get("k2"), "j-1");
                } else if (way == 2) {
                    w.run(10);
                    assertEquals("done", w.status(w.nodes.get("k1"), "j-1"));
                }
                kill(w, w.nodes.get("k" + back), 0.3);
                // Nobody of that name ever was there, so the same needs are refused for any other
                // id.
                var wrong =
                        List.of(
                                List.of("j-77"),
                                List.of("j-1"),
                                IntStream.range(0, 30).mapToObj(i -> "j-9" + i).toList(),
                                IntStream.range(0, 2000).mapToObj(i -> "j-8" + i).toList());
                for (int i = 0; i < 80; i++) {
                    SimulatedNode n = w.nodes.get("k" + i % 3);
                    List<String> needs = wrong.get(i / 3 % wrong.size());
                    Answer[] got = new Answer[1];
                    if (n.alive) {
                        n.controller
                                .registry()
                                .submit(
                                        job("j-1", Shape.ARRAY, 1 + i % 2, 1),
                                        needs,
                                        a -> got[0] = a);
                    }
                    w.run(0.03);
                    if (got[0] != null) {
                        assertTrue(
                                List.of(Verdict.KNOWN, Verdict.LATER).contains(got[0].verdict()),
                                got[0].toString());
                        known += got[0].verdict() == Verdict.KNOWN ? 1 : 0;
                    }
                }
                Answer[] other = new Answer[1];
                w.leader()
                        .controller
                        .registry()
                        .submit(job("j-2", Shape.ARRAY, 1, 1), List.of("j-77"), a -> other[0] = a);
                w.run(0.2);
                assertEquals(Verdict.REFUSED, other[0].verdict());
                ends(w, 30, "way " + way + ", back " + back);
            }
        }
        assertTrue(known > 300, "known " + known);
    }

    // ---- answers on their way
    // ---------------------------------------------------------------------

    /** Asks there, and leaves what it hears, and when, to the story. */
    private static void ask(SimulatedNode n, String id, Consumer<Answer> hears) {
        n.deliver(() -> n.controller.registry().status(id, hears));
    }

    private static boolean says(Answer a, String status) {
        return a.verdict() == Verdict.KNOWN && a.state().status().equals(status);
    }

    /**
     * A node that was told of an end says so also to whoever asked it a moment before, when its
     * answer goes out later.
     */
    @Test
    void anAnswerOnItsWayIsNotOlderThanTheEndThatWasHeardOfMeanwhile() {
        int met = 0;
        for (long seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            SimulatedCluster w = settled(3, 2);
            w.runsFor = id -> 60;
            w.submit(w.leader(), job("j-1", Shape.ARRAY, 2, 1));
            w.run(4);
            w.latencyS = () -> 0.001 + random.nextDouble() * 0.06;
            double[] toldAt = {Double.POSITIVE_INFINITY};
            int[] onTheWay = new int[1];
            List<String> older = new ArrayList<>();
            for (String k : w.siblings) {
                for (int i = 0; i < 60; i++) {
                    w.after(
                            i * 0.004,
                            () -> {
                                double asked = w.clock.now;
                                ask(
                                        w.nodes.get(k),
                                        "j-1",
                                        a -> {
                                            // The canceller's word takes a millisecond to its
                                            // siblings.
                                            boolean after = w.clock.now > toldAt[0] + 0.0015;
                                            onTheWay[0] += after && asked < toldAt[0] ? 1 : 0;
                                            if (after && !says(a, "cancelled")) {
                                                older.add(k + " says " + a);
                                            }
                                        });
                            });
                }
            }
            w.after(
                    0.05,
                    () ->
                            w.nodes
                                    .get("k" + random.nextInt(3))
                                    .controller
                                    .registry()
                                    .cancel(
                                            "j-1",
                                            a -> {
                                                assertTrue(says(a, "cancelled"));
                                                toldAt[0] = w.clock.now;
                                            }));
            w.run(2);
            assertTrue(toldAt[0] < w.clock.now);
            assertEquals(List.of(), older, "seed " + seed);
            met += onTheWay[0];
        }
        assertTrue(met > 60, "on the way " + met);
    }

    /**
     * A node that has said that a job is accepted does not answer an earlier question with 404 any
     * more.
     */
    @Test
    void anAnswerOnItsWayIsNotOlderThanTheAcceptance() {
        int met = 0;
        for (long seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            SimulatedCluster w = settled(3, 2);
            w.latencyS = () -> 0.001 + random.nextDouble() * 0.06;
            SimulatedNode n = w.nodes.get("k" + seed % 3);
            boolean[] accepted = new boolean[1];
            List<Answer> onTheWay = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                w.after(
                        i * 0.003,
                        () -> {
                            boolean before = !accepted[0];
                            ask(
                                    n,
                                    "j-1",
                                    a -> {
                                        if (before && accepted[0]) {
                                            onTheWay.add(a);
                                        }
                                    });
                        });
            }
            w.after(
                    0.02,
                    () ->
                            n.controller
                                    .registry()
                                    .submit(
                                            job("j-1", Shape.ARRAY, 1, 1),
                                            List.of(),
                                            a -> accepted[0] = a.verdict() == Verdict.CREATED));
            w.run(1);
            assertTrue(accepted[0]);
            assertTrue(
                    onTheWay.stream().noneMatch(a -> a.verdict() == Verdict.NOT_FOUND),
                    "seed " + seed + " " + onTheWay);
            met += onTheWay.size();
        }
        assertTrue(met > 60, "on the way " + met);
    }
}
