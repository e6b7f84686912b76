package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedNode;
import org.junit.jupiter.api.Test;

/**
 * A store that is unavailable, for all controllers or for the leader alone, or whose responses are
 * lost.
 */
class StoreOutageTest extends ClusterFixture {
    @Test
    void duringAnOutageNothingIsAcceptedAndWorkGoesOn() {
        SimulatedNode node = settled(3, 1);
        cluster.workers.get("i-000000").taskSeconds = 60;
        cluster.submit(node, job("j-1", Shape.ARRAY, 2, 1));
        cluster.run(3);
        cluster.store.outage(25);
        cluster.run(1);
        assertEquals(Verdict.LATER, cluster.submit(node, job("j-2", Shape.ARRAY, 1, 1)).verdict());
        cluster.run(22);
        assertEquals(2, cluster.onMachines("j-1"));
        assertEquals(2, cluster.workers.get("i-000000").started);
        cluster.run(50);
        assertEquals("done", cluster.status(node, "j-1"));
    }

    @Test
    void requestsDuringAKnownOutageAreRefusedWithLaterImmediately() {
        SimulatedNode node = settled(1, 1);
        cluster.submit(node, job("j-1", Shape.ARRAY, 1, 1));
        cluster.run(30);
        assertEquals("done", cluster.status(node, "j-1"));
        cluster.store.outage(20);
        cluster.run(10);
        JobSubmissionService.JobResponse[] got = new JobSubmissionService.JobResponse[3];
        node.controller
                .jobApi()
                .submit(job("j-2", Shape.ARRAY, 1, 1), response -> got[0] = response);
        node.controller.jobApi().status("j-2", response -> got[1] = response);
        node.controller.jobApi().cancel("j-2", response -> got[2] = response);
        for (JobSubmissionService.JobResponse response : got) {
            assertEquals(Verdict.LATER, response.verdict());
        }
        assertEquals("done", cluster.status(node, "j-1"));
        cluster.run(11);
        assertEquals(
                Verdict.CREATED, cluster.submit(node, job("j-2", Shape.ARRAY, 1, 1)).verdict());
    }

    @Test
    void aJobFinishesAfterAllNodesRestartDuringAnOutage() {
        settled(2, 2);
        cluster.submit(cluster.nodes.get("k0"), job("j-1", Shape.ARRAY, 4, 1));
        cluster.run(2);
        cluster.store.outage(5);
        cluster.run(1);
        cluster.nodes.values().forEach(SimulatedNode::crash);
        cluster.run(1);
        cluster.node("k0");
        cluster.node("k1");
        cluster.run(60);
        assertEquals("done", cluster.status(cluster.nodes.get("k1"), "j-1"));
    }

    @Test
    void aWriteWhoseResponseWasLostTakesEffectOnce() {
        SimulatedNode node = settled(1, 1);
        cluster.store.execute(submission(job("j-1", Shape.ARRAY, 3, 1)));
        cluster.store.responsesToLose = 1;
        cluster.run(60);
        assertEquals("done", cluster.status(node, "j-1"));
        assertEquals(3, cluster.workers.get("i-000000").started);
    }

    @Test
    void aLeaderCutOffFromTheStoreAloneYieldsToANodeThatReachesIt() {
        settled(3, 2);
        SimulatedNode first = cluster.leader();
        cluster.submit(first, job("j-1", Shape.ARRAY, 4, 1));
        cluster.run(2);
        first.cutFromStore = true;
        cluster.run(8);
        SimulatedNode second = cluster.leader();
        assertFalse(second == first);
        assertFalse(first.controller.leadership.isLeading());
        assertFalse(first.controller.isHealthy());
        cluster.run(40);
        assertEquals("done", cluster.status(second, "j-1"));
        assertEquals(4, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
    }
}
