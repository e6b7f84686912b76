package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A job is cancelled shortly before or while a new leader reads the open jobs and their parts. */
class CancellationDuringLeaderLoadTest extends CancellationGapFixture {
    @Test
    void aCancellationJustAfterAFailoverStopsItsTasksInTime() {
        for (double ago = 0; ago < 6; ago += 0.2) {
            SimulatedNode first = settled(3);
            first.crash();
            cluster.run(1 + ago);
            SimulatedNode peer = otherThan(first);
            peer.losesPeerMessages = true;
            var response = cluster.cancel(peer, "j-1");
            cluster.store.outage(70);
            cluster.run(0.4);
            cluster.node(first.name);
            cluster.run(60);
            assertEquals(List.of(), cluster.violations, "after " + ago);
            if (response != null && response.verdict() == Verdict.KNOWN) {
                assertEquals(0, cluster.onMachines("j-1"), "after " + ago);
            }
        }
    }

    /** Confirmed while the jobs are being read: pages read before must not restore the job. */
    @Test
    void aCancellationWhileTheLeaderReadsJobsIsNotUndoneByTheRead() {
        int confirmedCount = 0;
        for (int page = 1; page < 8; page++) {
            SimulatedNode first = settled(3);
            SimulatedNode peer =
                    cluster.siblings.stream()
                            .map(cluster.nodes::get)
                            .filter(node -> node != first)
                            .findFirst()
                            .orElseThrow();
            int from = cluster.store.pagesRead + page;
            boolean[] once = {true};
            cluster.store.refusesPage =
                    n -> {
                        if (n == from && once[0]) {
                            once[0] = false;
                            cluster.invariants.cancellationRequested("j-1");
                            cluster.after(
                                    0,
                                    () -> peer.controller.jobApi().cancel("j-1", response -> {}));
                            cluster.after(0.008, () -> cluster.store.outage(60));
                        }
                        return false;
                    };
            first.crash();
            cluster.run(8);
            cluster.ask(peer, "j-1");
            confirmedCount += cluster.reportedCancelledAt.containsKey("j-1") ? 1 : 0;
            cluster.run(60);
            assertEquals(List.of(), cluster.violations, "page " + page);
        }
        assertTrue(confirmedCount > 1, "confirmed: " + confirmedCount);
    }

    /**
     * A new leader that has not read the jobs lets workers wait for a moment; no worker loses its
     * incarnation.
     */
    @Test
    void aNewLeaderAnswersWorkersOnlyOnceItHasReadTheOpenJobs() {
        SimulatedNode first = settled(3);
        long before = incarnationSum();
        long starts = cluster.workers.values().stream().mapToInt(worker -> worker.started).sum();
        first.kill();
        cluster.run(2.2);
        cancel(otherThan(first), "j-1");
        int from = cluster.store.pagesRead;
        cluster.store.refusesPage = n -> n - from < 9;
        cluster.run(40);
        expectOnlyJ1Stopped(before);
        assertEquals(
                starts, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
    }

    /**
     * Confirmed after the open jobs were read and before their parts were: the first read still has
     * the job. The store is unavailable from then on, or as soon as all is read, so that no watch
     * event ever corrects it.
     */
    @Test
    void aCancellationBetweenReadingJobsAndPartsIsNotUndoneByTheOlderRead() {
        for (boolean outBeforeAllIsRead : new boolean[] {true, false}) {
            SimulatedNode first = settled(3);
            first.kill();
            cluster.node(first.name);
            SimulatedNode next = null;
            while (next == null) {
                cluster.run(0.01);
                next =
                        cluster.nodes.values().stream()
                                .filter(
                                        node ->
                                                node.alive
                                                        && node.controller.leadership.isLeading())
                                .findFirst()
                                .orElse(null);
            }
            cluster.store.refusesPrefix = StoreKeys.JOB_PARTS::equals;
            while (!next.controller.stateWriter.knowsRunningJobs()) {
                cluster.run(0.001);
            }
            assertFalse(next.controller.stateWriter.isLoaded());
            SimulatedNode leader = next;
            SimulatedNode peer =
                    cluster.nodes.values().stream()
                            .filter(node -> node != leader && node.alive)
                            .findFirst()
                            .orElseThrow();
            cluster.invariants.cancellationRequested("j-1");
            peer.controller.jobApi().cancel("j-1", response -> {});
            cluster.run(0.02);
            cluster.ask(peer, "j-1");
            assertTrue(cluster.reportedCancelledAt.containsKey("j-1"));
            if (outBeforeAllIsRead) {
                cluster.store.unavailable = true;
                cluster.run(1);
                assertFalse(leader.controller.stateWriter.isLoaded());
            } else {
                cluster.store.refusesPrefix = prefix -> false;
                while (!leader.controller.stateWriter.isLoaded()) {
                    cluster.run(0.0005);
                }
            }
            cluster.store.outage(60);
            cluster.run(40);
            expectStoppedInTime("j-1");
            assertTrue(
                    leader.controller.cancellationWatermark.ageSeconds() < 5,
                    "age " + leader.controller.cancellationWatermark.ageSeconds());
        }
    }

    /** A read is as old as its request, not as its response. */
    @Test
    void theWatermarkAfterReadingOpenJobsDatesFromTheRequest() {
        SimulatedNode first = settled(3);
        first.kill();
        SimulatedNode next = null;
        while (next == null) {
            cluster.run(0.01);
            next =
                    cluster.nodes.values().stream()
                            .filter(node -> node.alive && node.controller.leadership.isLeading())
                            .findFirst()
                            .orElse(null);
        }
        cluster.store.extraLatencySeconds = 0.8;
        while (!next.controller.stateWriter.knowsRunningJobs()) {
            cluster.run(0.01);
        }
        assertTrue(
                next.controller.cancellationWatermark.ageSeconds() > 0.8,
                "age " + next.controller.cancellationWatermark.ageSeconds());
    }
}
