package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A peer confirms a cancellation which the leader can read neither from the store nor, for some
 * time, hear from the peer.
 */
class CancellationByPeerInOutageTest extends CancellationGapFixture {
    @Test
    void aCancellationConfirmedByAPeerStopsItsTasksInTimeAndNoOthers() {
        SimulatedNode leader = settled(3);
        long before = incarnationSum();
        cutFromStore(leader, 9);
        cluster.run(0.5);
        cancel(otherThan(leader), "j-1");
        cluster.store.outage(50);
        cluster.run(45);
        expectOnlyJ1Stopped(before);
    }

    @Test
    void aLostCancellationMessageToTheLeaderIsRepeated() {
        SimulatedNode leader = settled(3);
        long before = incarnationSum();
        SimulatedNode peer = cancelWithoutReachingLeader(leader);
        cluster.store.outage(50);
        cluster.run(4);
        peer.cutFrom.clear();
        cluster.run(41);
        expectOnlyJ1Stopped(before);
    }

    @Test
    void aLeaderThatNeverReceivesTheCancellationStopsAnsweringWorkersInTime() {
        SimulatedNode leader = settled(3);
        SimulatedNode peer = otherThan(leader);
        cutFromStore(leader, 9);
        peer.cutFrom.add(leader.name);
        cluster.run(0.5);
        cancel(peer, "j-1");
        cluster.store.outage(70);
        cluster.run(65);
        expectStoppedInTime("j-1");
        // Nobody can tell which tasks are cancelled, so all leases expire.
        assertEquals(0, cluster.onMachines("j-3"));
        peer.cutFrom.clear();
        cluster.run(60);
        assertEquals(4, cluster.onMachines("j-3"));
    }

    @Test
    void aRestartedPeerDoesNotVouchForCancellationsBeforeItsRestart() {
        SimulatedNode leader = settled(3);
        SimulatedNode peer = cancelWithoutReachingLeader(leader);
        peer.crash();
        cluster.store.outage(70);
        cluster.run(0.3);
        cluster.node(peer.name);
        cluster.run(60);
        expectStoppedInTime("j-1");
        cluster.run(60);
        assertEquals(4, cluster.onMachines("j-3"));
    }

    @Test
    void cancellationsConfirmedByTwoPeersBothReachTheLeader() {
        SimulatedNode leader = settled(3);
        long before = incarnationSum();
        List<SimulatedNode> others =
                cluster.nodes.values().stream().filter(node -> node != leader).toList();
        others.forEach(node -> node.losesPeerMessages = true);
        cutFromStore(leader, 9);
        cluster.run(0.5);
        cancel(others.get(0), "j-1");
        cancel(others.get(1), "j-2");
        cluster.store.outage(50);
        cluster.run(45);
        expectOnlyJ1Stopped(before);
        expectStoppedInTime("j-2");
    }

    @Test
    void withAPeerDownTheLeaderStopsAnsweringWorkersAfterTheMargin() {
        SimulatedNode leader = settled(3);
        List<SimulatedNode> others =
                cluster.nodes.values().stream().filter(node -> node != leader).toList();
        others.get(0).losesPeerMessages = true;
        others.get(1).crash();
        cutFromStore(leader, 9);
        cluster.run(0.5);
        cancel(others.get(0), "j-1");
        cluster.store.outage(70);
        cluster.run(60);
        expectStoppedInTime("j-1");
        assertEquals(0, cluster.onMachines("j-3"));
    }

    /** Cancellations that the frozen peer confirmed are unknown to the peers that answer. */
    @Test
    void aCancellationConfirmedByAFrozenPeerStopsItsTasksInTime() {
        SimulatedNode leader = settled(3);
        SimulatedNode peer = otherThan(leader);
        peer.losesPeerMessages = true;
        cutFromStore(leader, 9);
        cluster.run(0.5);
        peer.frozenUntil = cluster.clock.now + 0.2;
        peer.cutFrom.add(leader.name);
        cluster.run(0.2);
        cancel(peer, "j-1");
        peer.frozenUntil = cluster.clock.now + 80;
        cluster.store.outage(75);
        cluster.run(65);
        expectStoppedInTime("j-1");
    }

    @Test
    void cancellationsInTwoOutagesInARowStopTheirTasksInTime() {
        SimulatedNode leader = settled(3);
        long before = incarnationSum();
        cluster.nodes.values().forEach(node -> node.losesPeerMessages = true);
        cutFromStore(leader, 6);
        cluster.run(0.5);
        cancel(otherThan(leader), "j-1");
        cluster.store.outage(40);
        cluster.run(44);
        SimulatedNode next = cluster.leader();
        cutFromStore(next, 6);
        cluster.run(0.5);
        cancel(otherThan(next), "j-2");
        cluster.store.outage(40);
        cluster.run(44);
        expectOnlyJ1Stopped(before);
        expectStoppedInTime("j-2");
    }

    @Test
    void aLeaderThatWasFrozenDoesNotRenewCancelledTasks() {
        for (double frozenSeconds = 1; frozenSeconds < 40; frozenSeconds += 3) {
            SimulatedNode leader = settled(3);
            cancelWithoutReachingLeader(leader);
            leader.frozenUntil = cluster.clock.now + frozenSeconds;
            cluster.store.outage(70);
            cluster.run(65);
            expectStoppedInTime("j-1");
        }
    }

    @Test
    void anOldHeartbeatWithACancelledTaskRenewsNoLease() {
        SimulatedNode leader = settled(3);
        long before = incarnationSum();
        SimulatedWorker x =
                cluster.workers.values().stream()
                        .filter(
                                y ->
                                        y.tasks.keySet().stream()
                                                .anyMatch(key -> key.startsWith("j-1/")))
                        .findFirst()
                        .orElseThrow();
        Heartbeat old = x.currentHeartbeat();
        cutFromStore(leader, 9);
        cluster.run(0.5);
        cancel(otherThan(leader), "j-1");
        cluster.store.outage(60);
        for (int i = 0; i < 40; i++) {
            cluster.run(1);
            cluster.nodes
                    .values()
                    .forEach(node -> node.controller.onHeartbeat(old, response -> {}));
        }
        expectOnlyJ1Stopped(before);
    }

    /**
     * However long, an outage stops no tasks as long as all peers confirm that they cancelled none.
     */
    @Test
    void anOutageWithoutCancellationsStopsNoTasks() {
        SimulatedNode leader = settled(3);
        long before = incarnationSum();
        cluster.store.outage(200);
        cluster.run(195);
        assertEquals(before, incarnationSum());
        assertEquals(6, cluster.onMachines("j-1"));
        cluster.run(30);
        assertEquals(before, incarnationSum());
        assertEquals(6, cluster.onMachines("j-1"));
        assertFalse(leader.controller.cancellationWatermark.ageSeconds() > 5);
    }

    /** Nodes of a version without such confirmations, leader or peer: only the margin applies. */
    @Test
    void withNodesOfTheFormerVersionACancellationStopsItsTasksInTime() {
        for (int olds = 1; olds < 8; olds++) {
            SimulatedNode leader = settled(3);
            for (int i = 0; i < 3; i++) {
                cluster.nodes.get("k" + i).isProductionVersion = (olds >> i & 1) == 1;
            }
            cluster.run(3);
            cluster.nodes.values().forEach(node -> node.losesPeerMessages = true);
            cutFromStore(leader, 9);
            cluster.run(0.5);
            cancel(otherThan(leader), "j-1");
            cluster.store.outage(70);
            cluster.run(65);
            expectStoppedInTime("j-1");
        }
    }
}
