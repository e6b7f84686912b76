package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.model.LoopTimeAccounting;
import io.kitepath.core.scheduling.Scheduler;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Jobs that wait for others: when they start, and what they hold and inherit meanwhile. */
class JobDependenciesTest extends JobDependenciesFixture {
    @Test
    void startsOnceAllThatItNeedsIsDoneAndNotBefore() {
        SimulatedNode node = startCluster(3);
        cluster.submit(node, arrayJob("j-1", 3));
        cluster.submit(node, arrayJob("j-2", 5), "j-1");
        cluster.submit(node, arrayJob("j-3", 1), "j-1", "j-2", "j-1");
        cluster.run(19);
        assertEquals("pending", cluster.status(node, "j-2"));
        assertEquals("waits for j-1 to be done", cluster.ask(node, "j-2").jobStatus().note());
        assertEquals("waits for j-1, j-2 to be done", cluster.ask(node, "j-3").jobStatus().note());
        cluster.run(4);
        assertEquals("running", cluster.status(node, "j-2"));
        assertEquals("pending", cluster.status(node, "j-3"));
        cluster.run(45);
        assertEquals("done", cluster.status(node, "j-3"));
        checkInvariants();
    }

    @Test
    void aDependentJobStartsWithinOneHeartbeatOfItsDependencysEnd() {
        SimulatedNode node = startCluster(2);
        cluster.submit(node, arrayJob("j-1", 1));
        cluster.submit(node, arrayJob("j-2", 1), "j-1");
        double[] ended = new double[1];
        double[] began = new double[1];
        cluster.clock.onTaskEnd =
                task -> ended[0] = task.jobId.equals("j-1") ? cluster.clock.now : ended[0];
        cluster.clock.onTaskStart =
                task -> began[0] = task.jobId.equals("j-2") ? cluster.clock.now : began[0];
        cluster.run(40);
        // A report that is due at once, one write for the end, one for the placing, the next
        // report.
        assertTrue(
                began[0] - ended[0] < 1.5 * cluster.heartbeatIntervalSeconds,
                "took " + (began[0] - ended[0]));
        checkInvariants();
    }

    @Test
    void whatNamesAJobThatNeverWasIsRefusedAndWhatNamesOneThatIsOverIsNot() {
        SimulatedNode node = startCluster(1);
        assertEquals(Verdict.REFUSED, cluster.submit(node, arrayJob("j-2", 1), "j-1").verdict());
        assertEquals(Verdict.REFUSED, cluster.submit(node, arrayJob("j-2", 1), "j-2").verdict());
        assertEquals("NOT_FOUND", cluster.status(node, "j-2"));
        cluster.submit(node, arrayJob("j-1", 1));
        cluster.run(30);
        assertEquals("done", cluster.status(node, "j-1"));
        assertEquals(Verdict.CREATED, cluster.submit(node, arrayJob("j-2", 1), "j-1").verdict());
        cluster.run(2);
        assertEquals("running", cluster.status(node, "j-2"));
        cluster.submit(node, SimulatedCluster.job("j-9", Shape.SERVICE, 1, 1));
        assertEquals(Verdict.REFUSED, cluster.submit(node, arrayJob("j-3", 1), "j-9").verdict());
        cluster.store.outage(3);
        cluster.run(0.1);
        assertEquals(Verdict.LATER, cluster.submit(node, arrayJob("j-4", 1), "j-8").verdict());
        checkInvariants();
    }

    @Test
    void aKnownJobIsAnsweredWhateverItsRepetitionNames() {
        SimulatedNode node = startCluster(1);
        cluster.submit(node, arrayJob("j-1", 1));
        assertEquals(Verdict.KNOWN, cluster.submit(node, arrayJob("j-1", 1), "j-77").verdict());
    }

    @Test
    void manyNeedsAreLookedForTogether() {
        SimulatedNode node = startCluster(1);
        String[] ids = new String[120];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = "j-" + (100 + i);
            cluster.submit(node, arrayJob(ids[i], 1));
        }
        SimulatedNode other = cluster.node("k1");
        cluster.run(1);
        int before = other.requests;
        assertEquals(Verdict.CREATED, cluster.submit(other, arrayJob("j-1", 1), ids).verdict());
        assertTrue(other.requests - before < 12, (other.requests - before) + " requests");
        ids[60] = "j-99999";
        assertEquals(Verdict.REFUSED, cluster.submit(other, arrayJob("j-2", 1), ids).verdict());
    }

    @Test
    void aNewLeaderFindsOutHowDependenciesEnded() {
        SimulatedNode node = startCluster(2);
        SimulatedNode other = cluster.node("k1");
        cluster.submit(node, arrayJob("j-1", 1));
        cluster.submit(node, arrayJob("j-2", 1));
        cluster.run(30);
        cluster.submit(
                node,
                SimulatedCluster.with(arrayJob("j-20", 40), "red", JobSpec.Priority.HIGH, false));
        cluster.submit(node, arrayJob("j-3", 1), "j-1", "j-20");
        cluster.submit(node, arrayJob("j-4", 1), "j-2");
        cluster.run(5);
        node.crash();
        cluster.run(20);
        cluster.cancel(other, "j-20");
        cluster.run(3);
        assertEquals("cancelled", awaitStatus(other, "j-3"));
        cluster.run(40);
        assertEquals("done", awaitStatus(other, "j-4"));
        checkInvariants();
    }

    /** Ten thousand that wait: what one more costs, and what a round costs. */
    @Test
    void tenThousandThatWaitCostARoundLittle() {
        ClusterSettings settings = cluster.settings("k0");
        ShardState shard = new ShardState(settings, machine -> {});
        long began = System.nanoTime();
        for (int i = 0; i < 10_000; i++) {
            JobSpec spec =
                    SimulatedCluster.with(
                            arrayJob("j-" + i, 10),
                            "red",
                            i % 100 == 99 ? JobSpec.Priority.HIGH : JobSpec.Priority.LOW,
                            false);
            // A hundred chains of a hundred.
            shard.addJob(
                    Job.of(
                            new JobRecord(
                                    spec,
                                    i,
                                    i % 100 == 0 ? List.of() : List.of("j-" + (i - 1)),
                                    0,
                                    0),
                            settings,
                            "k" + i,
                            1,
                            256));
        }
        double addedMs = (System.nanoTime() - began) / 1e6;
        assertEquals(9900, shard.jobDependencies().heldJobCount());
        assertEquals(JobSpec.Priority.HIGH, shard.jobs().get("j-0").effectivePriority());
        Scheduler scheduler = new Scheduler(shard, new Random(1), new LoopTimeAccounting(() -> 0));
        scheduler.orderedJobs(0, 20_000);
        began = System.nanoTime();
        assertEquals(100, scheduler.orderedJobs(0, 20_000).size());
        System.out.printf(
                "10,000 jobs that wait: %.0f ms to add them all, %.1f ms for the order of service%n",
                addedMs, (System.nanoTime() - began) / 1e6);
        for (int i = 0; i < 100; i++) {
            shard.jobDependencies().recordOutcome("j-" + (100 * i), true, 30_000);
        }
        assertEquals(9800, shard.jobDependencies().heldJobCount());
        shard.jobDependencies().recordOutcome("j-101", false, 30_000);
        assertEquals(98, shard.jobDependencies().jobsToCancel().size());
    }

    @Test
    void jobsThatWaitHoldNothingOfALimitOrGuaranteeAndAreNoDemand() {
        cluster.teams.put("red", new ClusterSettings.Team("red", 4, 4, 0, 0));
        SimulatedNode node = startCluster(3);
        cluster.submit(node, arrayJob("j-1", 1));
        cluster.submit(node, arrayJob("j-2", 400), "j-1");
        cluster.submit(node, arrayJob("j-3", 4));
        cluster.run(10);
        assertEquals(4, cluster.onMachines("j-1") + cluster.onMachines("j-3"));
        assertTrue(
                node.controller.shard.jobs().get("j-3").isWithinGuarantee()
                        || node.controller.shard.jobs().get("j-1").isWithinGuarantee());
        assertEquals(0, node.controller.shard.jobs().get("j-2").waitingTasks());
        assertTrue(
                cluster.workers.size() <= 4,
                "rented for what can't start: " + cluster.workers.size());
        checkInvariants();
    }

    @Test
    void jobsThatWaitAreNobodysEarlierUnfinishedJobs() {
        cluster.teams.put("red", new ClusterSettings.Team("red", 4, 0, 0, 0));
        SimulatedNode node = startCluster(3);
        cluster.submit(node, arrayJob("j-1", 1));
        cluster.submit(node, arrayJob("j-2", 3), "j-1");
        cluster.submit(node, arrayJob("j-3", 3));
        cluster.run(3);
        var jobs = node.controller.shard.jobs();
        assertTrue(jobs.get("j-1").isWithinGuarantee() && jobs.get("j-3").isWithinGuarantee());
        checkInvariants();
    }

    /**
     * Some of its tasks ran under the last holder, so all that it needs is done; the others are
     * placed as ever.
     */
    @Test
    void aStartedDependentJobContinuesUnderTheNextLeader() {
        SimulatedNode node = startCluster(1);
        SimulatedNode other = cluster.node("k1");
        cluster.submit(node, arrayJob("j-1", 1));
        cluster.submit(node, arrayJob("j-2", 10), "j-1");
        cluster.run(30);
        assertEquals(4, cluster.onMachines("j-2"));
        node.crash();
        cluster.run(100);
        assertEquals("done", awaitStatus(other, "j-2"));
        checkInvariants();
    }

    @Test
    void dependenciesInheritThePriorityAndDeadlineOfTheDependentJob() {
        SimulatedNode node = startCluster(0);
        JobSpec last =
                SimulatedCluster.with(arrayJob("j-3", 1), "red", JobSpec.Priority.HIGH, false);
        last = last.toBuilder().deadlineSeconds(300.0).build();
        cluster.submit(node, arrayJob("j-1", 1));
        cluster.submit(node, arrayJob("j-2", 1), "j-1");
        var jobs = node.controller.shard.jobs();
        assertEquals(JobSpec.Priority.NORMAL, jobs.get("j-1").effectivePriority());
        cluster.submit(node, last, "j-2");
        cluster.run(0.5);
        assertEquals(JobSpec.Priority.HIGH, jobs.get("j-1").effectivePriority());
        assertTrue(jobs.get("j-1").hasDeadline());
        double due = jobs.get("j-3").dueMillis();
        assertTrue(
                jobs.get("j-2").dueMillis() < due - 20_000
                        && jobs.get("j-1").dueMillis() < jobs.get("j-2").dueMillis() - 20_000);
        cluster.cancel(node, "j-3");
        cluster.run(0.5);
        assertEquals(JobSpec.Priority.NORMAL, jobs.get("j-1").effectivePriority());
        assertTrue(!jobs.get("j-1").hasDeadline());
    }
}
