package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;

/**
 * Set-up for the cancellation gap: the store refuses the leader alone, another node confirms
 * cancellations, then the store is unavailable to all for longer than cancel_s, while workers keep
 * reporting to the old leader. The invariant checker reports what is still on a machine cancel_s
 * after any user got the confirmation.
 */
abstract class CancellationGapFixture {
    SimulatedCluster cluster;

    /** Starts a cluster with jobs j-1 and j-2, to be cancelled, and j-3; returns the leader. */
    SimulatedNode settled(int nodes) {
        cluster = SimulatedClusters.settled(nodes, 4);
        cluster.taskSeconds = id -> 400;
        // The clocks of the nodes differ by as much as is allowed.
        cluster.nodes.get("k0").clockOffsetMillis = 5;
        cluster.nodes.get("k" + (nodes - 1)).clockOffsetMillis = -5;
        SimulatedNode leader = cluster.leader();
        cluster.submit(leader, job("j-1", Shape.ARRAY, 6, 1));
        cluster.submit(leader, job("j-2", Shape.GANG, 3, 1));
        cluster.submit(leader, job("j-3", Shape.ARRAY, 4, 1));
        cluster.run(6);
        assertEquals(6, cluster.onMachines("j-1"));
        assertEquals(3, cluster.onMachines("j-2"));
        assertEquals(4, cluster.onMachines("j-3"));
        return leader;
    }

    /** The first running node that is not the given one. */
    SimulatedNode otherThan(SimulatedNode leader) {
        return cluster.nodes.values().stream()
                .filter(node -> node != leader && node.alive)
                .findFirst()
                .orElseThrow();
    }

    void cancel(SimulatedNode node, String id) {
        var response = cluster.cancel(node, id);
        assertEquals("cancelled", response.jobStatus().status());
    }

    void cutFromStore(SimulatedNode node, double seconds) {
        node.cutFromStore = true;
        cluster.after(seconds, () -> node.cutFromStore = false);
    }

    /**
     * The store refuses the leader alone; a peer confirms that j-1 is cancelled, and its message to
     * the leader is lost.
     */
    SimulatedNode cancelWithoutReachingLeader(SimulatedNode leader) {
        SimulatedNode peer = otherThan(leader);
        peer.losesPeerMessages = true;
        cutFromStore(leader, 9);
        cluster.run(0.5);
        peer.cutFrom.add(leader.name);
        cancel(peer, "j-1");
        return peer;
    }

    /** Grows by one whenever a worker starts a new incarnation. */
    long incarnationSum() {
        return cluster.workers.values().stream().mapToLong(worker -> worker.session).sum();
    }

    /**
     * No task of a cancelled job was on a machine too late, and none of these jobs is on one now.
     */
    void expectStoppedInTime(String... cancelledJobs) {
        assertEquals(List.of(), cluster.violations);
        for (String id : cancelledJobs) {
            assertEquals(0, cluster.onMachines(id), id);
        }
    }

    /** Job j-1 was stopped in time; no worker lost its incarnation, and j-3 runs on. */
    void expectOnlyJ1Stopped(long incarnationsBefore) {
        assertEquals(incarnationsBefore, incarnationSum(), "sessions of workers ended");
        assertEquals(4, cluster.onMachines("j-3"));
        expectStoppedInTime("j-1");
    }
}
