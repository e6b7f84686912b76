package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedCluster.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.port.Store;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedNode;
import org.junit.jupiter.api.Test;

/**
 * Failover to another controller: launches in flight, fencing of the former leader, and what the
 * new leader reads before it acts.
 */
class FailoverTest extends ClusterFixture {
    @Test
    void aFailoverWhileLaunchesAreInFlightStartsNothingTwice() {
        settled(2, 3);
        SimulatedNode first = cluster.leader();
        cluster.submit(first, job("j-1", Shape.ARRAY, 9, 1));
        // Written, and perhaps launched, when the leader dies.
        cluster.run(0.02);
        first.crash();
        cluster.run(60);
        SimulatedNode second = cluster.leader();
        assertTrue(second.controller.shard.fencingToken() > first.controller.shard.fencingToken());
        assertEquals("done", cluster.status(second, "j-1"));
    }

    @Test
    void aNewLeaderPlacesOnlyOnMachinesThatReportedWithItsFencingToken() {
        settled(2, 1);
        SimulatedNode first = cluster.leader();
        cluster.submit(first, job("j-1", Shape.ARRAY, 1, 1));
        cluster.run(2);
        cluster.workers.get("i-000000").isCutOff = true;
        first.crash();
        cluster.run(5);
        ShardState shard = cluster.leader().controller.shard;
        assertFalse(shard.machines().get("i-000000").isSchedulable());
        assertEquals(1, shard.jobs().get("j-1").liveAttempts().size());
    }

    @Test
    void aFrozenLeaderThatGoesOnStartsNothingAndYields() {
        settled(3, 3);
        SimulatedNode first = cluster.leader();
        cluster.submit(first, job("j-1", Shape.ARRAY, 9, 1));
        cluster.run(0.02);
        first.frozenUntil = cluster.clock.now + 7;
        cluster.run(6.9);
        SimulatedNode second = cluster.leader();
        assertTrue(second != first);
        cluster.submit(second, job("j-2", Shape.ARRAY, 3, 1));
        long launched = first.controller.heartbeatProcessor.launchCount();
        cluster.run(3);
        assertFalse(first.controller.leadership.isLeading());
        assertEquals(launched, first.controller.heartbeatProcessor.launchCount());
        cluster.run(60);
        assertEquals("done", cluster.status(first, "j-1"));
        assertEquals("done", cluster.status(first, "j-2"));
        assertEquals(second, cluster.leader());
    }

    @Test
    void aLateTransactionOfAFormerLeaderFails() {
        settled(2, 1);
        SimulatedNode first = cluster.leader();
        cluster.store.transactionsToHold = 1;
        // Accepted through the other node, so that only the leader's write is held back.
        JobSpec spec = job("j-1", Shape.ARRAY, 1, 1);
        cluster.store.execute(submission(spec));
        cluster.run(0.3);
        assertEquals(1, cluster.store.heldBackTransactions.size());
        first.crash();
        cluster.run(20);
        Store.CommitResult late = cluster.store.execute(cluster.store.heldBackTransactions.get(0));
        assertEquals(Store.Outcome.REJECTED, late.outcome());
        cluster.run(30);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
    }

    @Test
    void unprovenAttemptsCountAgainstTheTeamsLimit() {
        cluster.teams.put("blue", new ClusterSettings.Team("blue", 0, 4, 0, 0));
        settled(2, 2);
        SimulatedNode first = cluster.leader();
        cluster.submit(first, with(job("j-1", Shape.ARRAY, 6, 1), "blue", Priority.NORMAL, false));
        cluster.run(3);
        assertEquals(4, cluster.onMachines("j-1"));
        cluster.workers.values().forEach(worker -> worker.isCutOff = true);
        first.crash();
        cluster.run(5);
        cluster.worker("i-000008", "a");
        cluster.run(3);
        assertEquals(0, cluster.workers.get("i-000008").started);
    }

    @Test
    void aNewLeaderResumesReadingAtThePageThatWasRefused() {
        settled(2, 2);
        SimulatedNode first = cluster.leader();
        for (int i = 0; i < 520; i++) {
            cluster.submit(first, job("j-" + i, Shape.ARRAY, 1, 4));
        }
        cluster.store.pagesRead = 0;
        cluster.store.refusesPage = n -> n % 2 == 1;
        first.crash();
        cluster.run(8);
        assertTrue(cluster.leader().controller.shard.jobs().size() >= 510);
        // Two pages of open jobs; one each of parts, of where images are, and of cloud
        // intents; each refused once. Reads for the leased roles come to four at most.
        assertTrue(
                cluster.store.pagesRead >= 10 && cluster.store.pagesRead <= 14,
                "pages: " + cluster.store.pagesRead);
    }

    @Test
    void aNewLeaderThatCanNotReadJobsLetsLeasesExpireBeforeACancellationIsOverdue() {
        settled(3, 2);
        SimulatedNode first = cluster.leader();
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 500);
        cluster.submit(first, job("j-1", Shape.ARRAY, 2, 1));
        cluster.run(3);
        assertEquals(2, cluster.onMachines("j-1"));
        first.crash();
        cluster.store.refusesPage = n -> true;
        SimulatedNode other =
                cluster.nodes.values().stream()
                        .filter(node -> node.alive)
                        .findFirst()
                        .orElseThrow();
        assertEquals(Verdict.KNOWN, cluster.cancel(other, "j-1").verdict());
        cluster.run(29);
        assertEquals(0, cluster.onMachines("j-1"));
    }

    @Test
    void aNewLeaderKnowsWhichMachinesHaveAnImage() {
        settled(2, 2);
        SimulatedNode first = cluster.leader();
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 2);
        cluster.submit(first, job("j-1", Shape.ARRAY, 8, 1));
        cluster.run(30);
        assertEquals("done", cluster.status(first, "j-1"));
        first.crash();
        cluster.run(10);
        assertTrue(cluster.leader() != first);
        assertTrue(
                cluster.leader().controller.shard.machines().values().stream()
                        .allMatch(machine -> machine.hasImage("img")));
        // Nothing changed since, so nothing is written again.
        long revision =
                cluster.store.entries.get(StoreKeys.IMAGES + 0) == null
                        ? 0
                        : cluster.store.entries.get(StoreKeys.IMAGES + 0).revision();
        cluster.run(30);
        assertTrue(
                cluster.store.log.stream()
                                .filter(entry -> entry.key().startsWith(StoreKeys.IMAGES))
                                .count()
                        <= 4);
        assertEquals(
                revision,
                cluster.store.entries.get(StoreKeys.IMAGES + 0) == null
                        ? 0
                        : cluster.store.entries.get(StoreKeys.IMAGES + 0).revision());
    }
}
