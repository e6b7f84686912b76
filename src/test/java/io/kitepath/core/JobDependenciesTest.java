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
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Jobs that wait for others: when they start, what is cancelled with what, and what users are told.
 */
class JobDependenciesTest {
    private final SimulatedCluster cluster = new SimulatedCluster();

    private SimulatedNode cluster(int workers) {
        cluster.reportsChangesImmediately = true;
        SimulatedNode node = cluster.node("k0");
        for (int i = 0; i < workers; i++) {
            cluster.worker("i-" + i, i % 2 == 0 ? "a" : "b");
        }
        cluster.run(5);
        return node;
    }

    private static JobSpec array(String id, int tasks) {
        return SimulatedCluster.job(id, Shape.ARRAY, tasks, 1);
    }

    /** As a user who comes again until there is an answer. */
    private String told(SimulatedNode node, String id) {
        for (int i = 0; i < 100; i++) {
            var response = cluster.ask(node, id);
            if (response != null && response.verdict() == Verdict.KNOWN) {
                return response.jobStatus().status();
            }
            cluster.run(0.5);
        }
        return "no answer";
    }

    private void holds() {
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void startsOnceAllThatItNeedsIsDoneAndNotBefore() {
        SimulatedNode node = cluster(3);
        cluster.submit(node, array("j-1", 3));
        cluster.submit(node, array("j-2", 5), "j-1");
        cluster.submit(node, array("j-3", 1), "j-1", "j-2", "j-1");
        cluster.run(19);
        assertEquals("pending", cluster.status(node, "j-2"));
        assertEquals("waits for j-1 to be done", cluster.ask(node, "j-2").jobStatus().note());
        assertEquals("waits for j-1, j-2 to be done", cluster.ask(node, "j-3").jobStatus().note());
        cluster.run(4);
        assertEquals("running", cluster.status(node, "j-2"));
        assertEquals("pending", cluster.status(node, "j-3"));
        cluster.run(45);
        assertEquals("done", cluster.status(node, "j-3"));
        holds();
    }

    @Test
    void aDependentJobStartsWithinOneHeartbeatOfItsDependencysEnd() {
        SimulatedNode node = cluster(2);
        cluster.submit(node, array("j-1", 1));
        cluster.submit(node, array("j-2", 1), "j-1");
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
        holds();
    }

    @Test
    void whatNamesAJobThatNeverWasIsRefusedAndWhatNamesOneThatIsOverIsNot() {
        SimulatedNode node = cluster(1);
        assertEquals(Verdict.REFUSED, cluster.submit(node, array("j-2", 1), "j-1").verdict());
        assertEquals(Verdict.REFUSED, cluster.submit(node, array("j-2", 1), "j-2").verdict());
        assertEquals("NOT_FOUND", cluster.status(node, "j-2"));
        cluster.submit(node, array("j-1", 1));
        cluster.run(30);
        assertEquals("done", cluster.status(node, "j-1"));
        assertEquals(Verdict.CREATED, cluster.submit(node, array("j-2", 1), "j-1").verdict());
        cluster.run(2);
        assertEquals("running", cluster.status(node, "j-2"));
        cluster.submit(node, SimulatedCluster.job("j-9", Shape.SERVICE, 1, 1));
        assertEquals(Verdict.REFUSED, cluster.submit(node, array("j-3", 1), "j-9").verdict());
        cluster.store.outage(3);
        cluster.run(0.1);
        assertEquals(Verdict.LATER, cluster.submit(node, array("j-4", 1), "j-8").verdict());
        holds();
    }

    @Test
    void aKnownJobIsAnsweredWhateverItsRepetitionNames() {
        SimulatedNode node = cluster(1);
        cluster.submit(node, array("j-1", 1));
        assertEquals(Verdict.KNOWN, cluster.submit(node, array("j-1", 1), "j-77").verdict());
    }

    @Test
    void manyNeedsAreLookedForTogether() {
        SimulatedNode node = cluster(1);
        String[] ids = new String[120];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = "j-" + (100 + i);
            cluster.submit(node, array(ids[i], 1));
        }
        SimulatedNode other = cluster.node("k1");
        cluster.run(1);
        int before = other.requests;
        assertEquals(Verdict.CREATED, cluster.submit(other, array("j-1", 1), ids).verdict());
        assertTrue(other.requests - before < 12, (other.requests - before) + " requests");
        ids[60] = "j-99999";
        assertEquals(Verdict.REFUSED, cluster.submit(other, array("j-2", 1), ids).verdict());
    }

    @Test
    void allBehindACancelledJobIsCancelledWithIt() {
        SimulatedNode node = cluster(2);
        cluster.submit(node, array("j-1", 2));
        cluster.submit(node, array("j-2", 2), "j-1");
        cluster.submit(node, array("j-3", 2), "j-2");
        cluster.submit(node, array("j-4", 2));
        cluster.run(3);
        assertEquals("cancelled", cluster.cancel(node, "j-1").jobStatus().status());
        cluster.run(2);
        assertEquals("cancelled", cluster.status(node, "j-2"));
        assertEquals("cancelled", cluster.status(node, "j-3"));
        assertEquals(Verdict.CREATED, cluster.submit(node, array("j-5", 1), "j-2").verdict());
        assertEquals(
                Verdict.CREATED, cluster.submit(node, array("j-6", 1), "j-5", "j-4").verdict());
        cluster.run(2);
        assertEquals("cancelled", cluster.status(node, "j-6"));
        cluster.run(30);
        assertEquals("done", cluster.status(node, "j-4"));
        holds();
    }

    @Test
    void aCancellationThatIsAnsweredWithDoneLetsTheNextGoOn() {
        SimulatedNode node = cluster(1);
        cluster.submit(node, array("j-1", 1));
        cluster.submit(node, array("j-2", 1), "j-1");
        double from = cluster.clock.now;
        cluster.run(19.9);
        String said = "";
        while (!said.equals("done") && cluster.clock.now < from + 60) {
            cluster.run(0.05);
            if (cluster.store.entries.containsKey(StoreKeys.ENDED_JOBS + "j-1")) {
                said = cluster.cancel(node, "j-1").jobStatus().status();
            }
        }
        cluster.run(30);
        assertEquals("done", cluster.status(node, "j-2"));
        holds();
    }

    @Test
    void aNewLeaderFindsOutHowDependenciesEnded() {
        SimulatedNode node = cluster(2);
        SimulatedNode other = cluster.node("k1");
        cluster.submit(node, array("j-1", 1));
        cluster.submit(node, array("j-2", 1));
        cluster.run(30);
        cluster.submit(
                node,
                SimulatedCluster.with(array("j-20", 40), "red", JobSpec.Priority.HIGH, false));
        cluster.submit(node, array("j-3", 1), "j-1", "j-20");
        cluster.submit(node, array("j-4", 1), "j-2");
        cluster.run(5);
        node.crash();
        cluster.run(20);
        cluster.cancel(other, "j-20");
        cluster.run(3);
        assertEquals("cancelled", told(other, "j-3"));
        cluster.run(40);
        assertEquals("done", told(other, "j-4"));
        holds();
    }

    /** Wherever the holder ends while it cancels, the next one goes on with it. */
    @Test
    void aCancellationCascadeIsCompletedWhereverItsLeaderCrashes() {
        for (int at = 1; at <= 12; at++) {
            JobDependenciesTest t = new JobDependenciesTest();
            SimulatedNode node = t.cluster(1);
            SimulatedNode other = t.cluster.node("k1");
            t.cluster.submit(node, array("j-1", 1));
            for (int i = 2; i < 40; i++) {
                t.cluster.submit(node, array("j-" + i, 1), "j-" + (i - 1));
            }
            t.cluster.cancel(other, "j-1");
            node.crashAfterRequests(at, () -> {});
            t.cluster.run(25);
            for (int i = 1; i < 40; i++) {
                assertEquals("cancelled", t.told(other, "j-" + i), "ended at its request " + at);
            }
            t.holds();
        }
    }

    @Test
    void aJobIsNotReportedPendingLongAfterItsDependencyWasCancelled() {
        cluster.writesPerSecond = 6; // So that the cascade takes its time.
        cluster.taskSeconds = id -> 1000;
        SimulatedNode node = cluster(1);
        SimulatedNode other = cluster.node("k1");
        cluster.submit(node, array("j-1", 1));
        for (int i = 2; i < 200; i++) {
            cluster.submit(node, array("j-" + i, 1), i % 2 == 0 ? "j-1" : "j-" + (i - 1));
            cluster.run(0.2);
        }
        cluster.cancel(node, "j-1");
        Random random = new Random(3);
        for (int i = 0; i < 300; i++) {
            cluster.ask(random.nextBoolean() ? node : other, "j-" + (2 + random.nextInt(198)));
            cluster.run(0.2);
        }
        cluster.run(60);
        for (int i = 1; i < 200; i++) {
            assertEquals("cancelled", told(other, "j-" + i));
        }
        holds();
    }

    /** A chain and a fan of a thousand, at the write rate that is left once limits have fallen. */
    @Test
    void aThousandBehindOneAreCancelledWithinMinutesAndNobodyIsCalledPendingMeanwhile() {
        for (boolean chain : new boolean[] {true, false}) {
            JobDependenciesTest t = new JobDependenciesTest();
            t.cluster.writesPerSecond = 35;
            t.cluster.announcedStoreLimits = new ClusterSettings.StoreLimits(150, 35, 2, 13);
            t.cluster.store.largestTransactionOperations = 13;
            t.cluster.taskSeconds = id -> 10_000;
            SimulatedNode node = t.cluster(1);
            t.cluster.submit(node, array("j-1", 1));
            for (int i = 2; i <= 1001; i++) {
                int id = i;
                node.controller
                        .jobApi()
                        .submit(
                                array("j-" + id, 1),
                                List.of(chain ? "j-" + (id - 1) : "j-1"),
                                response -> {});
                t.cluster.dependencies.put("j-" + id, List.of(chain ? "j-" + (id - 1) : "j-1"));
                t.cluster.run(0.02);
            }
            t.cluster.cancel(node, "j-1");
            double from = t.cluster.clock.now;
            Random random = new Random(1);
            while (t.cluster.store.entries.keySet().stream()
                            .anyMatch(key -> key.startsWith(StoreKeys.OPEN_JOBS))
                    && t.cluster.clock.now - from < 300) {
                t.cluster.ask(node, "j-" + (2 + random.nextInt(1000)));
                t.cluster.run(0.5);
            }
            double took = t.cluster.clock.now - from;
            System.out.printf(
                    "a %s of 1,000 is cancelled in %.0f s%n", chain ? "chain" : "fan", took);
            assertTrue(took < 130, "took " + took);
            t.holds();
        }
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
                            array("j-" + i, 10),
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

    /**
     * Neither a holder that is frozen nor a node that only reaches users makes them believe in a
     * cancelled job.
     */
    @Test
    void aNodeThatCanNotReachTheLeaderReportsNoStaleStatusOfAWaitingJob() {
        SimulatedNode node = cluster(1);
        SimulatedNode other = cluster.node("k1");
        cluster.submit(node, array("j-1", 1));
        cluster.submit(other, array("j-2", 1), "j-1");
        cluster.run(2);
        assertEquals("pending", cluster.status(other, "j-2"));
        node.frozenUntil = cluster.clock.now + 200;
        other.cutFromStore = true;
        cluster.run(1);
        for (int i = 0; i < 60; i++) {
            cluster.ask(other, "j-2");
            cluster.run(1);
        }
        other.cutFromStore = false;
        cluster.run(10);
        cluster.cancel(other, "j-1");
        for (int i = 0; i < 40; i++) {
            cluster.ask(other, "j-2");
            cluster.run(1);
        }
        assertEquals("cancelled", cluster.status(other, "j-2"));
        holds();
    }

    @Test
    void jobsThatWaitHoldNothingOfALimitOrGuaranteeAndAreNoDemand() {
        cluster.teams.put("red", new ClusterSettings.Team("red", 4, 4, 0, 0));
        SimulatedNode node = cluster(3);
        cluster.submit(node, array("j-1", 1));
        cluster.submit(node, array("j-2", 400), "j-1");
        cluster.submit(node, array("j-3", 4));
        cluster.run(10);
        assertEquals(4, cluster.onMachines("j-1") + cluster.onMachines("j-3"));
        assertTrue(
                node.controller.shard.jobs().get("j-3").isWithinGuarantee()
                        || node.controller.shard.jobs().get("j-1").isWithinGuarantee());
        assertEquals(0, node.controller.shard.jobs().get("j-2").waitingTasks());
        assertTrue(
                cluster.workers.size() <= 4,
                "rented for what can't start: " + cluster.workers.size());
        holds();
    }

    @Test
    void jobsThatWaitAreNobodysEarlierUnfinishedJobs() {
        cluster.teams.put("red", new ClusterSettings.Team("red", 4, 0, 0, 0));
        SimulatedNode node = cluster(3);
        cluster.submit(node, array("j-1", 1));
        cluster.submit(node, array("j-2", 3), "j-1");
        cluster.submit(node, array("j-3", 3));
        cluster.run(3);
        var jobs = node.controller.shard.jobs();
        assertTrue(jobs.get("j-1").isWithinGuarantee() && jobs.get("j-3").isWithinGuarantee());
        holds();
    }

    /**
     * Some of its tasks ran under the last holder, so all that it needs is done; the others are
     * placed as ever.
     */
    @Test
    void aStartedDependentJobContinuesUnderTheNextLeader() {
        SimulatedNode node = cluster(1);
        SimulatedNode other = cluster.node("k1");
        cluster.submit(node, array("j-1", 1));
        cluster.submit(node, array("j-2", 10), "j-1");
        cluster.run(30);
        assertEquals(4, cluster.onMachines("j-2"));
        node.crash();
        cluster.run(100);
        assertEquals("done", told(other, "j-2"));
        holds();
    }

    @Test
    void dependenciesInheritThePriorityAndDeadlineOfTheDependentJob() {
        SimulatedNode node = cluster(0);
        JobSpec last = SimulatedCluster.with(array("j-3", 1), "red", JobSpec.Priority.HIGH, false);
        last = last.toBuilder().deadlineSeconds(300.0).build();
        cluster.submit(node, array("j-1", 1));
        cluster.submit(node, array("j-2", 1), "j-1");
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
