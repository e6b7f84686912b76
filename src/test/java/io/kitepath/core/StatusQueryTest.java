package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.service.JobSubmissionService;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Status queries: where each node takes its answer from, what the answer says, and how few store
 * requests it costs.
 */
class StatusQueryTest extends ClusterFixture {
    @Test
    void manyStatusQueriesCostFewStoreRequests() {
        settled(3, 4);
        SimulatedNode asked = otherThan(cluster.leader());
        for (int i = 0; i < 300; i++) {
            cluster.submit(asked, job("j-" + i, Shape.ARRAY, 1, 1));
        }
        int before = asked.requests;
        int[] known = new int[1];
        for (int s = 0; s < 10; s++) {
            for (int i = 0; i < 300; i++) {
                asked.controller
                        .jobApi()
                        .status(
                                "j-" + i,
                                response ->
                                        known[0] += response.verdict() == Verdict.KNOWN ? 1 : 0);
            }
            cluster.run(1);
        }
        assertEquals(3000, known[0]);
        // Four comparisons a second for 300 jobs, and the requests of the node itself.
        assertTrue(asked.requests - before < 100, asked.requests - before + " requests");
    }

    @Test
    void progressComesFromTheLeaderOrFromStoredRecordsWhenItIsDown() {
        settled(2, 2);
        SimulatedNode leader = cluster.leader();
        SimulatedNode other = otherThan(leader);
        cluster.submit(leader, job("j-1", Shape.ARRAY, 5, 1));
        cluster.run(5);
        JobStatus seen = cluster.ask(other, "j-1").jobStatus();
        assertEquals("running", seen.status());
        assertEquals(5, seen.runningTaskCount());
        SimulatedNode fresh = cluster.node("k2");
        cluster.siblings.addAll(List.of("k0", "k1"));
        cluster.run(0.05);
        leader.crash();
        assertEquals(5, cluster.ask(fresh, "j-1").jobStatus().runningTaskCount());
    }

    @Test
    void aFinishedJobIsReportedByEveryNodeWithoutReadingTheStoreAgain() {
        settled(3, 1);
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 1, 1));
        cluster.run(40);
        for (SimulatedNode node : cluster.nodes.values()) {
            int before = node.requests;
            assertEquals("done", cluster.status(node, "j-1"));
            assertTrue(node.requests - before <= 2, "asked the store again");
        }
    }

    @Test
    void anUnfinishedJobsStatusNotesWhatItWaitsFor() {
        settled(2, 1);
        SimulatedNode leader = cluster.leader();
        SimulatedNode other = otherThan(leader);
        cluster.submit(other, job("j-1", Shape.ARRAY, 6, 1));
        cluster.run(5);
        assertEquals(
                "2 tasks wait for room of 1.0 CPUs each",
                cluster.ask(other, "j-1").jobStatus().note());
        leader.crash();
        JobSubmissionService.JobResponse[] got = new JobSubmissionService.JobResponse[1];
        other.controller.jobApi().status("j-1", response -> got[0] = response);
        cluster.run(0.6);
        String note = got[0].jobStatus().note();
        assertEquals(4, got[0].jobStatus().runningTaskCount());
        assertTrue(
                note.contains("does not answer") && note.endsWith("the figures are from before"),
                note);
    }
}
