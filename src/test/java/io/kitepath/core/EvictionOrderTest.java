package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedCluster.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedNode;
import org.junit.jupiter.api.Test;

/** Which work is stopped for which has no cycle, by priorities and guarantees together. */
class EvictionOrderTest extends ClusterFixture {
    private static final double TASK_SECONDS = 30;

    private SimulatedNode clusterOf(int machines, int redCpus, int greenCpus) {
        cluster.taskSeconds = id -> TASK_SECONDS;
        cluster.teams.put("red", team("red", redCpus));
        cluster.teams.put("green", team("green", greenCpus));
        return settled(1, machines);
    }

    private static ClusterSettings.Team team(String name, int guaranteedCpus) {
        return new ClusterSettings.Team(name, guaranteedCpus, 0, 0, 0);
    }

    /** Every job ends in the time that its tasks would take one by one, each stopped once. */
    private void assertAllEnd(SimulatedNode node, JobSpec... specs) {
        int tasks = 0;
        for (JobSpec spec : specs) {
            tasks += spec.taskCount();
        }
        cluster.run(2 * tasks * TASK_SECONDS);
        for (JobSpec spec : specs) {
            assertEquals("done", cluster.status(node, spec.id()), spec.id());
        }
        long evictions = evictions(node);
        assertTrue(evictions <= tasks, evictions + " evictions of " + tasks + " tasks");
    }

    // Guards against two jobs that stop each other in turn, one by priority, one by guarantee.
    @Test
    void urgentWorkBeyondItsGuaranteeAndGuaranteedWorkOfAnotherTeamBothEnd() {
        SimulatedNode node = clusterOf(1, 2, 4);
        JobSpec guaranteed = with(job("j-1", Shape.ARRAY, 2, 2), "green", Priority.LOW, false);
        JobSpec urgent = with(job("j-2", Shape.ARRAY, 2, 2), "red", Priority.HIGH, false);
        cluster.submit(node, guaranteed);
        cluster.run(4);
        cluster.submit(node, urgent);
        assertAllEnd(node, guaranteed, urgent);
    }

    // Guards against three jobs that stop one another in a circle: by priority within a team, by
    // priority between guarantees, and by guarantee.
    @Test
    void threeJobsOfTwoTeamsThatOutrankOneAnotherInACircleAllEnd() {
        SimulatedNode node = clusterOf(2, 4, 4);
        JobSpec guaranteed = with(job("j-1", Shape.ARRAY, 1, 4), "red", Priority.NORMAL, false);
        JobSpec other = with(job("j-2", Shape.ARRAY, 1, 4), "green", Priority.LOW, false);
        JobSpec urgent = with(job("j-3", Shape.ARRAY, 1, 4), "red", Priority.HIGH, false);
        cluster.submit(node, guaranteed);
        cluster.submit(node, other);
        cluster.run(4);
        cluster.submit(node, urgent);
        assertAllEnd(node, guaranteed, other, urgent);
    }
}
