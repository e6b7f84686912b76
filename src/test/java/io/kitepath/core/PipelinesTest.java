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
class PipelinesTest {
    private final SimulatedCluster w = new SimulatedCluster();

    private SimulatedNode cluster(int workers) {
        w.reportsChanges = true;
        SimulatedNode n = w.node("k0");
        for (int i = 0; i < workers; i++) {
            w.worker("i-" + i, i % 2 == 0 ? "a" : "b");
        }
        w.run(5);
        return n;
    }

    private static JobSpec array(String id, int tasks) {
        return SimulatedCluster.job(id, Shape.ARRAY, tasks, 1);
    }

    /** As a user who comes again until there is an answer. */
    private String told(SimulatedNode n, String id) {
        for (int i = 0; i < 100; i++) {
            var a = w.ask(n, id);
            if (a != null && a.verdict() == Verdict.KNOWN) {
                return a.state().status();
            }
            w.run(0.5);
        }
        return "no answer";
    }

    private void holds() {
        assertEquals(List.of(), w.broken);
    }

    @Test
    void startsOnceAllThatItNeedsIsDoneAndNotBefore() {
        SimulatedNode n = cluster(3);
        w.submit(n, array("j-1", 3));
        w.submit(n, array("j-2", 5), "j-1");
        w.submit(n, array("j-3", 1), "j-1", "j-2", "j-1");
        w.run(19);
        assertEquals("pending", w.status(n, "j-2"));
        assertEquals("waits for j-1 to be done", w.ask(n, "j-2").state().note());
        assertEquals("waits for j-1, j-2 to be done", w.ask(n, "j-3").state().note());
        w.run(4);
        assertEquals("running", w.status(n, "j-2"));
        assertEquals("pending", w.status(n, "j-3"));
        w.run(45);
        assertEquals("done", w.status(n, "j-3"));
        holds();
    }

    @Test
    void theNextStageStartsWithinOneReportOfTheLastEnd() {
        SimulatedNode n = cluster(2);
        w.submit(n, array("j-1", 1));
        w.submit(n, array("j-2", 1), "j-1");
        double[] ended = new double[1];
        double[] began = new double[1];
        w.clock.ends = t -> ended[0] = t.job.equals("j-1") ? w.clock.now : ended[0];
        w.clock.starts = t -> began[0] = t.job.equals("j-2") ? w.clock.now : began[0];
        w.run(40);
        // A report that is due at once, one write for the end, one for the placing, the next
        // report.
        assertTrue(began[0] - ended[0] < 1.5 * w.reportS, "took " + (began[0] - ended[0]));
        holds();
    }

    @Test
    void whatNamesAJobThatNeverWasIsRefusedAndWhatNamesOneThatIsOverIsNot() {
        SimulatedNode n = cluster(1);
        assertEquals(Verdict.REFUSED, w.submit(n, array("j-2", 1), "j-1").verdict());
        assertEquals(Verdict.REFUSED, w.submit(n, array("j-2", 1), "j-2").verdict());
        assertEquals("NOT_FOUND", w.status(n, "j-2"));
        w.submit(n, array("j-1", 1));
        w.run(30);
        assertEquals("done", w.status(n, "j-1"));
        assertEquals(Verdict.CREATED, w.submit(n, array("j-2", 1), "j-1").verdict());
        w.run(2);
        assertEquals("running", w.status(n, "j-2"));
        w.submit(n, SimulatedCluster.job("j-9", Shape.SERVICE, 1, 1));
        assertEquals(Verdict.REFUSED, w.submit(n, array("j-3", 1), "j-9").verdict());
        w.store.outage(3);
        w.run(0.1);
        assertEquals(Verdict.LATER, w.submit(n, array("j-4", 1), "j-8").verdict());
        holds();
    }

    @Test
    void aKnownJobIsAnsweredWhateverItsRepetitionNames() {
        SimulatedNode n = cluster(1);
        w.submit(n, array("j-1", 1));
        assertEquals(Verdict.KNOWN, w.submit(n, array("j-1", 1), "j-77").verdict());
    }

    @Test
    void manyNeedsAreLookedForTogether() {
        SimulatedNode n = cluster(1);
        String[] ids = new String[120];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = "j-" + (100 + i);
            w.submit(n, array(ids[i], 1));
        }
        SimulatedNode other = w.node("k1");
        w.run(1);
        int before = other.requests;
        assertEquals(Verdict.CREATED, w.submit(other, array("j-1", 1), ids).verdict());
        assertTrue(other.requests - before < 12, (other.requests - before) + " requests");
        ids[60] = "j-99999";
        assertEquals(Verdict.REFUSED, w.submit(other, array("j-2", 1), ids).verdict());
    }

    @Test
    void allBehindACancelledJobIsCancelledWithIt() {
        SimulatedNode n = cluster(2);
        w.submit(n, array("j-1", 2));
        w.submit(n, array("j-2", 2), "j-1");
        w.submit(n, array("j-3", 2), "j-2");
        w.submit(n, array("j-4", 2));
        w.run(3);
        assertEquals("cancelled", w.cancel(n, "j-1").state().status());
        w.run(2);
        assertEquals("cancelled", w.status(n, "j-2"));
        assertEquals("cancelled", w.status(n, "j-3"));
        assertEquals(Verdict.CREATED, w.submit(n, array("j-5", 1), "j-2").verdict());
        assertEquals(Verdict.CREATED, w.submit(n, array("j-6", 1), "j-5", "j-4").verdict());
        w.run(2);
        assertEquals("cancelled", w.status(n, "j-6"));
        w.run(30);
        assertEquals("done", w.status(n, "j-4"));
        holds();
    }

    @Test
    void aCancellationThatIsAnsweredWithDoneLetsTheNextGoOn() {
        SimulatedNode n = cluster(1);
        w.submit(n, array("j-1", 1));
        w.submit(n, array("j-2", 1), "j-1");
        double from = w.clock.now;
        w.run(19.9);
        String said = "";
        while (!said.equals("done") && w.clock.now < from + 60) {
            w.run(0.05);
            if (w.store.keys.containsKey(StoreKeys.OVER + "j-1")) {
                said = w.cancel(n, "j-1").state().status();
            }
        }
        w.run(30);
        assertEquals("done", w.status(n, "j-2"));
        holds();
    }

    @Test
    void theNextHolderFindsOutHowNeededJobsEnded() {
        SimulatedNode n = cluster(2);
        SimulatedNode other = w.node("k1");
        w.submit(n, array("j-1", 1));
        w.submit(n, array("j-2", 1));
        w.run(30);
        w.submit(n, SimulatedCluster.with(array("j-20", 40), "red", JobSpec.Priority.HIGH, false));
        w.submit(n, array("j-3", 1), "j-1", "j-20");
        w.submit(n, array("j-4", 1), "j-2");
        w.run(5);
        n.crash();
        w.run(20);
        w.cancel(other, "j-20");
        w.run(3);
        assertEquals("cancelled", told(other, "j-3"));
        w.run(40);
        assertEquals("done", told(other, "j-4"));
        holds();
    }

    /** Wherever the holder ends while it cancels, the next one goes on with it. */
    @Test
    void aCascadeIsFinishedWhereverItsHolderEnds() {
        for (int at = 1; at <= 12; at++) {
            PipelinesTest t = new PipelinesTest();
            SimulatedNode n = t.cluster(1);
            SimulatedNode other = t.w.node("k1");
            t.w.submit(n, array("j-1", 1));
            for (int i = 2; i < 40; i++) {
                t.w.submit(n, array("j-" + i, 1), "j-" + (i - 1));
            }
            t.w.cancel(other, "j-1");
            n.endAfter(at, () -> {});
            t.w.run(25);
            for (int i = 1; i < 40; i++) {
                assertEquals("cancelled", t.told(other, "j-" + i), "ended at its request " + at);
            }
            t.holds();
        }
    }

    @Test
    void nobodyIsToldThatAJobIsPendingLongAfterOneBeforeItWasCancelled() {
        w.writeRps = 6; // So that the cascade takes its time.
        w.runsFor = id -> 1000;
        SimulatedNode n = cluster(1);
        SimulatedNode other = w.node("k1");
        w.submit(n, array("j-1", 1));
        for (int i = 2; i < 200; i++) {
            w.submit(n, array("j-" + i, 1), i % 2 == 0 ? "j-1" : "j-" + (i - 1));
            w.run(0.2);
        }
        w.cancel(n, "j-1");
        Random random = new Random(3);
        for (int i = 0; i < 300; i++) {
            w.ask(random.nextBoolean() ? n : other, "j-" + (2 + random.nextInt(198)));
            w.run(0.2);
        }
        w.run(60);
        for (int i = 1; i < 200; i++) {
            assertEquals("cancelled", told(other, "j-" + i));
        }
        holds();
    }

    /** A chain and a fan of a thousand, at the write rate that is left once limits have fallen. */
    @Test
    void aThousandBehindOneAreCancelledWithinMinutesAndNobodyIsCalledPendingMeanwhile() {
        for (boolean chain : new boolean[] {true, false}) {
            PipelinesTest t = new PipelinesTest();
            t.w.writeRps = 35;
            t.w.next = new ClusterSettings.StoreLimits(150, 35, 2, 13);
            t.w.store.txnOps = 13;
            t.w.runsFor = id -> 10_000;
            SimulatedNode n = t.cluster(1);
            t.w.submit(n, array("j-1", 1));
            for (int i = 2; i <= 1001; i++) {
                int id = i;
                n.controller
                        .registry()
                        .submit(
                                array("j-" + id, 1),
                                List.of(chain ? "j-" + (id - 1) : "j-1"),
                                a -> {});
                t.w.needs.put("j-" + id, List.of(chain ? "j-" + (id - 1) : "j-1"));
                t.w.run(0.02);
            }
            t.w.cancel(n, "j-1");
            double from = t.w.clock.now;
            Random random = new Random(1);
            while (t.w.store.keys.keySet().stream().anyMatch(k -> k.startsWith(StoreKeys.OPEN))
                    && t.w.clock.now - from < 300) {
                t.w.ask(n, "j-" + (2 + random.nextInt(1000)));
                t.w.run(0.5);
            }
            double took = t.w.clock.now - from;
            System.out.printf(
                    "a %s of 1,000 is cancelled in %.0f s%n", chain ? "chain" : "fan", took);
            assertTrue(took < 130, "took " + took);
            t.holds();
        }
    }

    /** Ten thousand that wait: what one more costs, and what a round costs. */
    @Test
    void tenThousandThatWaitCostARoundLittle() {
        ClusterSettings facts = w.facts("k0");
        ShardState block = new ShardState(facts, m -> {});
        long began = System.nanoTime();
        for (int i = 0; i < 10_000; i++) {
            JobSpec s =
                    SimulatedCluster.with(
                            array("j-" + i, 10),
                            "red",
                            i % 100 == 99 ? JobSpec.Priority.HIGH : JobSpec.Priority.LOW,
                            false);
            // A hundred chains of a hundred.
            block.addJob(
                    Job.of(
                            new JobRecord(
                                    s, i, i % 100 == 0 ? List.of() : List.of("j-" + (i - 1)), 0, 0),
                            facts,
                            "k" + i,
                            1,
                            256));
        }
        double addedMs = (System.nanoTime() - began) / 1e6;
        assertEquals(9900, block.pipelines().held());
        assertEquals(JobSpec.Priority.HIGH, block.jobs().get("j-0").priority());
        Scheduler placer = new Scheduler(block, new Random(1), new LoopTimeAccounting(() -> 0));
        placer.queue(0, 20_000);
        began = System.nanoTime();
        assertEquals(100, placer.queue(0, 20_000).size());
        System.out.printf(
                "10,000 jobs that wait: %.0f ms to add them all, %.1f ms for the order of service%n",
                addedMs, (System.nanoTime() - began) / 1e6);
        for (int i = 0; i < 100; i++) {
            block.pipelines().ended("j-" + (100 * i), true, 30_000);
        }
        assertEquals(9800, block.pipelines().held());
        block.pipelines().ended("j-101", false, 30_000);
        assertEquals(98, block.pipelines().doomed().size());
    }

    /**
     * Neither a holder that is frozen nor a node that only reaches users makes them believe in a
     * cancelled job.
     */
    @Test
    void aNodeThatCantAskTheHolderSaysNothingOldOfAJobThatWaits() {
        SimulatedNode n = cluster(1);
        SimulatedNode other = w.node("k1");
        w.submit(n, array("j-1", 1));
        w.submit(other, array("j-2", 1), "j-1");
        w.run(2);
        assertEquals("pending", w.status(other, "j-2"));
        n.frozenUntil = w.clock.now + 200;
        other.cutFromStore = true;
        w.run(1);
        for (int i = 0; i < 60; i++) {
            w.ask(other, "j-2");
            w.run(1);
        }
        other.cutFromStore = false;
        w.run(10);
        w.cancel(other, "j-1");
        for (int i = 0; i < 40; i++) {
            w.ask(other, "j-2");
            w.run(1);
        }
        assertEquals("cancelled", w.status(other, "j-2"));
        holds();
    }

    @Test
    void jobsThatWaitHoldNothingOfALimitOrGuaranteeAndAreNoDemand() {
        w.teams.put("red", new ClusterSettings.Team("red", 4, 4, 0, 0));
        SimulatedNode n = cluster(3);
        w.submit(n, array("j-1", 1));
        w.submit(n, array("j-2", 400), "j-1");
        w.submit(n, array("j-3", 4));
        w.run(10);
        assertEquals(4, w.onMachines("j-1") + w.onMachines("j-3"));
        assertTrue(
                n.controller.block.jobs().get("j-3").guaranteed()
                        || n.controller.block.jobs().get("j-1").guaranteed());
        assertEquals(0, n.controller.block.jobs().get("j-2").waiting());
        assertTrue(w.workers.size() <= 4, "rented for what can't start: " + w.workers.size());
        holds();
    }

    @Test
    void jobsThatWaitAreNobodysEarlierUnfinishedJobs() {
        w.teams.put("red", new ClusterSettings.Team("red", 4, 0, 0, 0));
        SimulatedNode n = cluster(3);
        w.submit(n, array("j-1", 1));
        w.submit(n, array("j-2", 3), "j-1");
        w.submit(n, array("j-3", 3));
        w.run(3);
        var jobs = n.controller.block.jobs();
        assertTrue(jobs.get("j-1").guaranteed() && jobs.get("j-3").guaranteed());
        holds();
    }

    /**
     * Some of its tasks ran under the last holder, so all that it needs is done; the others are
     * placed as ever.
     */
    @Test
    void aJobThatHasBegunGoesOnUnderTheNextHolder() {
        SimulatedNode n = cluster(1);
        SimulatedNode other = w.node("k1");
        w.submit(n, array("j-1", 1));
        w.submit(n, array("j-2", 10), "j-1");
        w.run(30);
        assertEquals(4, w.onMachines("j-2"));
        n.crash();
        w.run(100);
        assertEquals("done", told(other, "j-2"));
        holds();
    }

    @Test
    void whatAnUrgentJobNeedsIsAsUrgent() {
        SimulatedNode n = cluster(0);
        JobSpec last = SimulatedCluster.with(array("j-3", 1), "red", JobSpec.Priority.HIGH, false);
        last =
                new JobSpec(
                        last.id(),
                        last.jobClass(),
                        last.team(),
                        last.shape(),
                        last.priority(),
                        1,
                        1,
                        0,
                        1,
                        null,
                        null,
                        false,
                        false,
                        false,
                        "img",
                        1,
                        20,
                        0,
                        0,
                        300.0);
        w.submit(n, array("j-1", 1));
        w.submit(n, array("j-2", 1), "j-1");
        var jobs = n.controller.block.jobs();
        assertEquals(JobSpec.Priority.NORMAL, jobs.get("j-1").priority());
        w.submit(n, last, "j-2");
        w.run(0.5);
        assertEquals(JobSpec.Priority.HIGH, jobs.get("j-1").priority());
        assertTrue(jobs.get("j-1").hasDeadline());
        double due = jobs.get("j-3").dueMs();
        assertTrue(
                jobs.get("j-2").dueMs() < due - 20_000
                        && jobs.get("j-1").dueMs() < jobs.get("j-2").dueMs() - 20_000);
        w.cancel(n, "j-3");
        w.run(0.5);
        assertEquals(JobSpec.Priority.NORMAL, jobs.get("j-1").priority());
        assertTrue(!jobs.get("j-1").hasDeadline());
    }
}
