package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import org.junit.jupiter.api.Test;

/**
 * Loading the jobs from the store again leaves no references to their former objects.
 *
 * <p>Guards against a leader that loads all jobs again, for example after a response of the store
 * was lost, and clears only jobs, quotas and attempts. Each open job then counted as another
 * arrival, so that twice as many machines were kept ready for the next jobs, and a machine stayed
 * reserved for a stale job object for which nothing is ever placed.
 */
class ReloadedJobsTest {
    private final SimulatedCluster cluster = new SimulatedCluster();
    private final ShardState shard = new ShardState(cluster.settings("k1"), machine -> {});

    private Job load(String id, double submittedMillis) {
        Job job =
                new Job(
                        SimulatedCluster.job(id, Shape.ARRAY, 4, 1),
                        submittedMillis,
                        new double[] {60},
                        "jobs/open/" + id,
                        1,
                        256);
        shard.addJob(job);
        return job;
    }

    @Test
    void reloadedJobIsNotCountedAsAnotherArrival() {
        load("j-1", 0);
        load("j-2", 80_000);
        double before = shard.recentArrivals().jobsPerSecond("work", 100_000);
        for (int loads = 0; loads < 3; loads++) {
            shard.clearJobs();
            load("j-1", 0);
            load("j-2", 80_000);
            assertEquals(before, shard.recentArrivals().jobsPerSecond("work", 100_000));
        }
        shard.clearJobs();
        load("j-2", 80_000);
        assertEquals(
                before,
                shard.recentArrivals().jobsPerSecond("work", 100_000),
                "a job that has ended in the meantime still counts as an arrival");
    }

    @Test
    void reloadingJobsClearsReservationsForFormerJobObjects() {
        Machine machine = shard.getOrAddMachine("i-1", 0);
        machine.reserve(load("j-1", 0), 1000);
        shard.clearJobs();
        assertNull(machine.reservedFor());
        machine.reserveAllowingBackfill(load("j-1", 0), 1000);
        shard.clearJobs();
        assertNull(machine.reservedFor());
    }
}
