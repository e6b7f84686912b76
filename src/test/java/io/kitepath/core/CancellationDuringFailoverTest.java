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
import io.kitepath.simulation.SimulatedClusters;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.TransactionKeys;
import io.kitepath.simulation.WorkerNetworkWrapper;
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
class CancellationDuringFailoverTest {
    /** How a controller's work comes to change hands. */
    private enum Change {
        STOPPED,
        KILLED,
        FROZEN,
        REFUSED,
        ALONE;

        void happens(SimulatedCluster cluster, SimulatedNode node, double backAfterS) {
            switch (this) {
                case STOPPED -> {
                    node.controller.stop();
                    cluster.after(0.3, node::kill);
                }
                case KILLED -> node.kill();
                case FROZEN -> node.frozenUntil = cluster.clock.now + backAfterS;
                default -> {
                    node.cutFromStore = true;
                    node.cutFrom.addAll(this == ALONE ? cluster.siblings : List.of());
                }
            }
            cluster.after(
                    backAfterS,
                    () -> {
                        node.cutFromStore = false;
                        node.cutFrom.clear();
                        if (!node.alive && cluster.nodes.get(node.name) == node) {
                            cluster.node(node.name).clockOffsetMillis = node.clockOffsetMillis;
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

    private SimulatedCluster cluster;
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
        cluster = SimulatedClusters.settled(3, 6);
        cluster.taskSeconds = id -> 400;
        cluster.nodes.get("k0").clockOffsetMillis = 5;
        cluster.nodes.get("k2").clockOffsetMillis = -5;
        old = cluster.leader();
        cluster.submit(old, job("j-1", Shape.ARRAY, 5, 1));
        cluster.submit(old, job("j-2", Shape.GANG, 3, 1));
        cluster.submit(old, job("j-9", Shape.ARRAY, 4, 1));
        cluster.run(5);
        assertEquals(8, cluster.onMachines("j-1") + cluster.onMachines("j-2"));
        cluster.pollsRightAfterAnswers = true;
    }

    /**
     * Placed, and launched at those machines only that happened to report; returns a node for users
     * to cancel at.
     */
    private SimulatedNode fresh(int through) {
        cluster.run(runs % 10 * 0.2);
        cluster.submit(old, job("j-3", Shape.ARRAY, 6, 1));
        cluster.submit(old, job("j-4", Shape.GANG, 4, 1));
        List<SimulatedNode> nodes = new ArrayList<>(cluster.nodes.values());
        return nodes.get((nodes.indexOf(old) + through) % 3);
    }

    private void cancels(SimulatedNode first) {
        cluster.acceptedAt.keySet().stream()
                .filter(CANCELLED::contains)
                .sorted()
                .forEach(id -> cluster.loadGenerator.cancel(first, id));
    }

    /** Whether the one that takes over is as far as that. */
    private boolean reached(Step step) {
        return step.compareTo(Step.AFTER) <= 0
                || cluster.nodes.values().stream()
                        .anyMatch(
                                node ->
                                        node != old
                                                && node.alive
                                                && node.controller.leadership.isLeading()
                                                && (step == Step.CLAIMED
                                                        || (step == Step.LISTED
                                                                ? node.controller.stateWriter
                                                                        .knowsRunningJobs()
                                                                : node.controller.stateWriter
                                                                                .isLoaded()
                                                                        && (step == Step.READ
                                                                                || node.controller
                                                                                                .heartbeatProcessor
                                                                                                .launchCount()
                                                                                        > 0))));
    }

    /** What was cancelled is gone, what was not runs, and who asks hears the same at each node. */
    private void kept(String at) {
        assertEquals(List.of(), cluster.violations, at);
        for (String id : CANCELLED) {
            if (cluster.acceptedAt.containsKey(id)) {
                assertTrue(
                        cluster.reportedCancelledAt.containsKey(id),
                        at + ": nobody was told of " + id);
                assertEquals(0, cluster.onMachines(id), at);
                cluster.nodes.values().stream()
                        .filter(node -> node.alive)
                        .forEach(node -> assertEquals("cancelled", cluster.status(node, id), at));
            }
        }
        assertEquals(4, cluster.onMachines("j-9"), at);
        runs++;
        tooLate += cluster.invariants.startsAfterCancellation();
        latestS = Math.max(latestS, cluster.invariants.latestStartAfterCancellationSeconds());
    }

    /**
     * Each change, at each of its steps and some milliseconds off, through the old one, and each of
     * the others.
     */
    @Test
    void aCancellationAtAnyStepOfAFailoverStopsItsTasksInTime() {
        int early = 0;
        for (Change change : Change.values()) {
            for (Step step : Step.values()) {
                for (int through = 0; through < 3; through++) {
                    busy();
                    SimulatedNode first = fresh(through);
                    long token = cluster.store.leaderFencingToken();
                    String at = change + " " + step + " through " + first.name;
                    if (step == Step.BEFORE) {
                        cancels(first);
                        cluster.run(runs % 7 * 0.001);
                    }
                    change.happens(cluster, old, 8);
                    for (int ms = 0; ms < 7000 && !reached(step); ms++) {
                        cluster.run(0.001);
                    }
                    assertTrue(reached(step) || step == Step.LAUNCHED, at);
                    cluster.run(runs % 4 * 0.002 + (step == Step.AFTER ? 0.5 : 0));
                    cancels(cluster.nodes.get(first.name));
                    cluster.run(1);
                    early += cluster.reportedCancelledAt.size();
                    cluster.run(8);
                    cluster.invariants.troublesAreOver();
                    cluster.run(40);
                    assertTrue(
                            cluster.store.leaderFencingToken() > token,
                            at + ": nothing changed hands");
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
    void cancellationsDuringTenFailoversInTwoMinutesStopTheirTasksInTime() {
        long changes = 0;
        int all = 0;
        for (int seed = 0; seed < 8; seed++) {
            Random random = new Random(seed);
            busy();
            long token = cluster.store.leaderFencingToken();
            if (seed % 2 == 1) {
                cluster.after(30 + random.nextInt(20), () -> cluster.store.outage(40));
            }
            for (int i = 0; i < 10; i++) {
                old =
                        cluster.nodes.values().stream()
                                .filter(
                                        node ->
                                                node.alive
                                                        && node.controller.fencingTokenIfLeading()
                                                                == cluster.store
                                                                        .leaderFencingToken())
                                .findFirst()
                                .orElse(old);
                String id = "j-1" + i;
                cluster.submit(
                        cluster.nodes.get("k" + random.nextInt(3)),
                        job(id, i % 3 == 0 ? Shape.GANG : Shape.ARRAY, 2, 1));
                double before = random.nextDouble() * 3;
                cluster.run(before);
                Change.values()[random.nextInt(5)].happens(cluster, old, 1 + random.nextInt(8));
                cluster.run(random.nextInt(4) * random.nextDouble());
                if (i % 2 == 0) {
                    cluster.loadGenerator.cancel(cluster.nodes.get("k" + random.nextInt(3)), id);
                }
                cluster.run(11.9 - before);
            }
            changes += cluster.store.leaderFencingToken() - token;
            cancels(cluster.nodes.get("k0"));
            cluster.run(10);
            cluster.invariants.troublesAreOver();
            cluster.run(110);
            all += cluster.reportedCancelledAt.size();
            for (String id : cluster.acceptedAt.keySet()) {
                if (!cluster.reportedCancelledAt.containsKey(id)) {
                    assertTrue(
                            cluster.onMachines(id) > 0
                                    && cluster.status(cluster.leader(), id).equals("running"),
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
        cluster.workerNetwork =
                new WorkerNetworkWrapper(cluster.workerNetwork) {
                    @Override
                    public void heartbeat(
                            String node, Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
                        delegate.heartbeat(
                                node,
                                heartbeat,
                                response -> {
                                    boolean held =
                                            on[0] >= 0
                                                    && response.commands().stream()
                                                            .anyMatch(
                                                                    command ->
                                                                            command.action()
                                                                                    == WorkerCommand
                                                                                            .Action
                                                                                            .START);
                                    on[0] += held ? 1 : 0;
                                    cluster.after(
                                            held ? seconds : 0, () -> answer.accept(response));
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
                    cluster.run(0.001);
                }
                assertTrue(on[0] > 0, "no launch is under way");
                change.happens(cluster, old, 8);
                cancels(first);
                cluster.run(4);
                on[0] = -1;
                all += cluster.reportedCancelledAt.size();
                cluster.run(55);
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
    void aCancellationAtTheRefusalBeforeAnOutageStopsItsTasksInTime() {
        int early = 0;
        for (int fate = 0; fate < 3; fate++) {
            for (int through = 0; through < 3; through++) {
                for (int ms = -2; ms <= 10; ms += 2) {
                    early += cancelAtRefusalBeforeOutage(fate, through, ms);
                }
            }
        }
        assertEquals(63, runs);
        assertTrue(early > 2 * 63, "told before the outage: " + early);
        few(early);
    }

    /** Returns how many cancellations users were told of before the outage. */
    private int cancelAtRefusalBeforeOutage(int fate, int through, int ms) {
        String at = "fate " + fate + " through " + through + ", refused after " + ms + " ms";
        busy();
        SimulatedNode first = fresh(through);
        // Of some, or all, of the others the old holder hears nothing any more.
        List<SimulatedNode> silent =
                cluster.nodes.values().stream()
                        .filter(
                                node ->
                                        node != old
                                                && (runs % 3 == 2
                                                        || runs % 3 == 1 && node == first))
                        .toList();
        silent.forEach(node -> node.cutFrom.add(old.name));
        loseOrDelayWritesOfEndedJobs(fate);
        cluster.after(0.002, () -> cancels(first));
        // Carried out and not answered: users are told by whom they ask.
        cluster.after(
                0.95,
                () ->
                        cluster.nodes.values().stream()
                                .filter(node -> node != old && node != first)
                                .forEach(
                                        node ->
                                                CANCELLED.forEach(
                                                        id ->
                                                                cluster.loadGenerator.queryStatus(
                                                                        node, id))));
        cluster.after(0.002 + ms / 1000.0, () -> old.cutFromStore = true);
        cluster.after(1.002 + ms / 1000.0, () -> cluster.store.outage(50));
        cluster.run(1.1);
        int toldBeforeOutage = cluster.reportedCancelledAt.size();
        assertTrue(cluster.store.unavailable && old.cutFromStore, at);
        cluster.after(8, () -> old.cutFromStore = false);
        cluster.run(49);
        silent.forEach(node -> node.cutFrom.clear());
        cluster.run(2);
        cluster.invariants.troublesAreOver();
        cluster.run(60);
        kept(at);
        return toldBeforeOutage;
    }

    /** Fate 1: written, and the response is lost; fate 2: written late; otherwise as usual. */
    private void loseOrDelayWritesOfEndedJobs(int fate) {
        Predicate<Transaction> ends =
                transaction -> TransactionKeys.writesUnder(transaction, StoreKeys.ENDED_JOBS);
        cluster.store.losesResponseOf = transaction -> fate == 1 && ends.test(transaction);
        cluster.store.executionDelaySeconds =
                transaction -> fate == 2 && ends.test(transaction) ? 0.6 : 0;
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
                latestS < cluster.leader().controller.leadership.leaseSeconds() / 5 + 0.02,
                "the last after " + latestS);
        assertTrue(tooLate <= told / 20, tooLate + " starts after users were told, of " + told);
    }
}
