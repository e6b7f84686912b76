package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedWorker;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A gang is placed on two machines, and one of them hangs before it is told to start its task.
 *
 * <p>What happened, with seed 437 of AllTroublesSeedsTest: the gang's three tasks on the other
 * machine began. Earlier tasks on the hung machine ended, so it resumed with two heartbeats at
 * once. The answer to the first launched the fourth task, the second did not show it: "attempt
 * ended, not in newer heartbeat: attempt=j-101/0#1@i-000002 ... sequence=15 wasSeen=false
 * startAnsweredSequence=14". A gang that runs without a task has lost it, so the whole gang was
 * stopped and started on the other machine, while the fourth task of the first attempt ran where it
 * had been launched. {@code SimulatedWorkerTest} has the cause.
 */
class GangOnHungMachineTest {
    private static final Map<String, Double> TASK_SECONDS =
            Map.of("j-1", 6.0, "j-2", 300.0, "j-3", 8.0);

    private final SimulatedCluster cluster = settled(1, 2);
    private final SimulatedWorker hung = cluster.workers.get("i-000000");
    private final SimulatedWorker other = cluster.workers.get("i-000001");

    private void submit(String id, Shape shape, int tasks, String zone) {
        JobSpec spec = job(id, shape, tasks, 1).toBuilder().zone(zone).build();
        cluster.submit(cluster.leader(), spec);
    }

    private long onMachine(SimulatedWorker worker, String id) {
        return worker.tasks.values().stream()
                .filter(task -> task.jobId.equals(id) && task.isOnMachine())
                .count();
    }

    private void hangFor(double hangSeconds, double submittedAfter) {
        String at = "hung for " + hangSeconds + " s, submitted after " + submittedAfter;
        cluster.taskSeconds = TASK_SECONDS::get;
        submit("j-1", Shape.ARRAY, 3, hung.zone);
        submit("j-3", Shape.ARRAY, 1, other.zone);
        cluster.run(4);
        assertEquals(3, onMachine(hung, "j-1"), at);
        assertEquals(1, onMachine(other, "j-3"), at);
        hung.hangingUntil = cluster.clock.now + hangSeconds;
        cluster.run(submittedAfter);
        submit("j-2", Shape.GANG, 4, null);
        cluster.run(hangSeconds - submittedAfter - 0.2);
        assertEquals(0, onMachine(hung, "j-2"), at);
        assertEquals(3, onMachine(other, "j-2"), at + ": the gang began without the hung machine");
        cluster.run(30);
        assertEquals(List.of(), cluster.violations, at);
        assertEquals(4, cluster.onMachines("j-2"), at);
    }

    /** The machine resumes, and the gang comes, at every quarter of a second of half a lease. */
    @Test
    void noTaskOfTheGangRunsTwice() {
        int runs = 0;
        for (double hang = 3.5; hang <= 7.5; hang += 0.25) {
            for (double submittedAfter = 0; submittedAfter <= 1; submittedAfter += 0.25) {
                new GangOnHungMachineTest().hangFor(hang, submittedAfter);
                runs++;
            }
        }
        assertTrue(runs > 80, "runs: " + runs);
    }
}
