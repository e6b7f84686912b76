package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.port.Store;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Machines rented and given back while their holder ends, stands still, or is heard minutes late.
 */
class CloudIntentsTest {
    private SimulatedCluster cluster = world();

    /** Three nodes, no machine, and room for many at a cloud whose lists lag. */
    private static SimulatedCluster world() {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.heartbeatIntervalSeconds = 2;
        cluster.leaseSeconds = 20;
        cluster.cloud.capacity = 100;
        cluster.cloud.listLagSeconds = 12;
        cluster.cloud.bootSeconds = n -> 15;
        for (int i = 0; i < 3; i++) {
            cluster.siblings.add("k" + i);
        }
        cluster.siblings.forEach(cluster::node);
        cluster.run(8);
        return cluster;
    }

    @AfterEach
    void rules() {
        assertEquals(List.of(), cluster.violations);
    }

    /** A gang that needs six machines. */
    private static void want(SimulatedCluster cluster) {
        SimulatedNode any =
                cluster.nodes.values().stream()
                        .filter(node -> node.alive)
                        .findFirst()
                        .orElseThrow();
        cluster.submit(any, job("j-1", Shape.GANG, 6, 4));
    }

    private static void until(SimulatedCluster cluster, double most, BooleanSupplier so) {
        double from = cluster.clock.now;
        while (!so.getAsBoolean() && cluster.clock.now - from < most) {
            cluster.run(0.02);
        }
        assertTrue(so.getAsBoolean(), "not within " + most + " s");
    }

    /** The node that has the duty to ask the cloud. */
    private static SimulatedNode carrier(SimulatedCluster cluster) {
        return cluster.nodes.get(
                (String)
                        ((Map<?, ?>) cluster.store.entries.get(StoreKeys.ROLES + "cloud").value())
                                .get("node"));
    }

    private static long records(SimulatedCluster cluster, String prefix) {
        return cluster.store.entries.keySet().stream()
                .filter(key -> key.startsWith(prefix))
                .count();
    }

    private static void restart(SimulatedCluster cluster, SimulatedNode node, double afterS) {
        node.crash();
        cluster.after(afterS, () -> cluster.node(node.name));
    }

    private void theHolderEndsOnceSixAreRented(double laterS) {
        want(cluster);
        until(cluster, 5, () -> cluster.cloud.nameCount == 6);
        cluster.run(laterS);
        restart(cluster, cluster.leader(), 6);
        cluster.run(60);
        assertEquals(6, cluster.cloud.nameCount);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
    }

    @Test
    void aRentedMachineNotListedYetIsNotRentedAgainByTheNextLeader() {
        theHolderEndsOnceSixAreRented(0.5);
    }

    @Test
    void aRentalWhoseResponseWasLostIsRequestedAgainUnderItsName() {
        cluster.cloud.responsesToLose = 1;
        theHolderEndsOnceSixAreRented(0);
    }

    @Test
    void aRentalExecutedMinutesLateUsesTheNameThatTheNextLeaderSettled() {
        SimulatedNode first = carrier(cluster);
        cluster.cloud.holdsBackRequestsOf = client -> client == first;
        want(cluster);
        until(cluster, 5, () -> !cluster.cloud.heldBackRequests.isEmpty());
        first.frozenUntil = cluster.clock.now + 30;
        cluster.run(40);
        assertEquals(6, cluster.cloud.nameCount);
        cluster.cloud.heldBackRequests.forEach(Runnable::run);
        cluster.run(60);
        assertEquals(6, cluster.cloud.nameCount);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
    }

    @Test
    void anOutcomeThatIsWrittenMinutesLateBringsNothingBack() {
        SimulatedNode first = carrier(cluster);
        // What came of the first one's requests is on its way to the store when it ends.
        cluster.store.holdsBack =
                transaction ->
                        transaction.writes().stream()
                                .anyMatch(
                                        write ->
                                                write.key().startsWith(StoreKeys.RENTAL_INTENTS)
                                                        && write.value() instanceof Map<?, ?> m
                                                        && m.containsKey("machines"));
        want(cluster);
        until(cluster, 5, () -> !cluster.store.heldBackTransactions.isEmpty());
        cluster.store.holdsBack = transaction -> false;
        restart(cluster, first, 6);
        cluster.run(60);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
        assertEquals(0, records(cluster, StoreKeys.RENTAL_INTENTS), "taken in and struck off");
        for (Store.Transaction transaction : cluster.store.heldBackTransactions) {
            assertEquals(Store.Outcome.REJECTED, cluster.store.execute(transaction).outcome());
        }
        assertEquals(6, cluster.cloud.nameCount);
    }

    @Test
    void aReleaseExecutedMinutesLateStopsNoTasks() {
        for (int i = 0; i < 4; i++) {
            cluster.worker("i-00000" + i, "a");
        }
        cluster.run(4);
        SimulatedNode first = carrier(cluster);
        cluster.cloud.holdsBackRequestsOf = client -> client == first;
        until(cluster, 200, () -> !cluster.cloud.heldBackRequests.isEmpty());
        // Put down and sent, but not arrived: its holder ends, and work comes that would fit on
        // these machines.
        restart(cluster, first, 60);
        cluster.cloud.unavailable = true;
        cluster.run(5);
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 16, 1));
        cluster.run(20);
        assertEquals(0, cluster.onMachines("j-1"));
        cluster.cloud.unavailable = false;
        cluster.cloud.heldBackRequests.forEach(Runnable::run);
        cluster.run(120);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
        assertEquals(
                16,
                cluster.workers.values().stream().mapToInt(worker -> worker.started).sum(),
                "none was lost");
        assertEquals(0, records(cluster, StoreKeys.RELEASE_INTENTS));
    }

    @Test
    void aReturnThatTheCloudRefusedIsAskedForUntilItSaysYes() {
        cluster.worker("i-000000", "a");
        until(
                cluster,
                200,
                () -> {
                    cluster.cloud.unavailable |= records(cluster, StoreKeys.RELEASE_INTENTS) > 0;
                    return cluster.cloud.unavailable;
                });
        cluster.run(20);
        assertEquals(List.of(), cluster.cloud.released);
        assertEquals(1, records(cluster, StoreKeys.RELEASE_INTENTS));
        cluster.cloud.unavailable = false;
        cluster.run(40);
        assertEquals(List.of("i-000000"), cluster.cloud.released);
        assertEquals(0, records(cluster, StoreKeys.RELEASE_INTENTS));
    }

    @Test
    void aNodeFrozenBetweenDecisionAndCloudRequestDoesNoHarm() {
        for (boolean holder : new boolean[] {true, false}) {
            SimulatedCluster cluster = world();
            SimulatedNode first = holder ? cluster.leader() : carrier(cluster);
            want(cluster);
            until(cluster, 5, () -> records(cluster, StoreKeys.RENTAL_INTENTS) > 0);
            first.frozenUntil = cluster.clock.now + 25;
            cluster.run(80);
            assertEquals(6, cluster.cloud.nameCount);
            assertEquals("done", cluster.status(cluster.leader(), "j-1"));
            assertEquals(List.of(), cluster.violations);
        }
    }

    @Test
    void duringAStoreOutageNoMachineIsRentedOrReleased() {
        cluster.store.outage(30);
        cluster.run(3);
        int asked = cluster.cloud.rentals.size();
        SimulatedNode node = cluster.nodes.get("k0");
        node.controller.jobApi().submit(job("j-1", Shape.GANG, 6, 4), response -> {});
        cluster.run(25);
        assertEquals(asked, cluster.cloud.rentals.size());
        assertEquals(List.of(), cluster.cloud.released);
    }

    @Test
    void nothingStaysOnTheBooksOnceAllIsDone() {
        want(cluster);
        cluster.run(200);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
        assertEquals(
                6,
                cluster.cloud.released.stream().distinct().count(),
                "idle machines are given back");
        assertEquals(0, records(cluster, StoreKeys.CLOUD_INTENTS));
        assertEquals(0, cluster.leader().controller.cloudIntents.recordedCount());
    }

    /**
     * From the wish for six machines on, whoever holds the block, or has the duty, or each of them,
     * ends after its n-th request to store or cloud and is back later, until nobody sends that many
     * before all is done and returned.
     */
    @Test
    void aCrashAfterAnyRequestOfRentingOrReleasingDoesNoHarm() {
        int points = 0;
        for (double backS : new double[] {0, 0.3, 6}) {
            for (int who = 0; who < 3; who++) {
                for (int n = 1; n <= 40; n++) {
                    SimulatedCluster cluster = world();
                    int[] ends = new int[1];
                    List<SimulatedNode> ending =
                            new ArrayList<>(
                                    who == 0
                                            ? List.of(cluster.leader())
                                            : who == 1
                                                    ? List.of(carrier(cluster))
                                                    : cluster.nodes.values());
                    for (SimulatedNode node : ending) {
                        node.crashAfterRequests(
                                n,
                                () -> {
                                    ends[0]++;
                                    cluster.after(backS, () -> cluster.node(node.name));
                                });
                    }
                    want(cluster);
                    cluster.run(75);
                    points += ends[0];
                    String at = "ended " + who + " at request " + n + ", back after " + backS;
                    assertEquals("done", cluster.status(cluster.leader(), "j-1"), at);
                    assertEquals(6, cluster.cloud.nameCount, at);
                    cluster.run(150);
                    assertEquals(List.of(), cluster.violations, at);
                    assertEquals(6, cluster.cloud.released.stream().distinct().count(), at);
                    assertEquals(0, records(cluster, StoreKeys.CLOUD_INTENTS), at);
                    if (ends[0] == 0) {
                        break;
                    }
                }
            }
        }
        System.out.println(
                "renting and returning: " + points + " nodes ended at one of their requests");
        assertTrue(points >= 200, "points: " + points);
    }

    @Test
    void aMachineThatGoesIsNotPlacedOnBySomebodyWhoHearsOfItLater() {
        cluster.worker("i-000000", "a");
        cluster.run(4);
        cluster.cloud.holdsBackRequestsOf = client -> true;
        until(cluster, 200, () -> !cluster.cloud.heldBackRequests.isEmpty());
        cluster.nodes.values().forEach(SimulatedNode::crash);
        cluster.run(1);
        cluster.cloud.unavailable = true;
        cluster.siblings.forEach(cluster::node);
        cluster.run(6);
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 1, 1));
        cluster.run(10);
        assertEquals(0, cluster.workers.get("i-000000").started);
        cluster.cloud.unavailable = false;
        cluster.cloud.holdsBackRequestsOf = client -> false;
        cluster.run(60);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
    }
}
