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
 * The order that the scheduler remembers for callers to whom an old one will do.
 *
 * <p>What happens: after a load of all jobs by the same leader, what plans machines still sees the
 * former objects of the jobs, with tasks that wait although they are placed by now. Why: the order
 * was forgotten only when leadership was lost. What shows it: the objects asserted here.
 */
class RememberedOrderTest {
    private static final double ANY_AGE = 1000;

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
    void itHasNoObjectsFromBeforeALoad() {
        Job former = load("j-1");
        assertEquals(List.of(former), scheduler.orderedJobs(1, 1000, ANY_AGE));
        load("j-2");
        assertEquals(List.of(former), scheduler.orderedJobs(2, 2000, ANY_AGE), "remembered");
        shard.clearJobs();
        Job loaded = load("j-1");
        List<Job> order = scheduler.orderedJobs(3, 3000, ANY_AGE);
        assertEquals(1, order.size());
        assertSame(loaded, order.get(0));
    }
}
