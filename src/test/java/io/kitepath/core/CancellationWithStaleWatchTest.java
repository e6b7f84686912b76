package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import io.kitepath.simulation.TransactionKeys;
import org.junit.jupiter.api.Test;

/**
 * The leader keeps its lease, but its watch or its comparisons with the store show it a
 * cancellation late or never.
 */
class CancellationWithStaleWatchTest extends CancellationGapFixture {
    @Test
    void withASlowStoreACancellationStopsItsTasksInTime() {
        for (double slow : new double[] {0.5, 2, 5, 20}) {
            SimulatedNode leader = settled(3);
            SimulatedNode peer = otherThan(leader);
            peer.losesPeerMessages = true;
            cluster.run(0.5);
            cluster.store.ignoresRequestsOf = client -> client == leader;
            peer.cutFrom.add(leader.name);
            cancel(peer, "j-1");
            cluster.store.extraLatencySeconds = slow;
            cluster.run(65);
            expectStoppedInTime("j-1");
            cluster.store.extraLatencySeconds = 0;
            cluster.store.ignoresRequestsOf = client -> false;
            peer.cutFrom.clear();
            cluster.run(60);
            assertEquals(4, cluster.onMachines("j-3"));
        }
    }

    /**
     * Lease renewals go through, so it stays leader; a silent watch is no proof that nothing
     * changed.
     */
    @Test
    void aWatchThatHangsHidesNoCancellationFromTheLeader() {
        SimulatedNode leader = settled(3);
        long before = incarnationSum();
        SimulatedNode peer = otherThan(leader);
        peer.losesPeerMessages = true;
        cluster.store.ignoresRequestsOf = client -> client == leader;
        peer.cutFrom.add(leader.name);
        cancel(peer, "j-1");
        cluster.run(31);
        expectOnlyJ1Stopped(before);
        assertTrue(leader.controller.isServingShard());
    }

    /**
     * The transaction is executed late, a user of another node learns of it from a status query,
     * and the leader's watch hangs.
     */
    @Test
    void aCancellationReportedToAStatusQueryStopsItsTasksInTime() {
        SimulatedNode leader = settled(3);
        SimulatedNode peer = otherThan(leader);
        SimulatedNode third =
                cluster.nodes.values().stream()
                        .filter(node -> node != leader && node != peer)
                        .findFirst()
                        .orElseThrow();
        cluster.nodes.values().forEach(node -> node.losesPeerMessages = true);
        cluster.store.ignoresRequestsOf = client -> client == leader;
        cutFromStore(leader, 9);
        cluster.store.executionDelaySeconds =
                transaction ->
                        TransactionKeys.writes(transaction, StoreKeys.ENDED_JOBS + "j-1") ? 1 : 0;
        assertEquals(null, cluster.cancel(peer, "j-1"));
        peer.crash();
        cluster.run(1.2);
        assertEquals("cancelled", cluster.ask(third, "j-1").jobStatus().status());
        cluster.store.outage(70);
        cluster.node(peer.name);
        cluster.run(65);
        expectStoppedInTime("j-1");
    }

    /**
     * A status query at the leader reads the cancellation: the leader knows it then, without its
     * watch.
     */
    @Test
    void aCancellationReportedByTheLeaderItselfIsKnownToIt() {
        SimulatedNode leader = settled(1);
        long before = incarnationSum();
        cluster.store.ignoresRequestsOf = client -> true;
        cluster.store.executionDelaySeconds =
                transaction ->
                        TransactionKeys.writes(transaction, StoreKeys.ENDED_JOBS + "j-1") ? 0.7 : 0;
        cluster.cancel(leader, "j-1");
        // Just after it was executed, and before the next comparison would find it.
        cluster.run(0.605);
        double proven = leader.controller.cancellationWatermark.ageSeconds();
        cluster.store.holdsBack =
                transaction ->
                        transaction.conditions().stream()
                                .noneMatch(condition -> condition.revision() == 0);
        cluster.ask(leader, "j-1");
        assertTrue(cluster.reportedCancelledAt.containsKey("j-1"));
        assertTrue(proven < 1.5, "age " + proven);
        cluster.store.outage(60);
        cluster.run(45);
        expectOnlyJ1Stopped(before);
    }

    /**
     * Whether a delayed response may renew leases is decided when it is sent, not when the
     * heartbeat came.
     */
    @Test
    void aDelayedHeartbeatResponseIsCheckedAgainWhenItIsSent() {
        SimulatedNode leader = settled(2);
        cluster.worker("i-000009", "a");
        cluster.run(6);
        cluster.nodes.values().forEach(node -> node.cutFrom.addAll(cluster.siblings));
        // Its lease is renewed all the while, but no comparison with the store is answered.
        cluster.store.holdsBack = transaction -> transaction.writes().isEmpty();
        while (leader.controller.cancellationWatermark.ageSeconds()
                < leader.controller.settings.workers().cancellationStalenessSeconds() - 0.6) {
            cluster.run(0.1);
        }
        SimulatedWorker idle = cluster.workers.get("i-000009");
        HeartbeatResponse[] got = new HeartbeatResponse[1];
        leader.controller.onHeartbeat(idle.currentHeartbeat(), response -> got[0] = response);
        assertEquals(null, got[0]);
        cluster.run(2.1);
        assertEquals(0, got[0].fencingToken());
    }
}
