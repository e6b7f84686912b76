package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;

/** One controller and some workers for jobs that wait for others. */
abstract class JobDependenciesFixture {
    final SimulatedCluster cluster = new SimulatedCluster();

    SimulatedNode startCluster(int workers) {
        cluster.reportsChangesImmediately = true;
        SimulatedNode node = cluster.node("k0");
        for (int i = 0; i < workers; i++) {
            cluster.worker("i-" + i, i % 2 == 0 ? "a" : "b");
        }
        cluster.run(5);
        return node;
    }

    static JobSpec arrayJob(String id, int tasks) {
        return SimulatedCluster.job(id, Shape.ARRAY, tasks, 1);
    }

    /** As a user who comes again until there is an answer. */
    String awaitStatus(SimulatedNode node, String id) {
        for (int i = 0; i < 100; i++) {
            var response = cluster.ask(node, id);
            if (response != null && response.verdict() == Verdict.KNOWN) {
                return response.jobStatus().status();
            }
            cluster.run(0.5);
        }
        return "no answer";
    }

    void checkInvariants() {
        assertEquals(List.of(), cluster.violations);
    }
}
