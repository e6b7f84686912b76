package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import org.junit.jupiter.api.Test;

/**
 * Jobs that are loaded from the store once more leave nothing of their former objects behind.
 *
 * <p>What happens: a leader loads all jobs again, for instance after an answer of the store was
 * lost. Each open job then counts as one more arrival, so that twice as many machines are kept
 * ready for what comes next; and a machine stays reserved for an object of the job that nothing
 * will ever be placed for. Why: only jobs, quotas and attempts were cleared. What shows it: the
 * figures asserted here.
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
    void aJobThatIsLoadedAgainIsNoFurtherArrival() {
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
                "one that has ended meanwhile still tells what comes next");
    }

    @Test
    void noMachineStaysReservedForAnObjectThatIsNoMore() {
        Machine machine = shard.getOrAddMachine("i-1", 0);
        machine.reserve(load("j-1", 0), 1000);
        shard.clearJobs();
        assertNull(machine.reservedFor());
        machine.reserveAllowingBackfill(load("j-1", 0), 1000);
        shard.clearJobs();
        assertNull(machine.reservedFor());
    }
}
