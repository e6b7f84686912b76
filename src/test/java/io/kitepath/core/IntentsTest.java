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
class IntentsTest {
    private SimulatedCluster w = world();

    /** Three nodes, no machine, and room for many at a cloud whose lists lag. */
    private static SimulatedCluster world() {
        SimulatedCluster w = new SimulatedCluster();
        w.reportS = 2;
        w.leaseS = 20;
        w.cloud.capacity = 100;
        w.cloud.listLagS = 12;
        w.cloud.bootS = n -> 15;
        for (int i = 0; i < 3; i++) {
            w.siblings.add("k" + i);
        }
        w.siblings.forEach(w::node);
        w.run(8);
        return w;
    }

    @AfterEach
    void rules() {
        assertEquals(List.of(), w.broken);
    }

    /** A gang that needs six machines. */
    private static void want(SimulatedCluster w) {
        SimulatedNode any =
                w.nodes.values().stream().filter(n -> n.alive).findFirst().orElseThrow();
        w.submit(any, job("j-1", Shape.GANG, 6, 4));
    }

    private static void until(SimulatedCluster w, double most, BooleanSupplier so) {
        double from = w.clock.now;
        while (!so.getAsBoolean() && w.clock.now - from < most) {
            w.run(0.02);
        }
        assertTrue(so.getAsBoolean(), "not within " + most + " s");
    }

    /** The node that has the duty to ask the cloud. */
    private static SimulatedNode carrier(SimulatedCluster w) {
        return w.nodes.get(
                (String)
                        ((Map<?, ?>) w.store.keys.get(StoreKeys.DUTY + "cloud").value())
                                .get("node"));
    }

    private static long records(SimulatedCluster w, String prefix) {
        return w.store.keys.keySet().stream().filter(k -> k.startsWith(prefix)).count();
    }

    private static void restart(SimulatedCluster w, SimulatedNode n, double afterS) {
        n.crash();
        w.after(afterS, () -> w.node(n.name));
    }

    private void theHolderEndsOnceSixAreRented(double laterS) {
        want(w);
        until(w, 5, () -> w.cloud.named == 6);
        w.run(laterS);
        restart(w, w.leader(), 6);
        w.run(60);
        assertEquals(6, w.cloud.named);
        assertEquals("done", w.status(w.leader(), "j-1"));
    }

    @Test
    void whatWasRentedAndIsNotListedYetIsNotRentedAgainByTheNextHolder() {
        theHolderEndsOnceSixAreRented(0.5);
    }

    @Test
    void aRentalWhoseAnswerNobodyHeardIsAskedForAgainUnderItsName() {
        w.cloud.swallow = 1;
        theHolderEndsOnceSixAreRented(0);
    }

    @Test
    void aRentalThatRunsMinutesLateIsUnderTheNameThatTheNextHolderSettled() {
        SimulatedNode first = carrier(w);
        w.cloud.withheld = n -> n == first;
        want(w);
        until(w, 5, () -> !w.cloud.heldBack.isEmpty());
        first.frozenUntil = w.clock.now + 30;
        w.run(40);
        assertEquals(6, w.cloud.named);
        w.cloud.heldBack.forEach(Runnable::run);
        w.run(60);
        assertEquals(6, w.cloud.named);
        assertEquals("done", w.status(w.leader(), "j-1"));
    }

    @Test
    void anOutcomeThatIsWrittenMinutesLateBringsNothingBack() {
        SimulatedNode first = carrier(w);
        // What came of the first one's requests is on its way to the store when it ends.
        w.store.withheld =
                t ->
                        t.writes().stream()
                                .anyMatch(
                                        x ->
                                                x.key().startsWith(StoreKeys.RENT)
                                                        && x.value() instanceof Map<?, ?> m
                                                        && m.containsKey("machines"));
        want(w);
        until(w, 5, () -> !w.store.heldBack.isEmpty());
        w.store.withheld = t -> false;
        restart(w, first, 6);
        w.run(60);
        assertEquals("done", w.status(w.leader(), "j-1"));
        assertEquals(0, records(w, StoreKeys.RENT), "taken in and struck off");
        for (Store.Transaction t : w.store.heldBack) {
            assertEquals(Store.Outcome.NO, w.store.execute(t).outcome());
        }
        assertEquals(6, w.cloud.named);
    }

    @Test
    void aReturnThatRunsMinutesLateHitsNobodysWork() {
        for (int i = 0; i < 4; i++) {
            w.worker("i-00000" + i, "a");
        }
        w.run(4);
        SimulatedNode first = carrier(w);
        w.cloud.withheld = n -> n == first;
        until(w, 200, () -> !w.cloud.heldBack.isEmpty());
        // Put down and sent, but not arrived: its holder ends, and work comes that would fit on
        // these machines.
        restart(w, first, 60);
        w.cloud.out = true;
        w.run(5);
        w.submit(w.leader(), job("j-1", Shape.ARRAY, 16, 1));
        w.run(20);
        assertEquals(0, w.onMachines("j-1"));
        w.cloud.out = false;
        w.cloud.heldBack.forEach(Runnable::run);
        w.run(120);
        assertEquals("done", w.status(w.leader(), "j-1"));
        assertEquals(
                16, w.workers.values().stream().mapToInt(x -> x.started).sum(), "none was lost");
        assertEquals(0, records(w, StoreKeys.GOING));
    }

    @Test
    void aReturnThatTheCloudRefusedIsAskedForUntilItSaysYes() {
        w.worker("i-000000", "a");
        until(
                w,
                200,
                () -> {
                    w.cloud.out |= records(w, StoreKeys.GOING) > 0;
                    return w.cloud.out;
                });
        w.run(20);
        assertEquals(List.of(), w.cloud.released);
        assertEquals(1, records(w, StoreKeys.GOING));
        w.cloud.out = false;
        w.run(40);
        assertEquals(List.of("i-000000"), w.cloud.released);
        assertEquals(0, records(w, StoreKeys.GOING));
    }

    @Test
    void whoeverStandsStillBetweenDecisionAndRequestDoesNoHarm() {
        for (boolean holder : new boolean[] {true, false}) {
            SimulatedCluster x = world();
            SimulatedNode first = holder ? x.leader() : carrier(x);
            want(x);
            until(x, 5, () -> records(x, StoreKeys.RENT) > 0);
            first.frozenUntil = x.clock.now + 25;
            x.run(80);
            assertEquals(6, x.cloud.named);
            assertEquals("done", x.status(x.leader(), "j-1"));
            assertEquals(List.of(), x.broken);
        }
    }

    @Test
    void withTheStoreAwayNothingIsRentedOrGivenBack() {
        w.store.outage(30);
        w.run(3);
        int asked = w.cloud.rentals.size();
        SimulatedNode n = w.nodes.get("k0");
        n.controller.registry().submit(job("j-1", Shape.GANG, 6, 4), a -> {});
        w.run(25);
        assertEquals(asked, w.cloud.rentals.size());
        assertEquals(List.of(), w.cloud.released);
    }

    @Test
    void nothingStaysOnTheBooksOnceAllIsDone() {
        want(w);
        w.run(200);
        assertEquals("done", w.status(w.leader(), "j-1"));
        assertEquals(
                6, w.cloud.released.stream().distinct().count(), "idle machines are given back");
        assertEquals(0, records(w, StoreKeys.ACT));
        assertEquals(0, w.leader().controller.intents.open());
    }

    /**
     * From the wish for six machines on, whoever holds the block, or has the duty, or each of them,
     * ends after its n-th request to store or cloud and is back later, until nobody sends that many
     * before all is done and returned.
     */
    @Test
    void everyRequestOfRentingAndReturningMayBeTheLastOfItsNode() {
        int points = 0;
        for (double backS : new double[] {0, 0.3, 6}) {
            for (int who = 0; who < 3; who++) {
                for (int n = 1; n <= 40; n++) {
                    SimulatedCluster x = world();
                    int[] ends = new int[1];
                    List<SimulatedNode> ending =
                            new ArrayList<>(
                                    who == 0
                                            ? List.of(x.leader())
                                            : who == 1 ? List.of(carrier(x)) : x.nodes.values());
                    for (SimulatedNode node : ending) {
                        node.endAfter(
                                n,
                                () -> {
                                    ends[0]++;
                                    x.after(backS, () -> x.node(node.name));
                                });
                    }
                    want(x);
                    x.run(75);
                    points += ends[0];
                    String at = "ended " + who + " at request " + n + ", back after " + backS;
                    assertEquals("done", x.status(x.leader(), "j-1"), at);
                    assertEquals(6, x.cloud.named, at);
                    x.run(150);
                    assertEquals(List.of(), x.broken, at);
                    assertEquals(6, x.cloud.released.stream().distinct().count(), at);
                    assertEquals(0, records(x, StoreKeys.ACT), at);
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
        w.worker("i-000000", "a");
        w.run(4);
        w.cloud.withheld = n -> true;
        until(w, 200, () -> !w.cloud.heldBack.isEmpty());
        w.nodes.values().forEach(SimulatedNode::crash);
        w.run(1);
        w.cloud.out = true;
        w.siblings.forEach(w::node);
        w.run(6);
        w.submit(w.leader(), job("j-1", Shape.ARRAY, 1, 1));
        w.run(10);
        assertEquals(0, w.workers.get("i-000000").started);
        w.cloud.out = false;
        w.cloud.withheld = n -> false;
        w.run(60);
        assertEquals("done", w.status(w.leader(), "j-1"));
    }
}
