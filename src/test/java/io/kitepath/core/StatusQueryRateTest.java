package io.kitepath.core;

import static io.kitepath.core.ConcurrentFaultsTest.other;
import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * More questions than a node's part of the store's rate allows, while the holder can't be asked.
 */
class StatusQueryRateTest {
    /**
     * A node that reaches the store but not the holder is asked about many jobs that it never heard
     * of, more often than its part of the store's rate allows: each of them gets its answer before
     * it counts as forgotten.
     */
    @Test
    void questionsBeyondTheRateDoNotKeepOthersFromTheirAnswers() {
        for (double rps : new double[] {60, 120}) {
            SimulatedCluster cluster = new SimulatedCluster();
            cluster.requestsPerSecond = rps;
            cluster.heartbeatIntervalSeconds = 2;
            cluster.siblings.addAll(List.of("k0", "k1", "k2"));
            cluster.siblings.forEach(cluster::node);
            for (int i = 0; i < 4; i++) {
                cluster.worker("i-" + i, i % 2 == 0 ? "a" : "b");
            }
            cluster.run(12);
            cluster.taskSeconds = id -> 500;
            SimulatedNode holder = cluster.leader();
            SimulatedNode apart = other(cluster, holder);
            cluster.siblings.forEach(apart.cutFrom::add);
            List<String> jobs = IntStream.range(10, 30).mapToObj(i -> "j-" + i).toList();
            jobs.forEach(id -> cluster.submit(holder, job(id, Shape.ARRAY, 1, 0.5)));
            cluster.run(5);
            List<String> open = new ArrayList<>(jobs);
            double began = cluster.clock.now;
            int asked = 0;
            while (!open.isEmpty() && cluster.clock.now - began < 75) {
                String id = jobs.get(asked++ % jobs.size());
                apart.controller
                        .jobApi()
                        .status(
                                id,
                                response -> {
                                    if (response.verdict() == Verdict.KNOWN) {
                                        open.remove(id);
                                    }
                                });
                cluster.run(0.04);
            }
            assertEquals(List.of(), open, "rate " + rps);
            assertEquals(List.of(), cluster.violations, "rate " + rps);
        }
    }
}
