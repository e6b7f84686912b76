package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests the demands that dependent jobs make on their dependencies, and how their outcomes are
 * passed on.
 */
class DependencyDemandTest {
    private static final int TASKS_PER_PART = 4;

    private final ClusterSettings settings = new SimulatedCluster().settings("k1");
    private final ShardState shard = new ShardState(settings, machine -> {});

    private static JobSpec spec(String id) {
        return SimulatedCluster.job(id, Shape.ARRAY, 1, 1);
    }

    private static JobSpec withDeadline(JobSpec spec, double seconds) {
        Map<String, Object> record = new HashMap<>(spec.toRecord());
        record.put("deadline", seconds);
        return JobSpec.fromRecord(spec.id(), record);
    }

    private Job job(String id, String... dependencies) {
        return job(id, JobSpec.Priority.NORMAL, dependencies);
    }

    private Job job(String id, JobSpec.Priority priority, String... dependencies) {
        return job(SimulatedCluster.with(spec(id), "red", priority, false), dependencies);
    }

    private Job job(JobSpec spec, String... dependencies) {
        JobRecord record = new JobRecord(spec, 5000, List.of(dependencies), 0, 0);
        Job job = Job.of(record, settings, "jobs/open/" + spec.id(), 1, TASKS_PER_PART);
        shard.addJob(job);
        return job;
    }

    @Test
    void dependentRaisesPriorityOfDependencyUntilItFinishes() {
        Job first = job("j-1", JobSpec.Priority.LOW);
        double goal = first.startGoalMillis(0);
        Job second = job("j-2", JobSpec.Priority.HIGH, "j-1");
        assertEquals(JobSpec.Priority.HIGH, first.effectivePriority());
        assertEquals(JobSpec.Priority.LOW, first.spec.priority());
        assertFalse(first.hasDeadline());
        assertEquals(Double.POSITIVE_INFINITY, first.dueMillis());
        assertEquals(goal, first.startGoalMillis(0));
        assertEquals(1, shard.jobDependencies().heldJobCount());

        shard.finishJob("j-2");
        assertTrue(second.isFinished());
        assertEquals(JobSpec.Priority.LOW, first.effectivePriority());
        assertEquals(0, shard.jobDependencies().heldJobCount());
    }

    @Test
    void deadlineOfDependentBecomesStartGoalOfDependency() {
        Job first = job("j-1");
        Job second = job(withDeadline(spec("j-2"), 300), "j-1");
        assertTrue(first.hasDeadline());
        assertTrue(first.dueMillis() < 305_000 - 20_000);
        assertEquals(first.dueMillis() - 20_000, first.startGoalMillis(0));

        shard.jobDependencies().recordOutcome("j-1", true, 9000);
        assertFalse(second.isHeld());
        assertEquals(9000, second.eligibleSinceMillis());
    }

    @Test
    void cancellationOfDependencyPropagatesToAllDependents() {
        job("j-1");
        Job second = job("j-2", "j-1");
        Job third = job("j-3", "j-2");
        shard.jobDependencies().recordOutcome("j-1", false, 9000);
        assertEquals(List.of(second, third), shard.jobDependencies().jobsToCancel());
        assertTrue(third.hasCancelledDependency() && third.isHeld());
        assertEquals(0, third.waitingTasks());
    }
}
