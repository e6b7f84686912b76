package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedNode;
import org.junit.jupiter.api.Test;

/**
 * Submission of jobs to a whole simulated cluster: runs, repeated submissions, and jobs that were
 * never submitted.
 */
class SubmissionTest extends ClusterFixture {
    @Test
    void anArrayRunsAndIsDoneOnEveryNode() {
        settled(3, 2);
        assertEquals(
                Verdict.CREATED,
                cluster.submit(cluster.nodes.get("k1"), job("j-1", Shape.ARRAY, 6, 1)).verdict());
        cluster.run(40);
        for (SimulatedNode node : cluster.nodes.values()) {
            assertEquals("done", cluster.status(node, "j-1"));
        }
    }

    @Test
    void aJobSubmittedAgainAfterItIsOverGetsItsFinalState() {
        SimulatedNode node = settled(2, 1);
        cluster.submit(node, job("j-1", Shape.ARRAY, 1, 1));
        cluster.run(30);
        JobSubmissionService.JobResponse again =
                cluster.submit(cluster.nodes.get("k1"), job("j-1", Shape.ARRAY, 1, 1));
        assertEquals(Verdict.KNOWN, again.verdict());
        assertEquals("done", again.jobStatus().status());
    }

    @Test
    void aJobThatNobodySubmittedIsUnknown() {
        assertEquals(Verdict.NOT_FOUND, cluster.ask(settled(1, 0), "j-77").verdict());
    }

    @Test
    void aSubmissionWhoseAnswerWasLostIsKnownWhenItIsRepeated() {
        SimulatedNode node = settled(1, 0);
        cluster.store.responsesToLose = 1;
        cluster.submit(node, job("j-1", Shape.ARRAY, 1, 1));
        cluster.run(1);
        assertEquals(Verdict.KNOWN, cluster.submit(node, job("j-1", Shape.ARRAY, 1, 1)).verdict());
    }
}
