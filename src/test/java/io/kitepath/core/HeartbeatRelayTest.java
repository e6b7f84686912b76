package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Heartbeats that arrive at a controller which does not lead: redirected to the leader, relayed to
 * it, or held until there is one.
 */
class HeartbeatRelayTest extends ClusterFixture {
    @Test
    void aWorkerCutOffFromTheLeaderIsAnsweredThroughASibling() {
        settled(2, 1);
        SimulatedNode leader = cluster.leader();
        SimulatedNode other = otherThan(leader);
        Heartbeat heartbeat =
                new Heartbeat("i-000077", "", "m4", "a", false, 1, 1, 0, null, List.of());
        HeartbeatResponse[] got = new HeartbeatResponse[2];
        other.controller.onHeartbeat(heartbeat, response -> got[0] = response);
        assertEquals(leader.name, got[0].redirectNode());
        other.controller.onHeartbeat(heartbeat, response -> got[1] = response);
        cluster.run(0.1);
        assertEquals(leader.controller.shard.fencingToken(), got[1].fencingToken());
    }

    @Test
    void aHeartbeatOfAWorkerThatLostTheLeaderIsRelayedAtOnce() {
        settled(2, 1);
        SimulatedNode leader = cluster.leader();
        SimulatedNode other = otherThan(leader);
        long token = leader.controller.shard.fencingToken();
        HeartbeatResponse[] got = new HeartbeatResponse[1];
        other.controller.onHeartbeat(
                new Heartbeat("i-000077", "", "m4", "a", false, 1, 9, token, null, List.of()),
                response -> got[0] = response);
        cluster.run(0.1);
        assertEquals(token, got[0].fencingToken());
    }

    @Test
    void aWorkerAndANodeThatBothLostTheLeaderAreAnsweredThroughTheThirdNode() {
        cluster.siblings.addAll(List.of("k0", "k1", "k2"));
        settled(3, 1);
        SimulatedNode leader = cluster.leader();
        SimulatedNode cut = otherThan(leader);
        long token = leader.controller.shard.fencingToken();
        cut.cutFrom.add(leader.name);
        cluster.run(4);
        HeartbeatResponse[] got = new HeartbeatResponse[1];
        cut.controller.onHeartbeat(
                new Heartbeat(
                        "i-000077",
                        "",
                        "m4",
                        "a",
                        false,
                        1,
                        9,
                        token,
                        null,
                        List.of(
                                new Heartbeat.TaskStatus(
                                        "j-1", 0, 1, Heartbeat.TaskState.RUNNING, null))),
                response -> got[0] = response);
        cluster.run(0.1);
        assertEquals(token, got[0].fencingToken());
    }

    @Test
    void aHeartbeatHeldForACrashedLeaderIsAnsweredByTheNextOne() {
        settled(2, 1);
        SimulatedNode leader = cluster.leader();
        SimulatedNode other = otherThan(leader);
        cluster.submit(leader, job("j-1", Shape.ARRAY, 1, 1));
        cluster.run(2);
        long token = leader.controller.shard.fencingToken();
        leader.crash();
        HeartbeatResponse[] got = new HeartbeatResponse[1];
        other.controller.onHeartbeat(
                new Heartbeat(
                        "i-000077",
                        "",
                        "m4",
                        "a",
                        false,
                        1,
                        9,
                        token,
                        null,
                        List.of(
                                new Heartbeat.TaskStatus(
                                        "j-1", 0, 1, Heartbeat.TaskState.RUNNING, null))),
                response -> got[0] = response);
        cluster.run(3);
        assertEquals(cluster.leader().controller.shard.fencingToken(), got[0].fencingToken());
        assertTrue(got[0].fencingToken() > token);
    }

    @Test
    void aHeartbeatWithoutALeaderIsAnsweredOnceOneIsElected() {
        settled(2, 1);
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 1, 1));
        cluster.run(3);
        cluster.nodes.values().forEach(SimulatedNode::crash);
        cluster.run(5);
        SimulatedNode node = cluster.node("k0");
        HeartbeatResponse[] got = new HeartbeatResponse[1];
        node.controller.onHeartbeat(
                new Heartbeat("i-000077", "", "m4", "a", false, 1, 9, 1, null, List.of()),
                response -> got[0] = response);
        cluster.run(0.9);
        assertEquals(2, got[0].fencingToken());
    }
}
