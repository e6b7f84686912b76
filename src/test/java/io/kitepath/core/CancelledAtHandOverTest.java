package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.Worlds;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * Jobs are cancelled while one controller's work changes hands, at each step of it and through each
 * node, and at the very moment at which the store refuses the leader alone, a second before it is
 * out for longer than cancel_s, at each step of the cancelling transaction. Work that runs, gangs,
 * and what was placed and not launched yet. What starts although its user was told before is
 * counted: nobody can call back an answer that is under way.
 */
class CancelledAtHandOverTest {
    /** How a controller's work comes to change hands. */
    private enum Change {
        STOPPED,
        KILLED,
        FROZEN,
        REFUSED,
        ALONE;

        void happens(SimulatedCluster w, SimulatedNode n, double backAfterS) {
            switch (this) {
                case STOPPED -> {
                    n.controller.stop();
                    w.after(0.3, n::kill);
                }
                case KILLED -> n.kill();
                case FROZEN -> n.frozenUntil = w.clock.now + backAfterS;
                default -> {
                    n.cutFromStore = true;
                    n.cutFrom.addAll(this == ALONE ? w.siblings : List.of());
                }
            }
            w.after(
                    backAfterS,
                    () -> {
                        n.cutFromStore = false;
                        n.cutFrom.clear();
                        if (!n.alive && w.nodes.get(n.name) == n) {
                            w.node(n.name).clockOffMs = n.clockOffMs;
                        }
                    });
        }
    }

    /** A moment of the change: before it, at it, or a step of the one that takes over. */
    private enum Step {
        BEFORE,
        AT,
        AFTER,
        CLAIMED,
        LISTED,
        READ,
        LAUNCHED
    }

    private static final List<String> CANCELLED = List.of("j-1", "j-2", "j-3", "j-4");

    private SimulatedCluster w;
    private SimulatedNode old;
    private int runs;

    /**
     * Starts of jobs whose users had been told before that they are cancelled, and at most how long
     * before.
     */
    private int tooLate;

    private double latestS;

    /** Work that runs, and, placed a moment ago, work that was not launched everywhere yet. */
    private void busy() {
        w = Worlds.settled(3, 6);
        w.runsFor = id -> 400;
        w.nodes.get("k0").clockOffMs = 5;
        w.nodes.get("k2").clockOffMs = -5;
        old = w.leader();
        w.submit(old, job("j-1", Shape.ARRAY, 5, 1));
        w.submit(old, job("j-2", Shape.GANG, 3, 1));
        w.submit(old, job("j-9", Shape.ARRAY, 4, 1));
        w.run(5);
        assertEquals(8, w.onMachines("j-1") + w.onMachines("j-2"));
        w.closeLooks = true;
    }

    /**
     * Placed, and launched at those machines only that happened to report; returns a node for users
     * to cancel at.
     */
    private SimulatedNode fresh(int through) {
        w.run(runs % 10 * 0.2);
        w.submit(old, job("j-3", Shape.ARRAY, 6, 1));
        w.submit(old, job("j-4", Shape.GANG, 4, 1));
        List<SimulatedNode> nodes = new ArrayList<>(w.nodes.values());
        return nodes.get((nodes.indexOf(old) + through) % 3);
    }

    private void cancels(SimulatedNode first) {
        w.accepted.keySet().stream()
                .filter(CANCELLED::contains)
                .sorted()
                .forEach(id -> w.users.cancel(first, id));
    }

    /** Whether the one that takes over is as far as that. */
    private boolean reached(Step step) {
        return step.compareTo(Step.AFTER) <= 0
                || w.nodes.values().stream()
                        .anyMatch(
                                n ->
                                        n != old
                                                && n.alive
                                                && n.controller.leadership.leading()
                                                && (step == Step.CLAIMED
                                                        || (step == Step.LISTED
                                                                ? n.controller.keeper.knowsRunning()
                                                                : n.controller.keeper.loaded()
                                                                        && (step == Step.READ
                                                                                || n.controller
                                                                                                .heartbeats
                                                                                                .launches()
                                                                                        > 0))));
    }

    /** What was cancelled is gone, what was not runs, and who asks hears the same at each node. */
    private void kept(String at) {
        assertEquals(List.of(), w.broken, at);
        for (String id : CANCELLED) {
            if (w.accepted.containsKey(id)) {
                assertTrue(w.toldCancelled.containsKey(id), at + ": nobody was told of " + id);
                assertEquals(0, w.onMachines(id), at);
                w.nodes.values().stream()
                        .filter(n -> n.alive)
                        .forEach(n -> assertEquals("cancelled", w.status(n, id), at));
            }
        }
        assertEquals(4, w.onMachines("j-9"), at);
        runs++;
        tooLate += w.rules.startsAfterCancellation();
        latestS = Math.max(latestS, w.rules.latestStartAfterS());
    }

    /**
     * Each change, at each of its steps and some milliseconds off, through the old one, and each of
     * the others.
     */
    @Test
    void whatIsCancelledAtAnyStepOfAChangeIsGoneInTime() {
        int early = 0;
        for (Change change : Change.values()) {
            for (Step step : Step.values()) {
                for (int through = 0; through < 3; through++) {
                    busy();
                    SimulatedNode first = fresh(through);
                    long token = w.store.token();
                    String at = change + " " + step + " through " + first.name;
                    if (step == Step.BEFORE) {
                        cancels(first);
                        w.run(runs % 7 * 0.001);
                    }
                    change.happens(w, old, 8);
                    for (int ms = 0; ms < 7000 && !reached(step); ms++) {
                        w.run(0.001);
                    }
                    assertTrue(reached(step) || step == Step.LAUNCHED, at);
                    w.run(runs % 4 * 0.002 + (step == Step.AFTER ? 0.5 : 0));
                    cancels(w.nodes.get(first.name));
                    w.run(1);
                    early += w.toldCancelled.size();
                    w.run(8);
                    w.rules.calm();
                    w.run(40);
                    assertTrue(w.store.token() > token, at + ": nothing changed hands");
                    kept(at);
                }
            }
        }
        assertEquals(105, runs);
        assertTrue(early > 200, "told within a second: " + early);
        few(early);
    }

    /**
     * Ten changes in two minutes, every other time with an outage over some of them, and
     * cancellations at each.
     */
    @Test
    void tenChangesInTwoMinutes() {
        long changes = 0;
        int all = 0;
        for (int seed = 0; seed < 8; seed++) {
            Random random = new Random(seed);
            busy();
            long token = w.store.token();
            if (seed % 2 == 1) {
                w.after(30 + random.nextInt(20), () -> w.store.outage(40));
            }
            for (int i = 0; i < 10; i++) {
                old =
                        w.nodes.values().stream()
                                .filter(n -> n.alive && n.controller.leadsWith() == w.store.token())
                                .findFirst()
                                .orElse(old);
                String id = "j-1" + i;
                w.submit(
                        w.nodes.get("k" + random.nextInt(3)),
                        job(id, i % 3 == 0 ? Shape.GANG : Shape.ARRAY, 2, 1));
                double before = random.nextDouble() * 3;
                w.run(before);
                Change.values()[random.nextInt(5)].happens(w, old, 1 + random.nextInt(8));
                w.run(random.nextInt(4) * random.nextDouble());
                if (i % 2 == 0) {
                    w.users.cancel(w.nodes.get("k" + random.nextInt(3)), id);
                }
                w.run(11.9 - before);
            }
            changes += w.store.token() - token;
            cancels(w.nodes.get("k0"));
            w.run(10);
            w.rules.calm();
            w.run(110);
            all += w.toldCancelled.size();
            for (String id : w.accepted.keySet()) {
                if (!w.toldCancelled.containsKey(id)) {
                    assertTrue(
                            w.onMachines(id) > 0 && w.status(w.leader(), id).equals("running"),
                            seed + ": " + id);
                }
            }
            kept("seed " + seed);
        }
        assertTrue(changes > 8 * 6, "changes: " + changes);
        assertTrue(all > 8 * 4, "told: " + all);
        few(all);
    }

    private void launchesTake(double seconds, int[] on) {
        SimulatedCluster.Reach usual = w.reach;
        w.reach =
                new SimulatedCluster.Reach() {
                    @Override
                    public List<String> up() {
                        return usual.up();
                    }

                    @Override
                    public void heartbeat(
                            String node, Heartbeat report, Consumer<HeartbeatResponse> answer) {
                        usual.heartbeat(
                                node,
                                report,
                                c -> {
                                    boolean held =
                                            on[0] >= 0
                                                    && c.orders().stream()
                                                            .anyMatch(
                                                                    o ->
                                                                            o.verb()
                                                                                    == WorkerCommand
                                                                                            .Action
                                                                                            .START);
                                    on[0] += held ? 1 : 0;
                                    w.after(held ? seconds : 0, () -> answer.accept(c));
                                });
                    }
                };
    }

    /**
     * Answers that launch are under way for seconds, as the new holder begins and everything is
     * cancelled.
     */
    @Test
    void launchesThatAreUnderWayGoOnWithinTheRule() {
        int all = 0;
        for (Change change : Change.values()) {
            for (double heldS = 0.4; heldS < 4; heldS += 0.7) {
                busy();
                int[] on = {0};
                launchesTake(heldS, on);
                SimulatedNode first = fresh(runs % 3);
                for (int ms = 0; ms < 3000 && on[0] == 0; ms++) {
                    w.run(0.001);
                }
                assertTrue(on[0] > 0, "no launch is under way");
                change.happens(w, old, 8);
                cancels(first);
                w.run(4);
                on[0] = -1;
                all += w.toldCancelled.size();
                w.run(55);
                kept(change + ", held for " + heldS);
            }
        }
        assertTrue(all > 2 * runs, "told: " + all);
    }

    /**
     * At each two milliseconds of the cancelling transaction, whatever becomes of it and of its
     * answer.
     */
    @Test
    void whatIsCancelledAtTheMomentOfTheRefusalIsGoneThoughTheStoreIsOutThen() {
        int early = 0;
        for (int f = 0; f < 3; f++) {
            int fate = f;
            for (int through = 0; through < 3; through++) {
                for (int ms = -2; ms <= 10; ms += 2) {
                    String at =
                            "fate "
                                    + fate
                                    + " through "
                                    + through
                                    + ", refused after "
                                    + ms
                                    + " ms";
                    busy();
                    SimulatedNode first = fresh(through);
                    // Of some, or all, of the others the old holder hears nothing any more.
                    List<SimulatedNode> silent =
                            w.nodes.values().stream()
                                    .filter(
                                            n ->
                                                    n != old
                                                            && (runs % 3 == 2
                                                                    || runs % 3 == 1 && n == first))
                                    .toList();
                    silent.forEach(n -> n.cutFrom.add(old.name));
                    Predicate<Transaction> ends =
                            t ->
                                    t.writes().stream()
                                            .anyMatch(x -> x.key().startsWith(StoreKeys.OVER));
                    w.store.unheard = t -> fate == 1 && ends.test(t);
                    w.store.late = t -> fate == 2 && ends.test(t) ? 0.6 : 0;
                    w.after(0.002, () -> cancels(first));
                    // Carried out and not answered: users are told by whom they ask.
                    w.after(
                            0.95,
                            () ->
                                    w.nodes.values().stream()
                                            .filter(n -> n != old && n != first)
                                            .forEach(
                                                    n ->
                                                            CANCELLED.forEach(
                                                                    id -> w.users.ask(n, id))));
                    w.after(0.002 + ms / 1000.0, () -> old.cutFromStore = true);
                    w.after(1.002 + ms / 1000.0, () -> w.store.outage(50));
                    w.run(1.1);
                    early += w.toldCancelled.size();
                    assertTrue(w.store.out && old.cutFromStore, at);
                    w.after(8, () -> old.cutFromStore = false);
                    w.run(49);
                    silent.forEach(n -> n.cutFrom.clear());
                    w.run(2);
                    w.rules.calm();
                    w.run(60);
                    kept(at);
                }
            }
        }
        assertEquals(63, runs);
        assertTrue(early > 2 * 63, "told before the outage: " + early);
        few(early);
    }

    /**
     * Nobody calls back an answer that is under way, and a leader that the store refuses learns of
     * it by the next renewal, a fifth of its lease later: after that nothing starts any more of
     * what a user was told is cancelled.
     */
    private void few(int told) {
        System.out.println(
                "starts after users were told: "
                        + tooLate
                        + ", the last "
                        + latestS
                        + " s after, "
                        + told
                        + " jobs told of in "
                        + runs
                        + " days");
        assertTrue(
                latestS < w.leader().controller.leadership.lifeS() / 5 + 0.02,
                "the last after " + latestS);
        assertTrue(tooLate <= told / 20, tooLate + " starts after users were told, of " + told);
    }
}
