package io.kitepath.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.kitepath.core.model.LoopTimeAccounting;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.simulation.SimulatedCluster;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stale cached job order for callers that accept an old one. After the same leader
 * loaded all jobs again, the machine planner still saw the former job objects, whose tasks waited
 * although they were already placed, because the order was cleared only when leadership was lost.
 */
class CachedJobOrderTest {
    private static final double MAX_AGE_SECONDS = 1000;

    private final ShardState shard =
            new ShardState(new SimulatedCluster().settings("k1"), machine -> {});
    private final Scheduler scheduler =
            new Scheduler(shard, new Random(1), new LoopTimeAccounting(() -> 0));

    private Job load(String id) {
        Job job = JobBuilder.job(id).build();
        shard.addJob(job);
        return job;
    }

    @Test
    void returnsReloadedJobObjectsAfterJobsAreClearedAndLoaded() {
        Job former = load("j-1");
        assertEquals(List.of(former), scheduler.orderedJobs(1, 1000, MAX_AGE_SECONDS));
        load("j-2");
        assertEquals(List.of(former), scheduler.orderedJobs(2, 2000, MAX_AGE_SECONDS), "cached");
        shard.clearJobs();
        Job loaded = load("j-1");
        List<Job> order = scheduler.orderedJobs(3, 3000, MAX_AGE_SECONDS);
        assertEquals(1, order.size());
        assertSame(loaded, order.get(0));
    }
}
