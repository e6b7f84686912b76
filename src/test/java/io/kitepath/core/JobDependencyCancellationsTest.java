package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What is cancelled with a cancelled job, and what users are told meanwhile. */
class JobDependencyCancellationsTest extends JobDependenciesFixture {
    @Test
    void allBehindACancelledJobIsCancelledWithIt() {
        SimulatedNode node = startCluster(2);
        cluster.submit(node, arrayJob("j-1", 2));
        cluster.submit(node, arrayJob("j-2", 2), "j-1");
        cluster.submit(node, arrayJob("j-3", 2), "j-2");
        cluster.submit(node, arrayJob("j-4", 2));
        cluster.run(3);
        assertEquals("cancelled", cluster.cancel(node, "j-1").jobStatus().status());
        cluster.run(2);
        assertEquals("cancelled", cluster.status(node, "j-2"));
        assertEquals("cancelled", cluster.status(node, "j-3"));
        assertEquals(Verdict.CREATED, cluster.submit(node, arrayJob("j-5", 1), "j-2").verdict());
        assertEquals(
                Verdict.CREATED, cluster.submit(node, arrayJob("j-6", 1), "j-5", "j-4").verdict());
        cluster.run(2);
        assertEquals("cancelled", cluster.status(node, "j-6"));
        cluster.run(30);
        assertEquals("done", cluster.status(node, "j-4"));
        checkInvariants();
    }

    @Test
    void aCancellationThatIsAnsweredWithDoneLetsTheNextGoOn() {
        SimulatedNode node = startCluster(1);
        cluster.submit(node, arrayJob("j-1", 1));
        cluster.submit(node, arrayJob("j-2", 1), "j-1");
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
        checkInvariants();
    }

    /** Wherever the holder ends while it cancels, the next one goes on with it. */
    @Test
    void aCancellationCascadeIsCompletedWhereverItsLeaderCrashes() {
        for (int at = 1; at <= 12; at++) {
            JobDependencyCancellationsTest scenario = new JobDependencyCancellationsTest();
            SimulatedNode node = scenario.startCluster(1);
            SimulatedNode other = scenario.cluster.node("k1");
            scenario.cluster.submit(node, arrayJob("j-1", 1));
            for (int i = 2; i < 40; i++) {
                scenario.cluster.submit(node, arrayJob("j-" + i, 1), "j-" + (i - 1));
            }
            scenario.cluster.cancel(other, "j-1");
            node.crashAfterRequests(at, () -> {});
            scenario.cluster.run(25);
            for (int i = 1; i < 40; i++) {
                assertEquals(
                        "cancelled",
                        scenario.awaitStatus(other, "j-" + i),
                        "ended at its request " + at);
            }
            scenario.checkInvariants();
        }
    }

    @Test
    void aJobIsNotReportedPendingLongAfterItsDependencyWasCancelled() {
        cluster.writesPerSecond = 6; // So that the cascade takes its time.
        cluster.taskSeconds = id -> 1000;
        SimulatedNode node = startCluster(1);
        SimulatedNode other = cluster.node("k1");
        cluster.submit(node, arrayJob("j-1", 1));
        for (int i = 2; i < 200; i++) {
            cluster.submit(node, arrayJob("j-" + i, 1), i % 2 == 0 ? "j-1" : "j-" + (i - 1));
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
            assertEquals("cancelled", awaitStatus(other, "j-" + i));
        }
        checkInvariants();
    }

    /**
     * Guards against a job that names one whose own cancellation is decided and not written yet.
     */
    @Test
    void aJobSubmittedBehindOneThatIsToBeCancelledIsNotReportedPendingForLong() {
        cluster.writesPerSecond = 6; // So that the cascade takes its time.
        cluster.taskSeconds = id -> 1000;
        SimulatedNode node = startCluster(1);
        cluster.submit(node, arrayJob("j-1", 1));
        for (int i = 2; i < 200; i++) {
            cluster.submit(node, arrayJob("j-" + i, 1), "j-" + (i - 1));
            cluster.run(0.2);
        }
        cluster.cancel(node, "j-1");
        cluster.run(1);
        cluster.submit(node, arrayJob("j-200", 1), "j-199");
        cluster.submit(node, arrayJob("j-201", 1), "j-200");
        for (int i = 0; i < 60; i++) {
            cluster.ask(node, "j-200");
            cluster.ask(node, "j-201");
            cluster.run(0.8);
        }
        assertTrue(cluster.store.entries.containsKey(StoreKeys.OPEN_JOBS + "j-199"));
        cluster.run(60);
        assertEquals("cancelled", awaitStatus(node, "j-201"));
        checkInvariants();
    }

    /** A chain and a fan of a thousand, at the write rate that is left once limits have fallen. */
    @Test
    void aThousandBehindOneAreCancelledWithinMinutesAndNobodyIsCalledPendingMeanwhile() {
        for (boolean chain : new boolean[] {true, false}) {
            JobDependencyCancellationsTest scenario = new JobDependencyCancellationsTest();
            scenario.cluster.writesPerSecond = 35;
            scenario.cluster.announcedStoreLimits = new ClusterSettings.StoreLimits(150, 35, 2, 13);
            scenario.cluster.store.largestTransactionOperations = 13;
            scenario.cluster.taskSeconds = id -> 10_000;
            SimulatedNode node = scenario.startCluster(1);
            scenario.cluster.submit(node, arrayJob("j-1", 1));
            for (int i = 2; i <= 1001; i++) {
                int id = i;
                node.controller
                        .jobApi()
                        .submit(
                                arrayJob("j-" + id, 1),
                                List.of(chain ? "j-" + (id - 1) : "j-1"),
                                response -> {});
                scenario.cluster.dependencies.put(
                        "j-" + id, List.of(chain ? "j-" + (id - 1) : "j-1"));
                scenario.cluster.run(0.02);
            }
            scenario.cluster.cancel(node, "j-1");
            double from = scenario.cluster.clock.now;
            Random random = new Random(1);
            while (scenario.cluster.store.entries.keySet().stream()
                            .anyMatch(key -> key.startsWith(StoreKeys.OPEN_JOBS))
                    && scenario.cluster.clock.now - from < 300) {
                scenario.cluster.ask(node, "j-" + (2 + random.nextInt(1000)));
                scenario.cluster.run(0.5);
            }
            double took = scenario.cluster.clock.now - from;
            System.out.printf(
                    "a %s of 1,000 is cancelled in %.0f s%n", chain ? "chain" : "fan", took);
            assertTrue(took < 130, "took " + took);
            scenario.checkInvariants();
        }
    }

    /**
     * Neither a holder that is frozen nor a node that only reaches users makes them believe in a
     * cancelled job.
     */
    @Test
    void aNodeThatCanNotReachTheLeaderReportsNoStaleStatusOfAWaitingJob() {
        SimulatedNode node = startCluster(1);
        SimulatedNode other = cluster.node("k1");
        cluster.submit(node, arrayJob("j-1", 1));
        cluster.submit(other, arrayJob("j-2", 1), "j-1");
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
        checkInvariants();
    }
}
