package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The gap: the store refuses the holder alone, another node confirms cancellations, then the store
 * is out for all for longer than cancel_s, while workers keep reporting to the old holder. The
 * world's checker says what is still on a machine cancel_s after any user was told.
 */
class CancellationGapTest {
    private SimulatedCluster cluster;

    private SimulatedNode settled(int nodes) {
        cluster = SimulatedClusters.settled(nodes, 4);
        cluster.taskSeconds = id -> 400;
        // The clocks of the nodes are apart as far as they may be.
        cluster.nodes.get("k0").clockOffsetMillis = 5;
        cluster.nodes.get("k" + (nodes - 1)).clockOffsetMillis = -5;
        SimulatedNode holder = cluster.leader();
        // Two to be cancelled, and one that goes on.
        cluster.submit(holder, job("j-1", Shape.ARRAY, 6, 1));
        cluster.submit(holder, job("j-2", Shape.GANG, 3, 1));
        cluster.submit(holder, job("j-3", Shape.ARRAY, 4, 1));
        cluster.run(6);
        assertEquals(6, cluster.onMachines("j-1"));
        assertEquals(3, cluster.onMachines("j-2"));
        assertEquals(4, cluster.onMachines("j-3"));
        return holder;
    }

    private SimulatedNode other(SimulatedNode than) {
        return cluster.nodes.values().stream()
                .filter(node -> node != than && node.alive)
                .findFirst()
                .orElseThrow();
    }

    private void cancelled(SimulatedNode node, String id) {
        var response = cluster.cancel(node, id);
        assertEquals("cancelled", response.jobStatus().status());
    }

    private void refuse(SimulatedNode node, double seconds) {
        node.cutFromStore = true;
        cluster.after(seconds, () -> node.cutFromStore = false);
    }

    /**
     * The store refuses the holder alone; another confirms that j-1 is cancelled, and its word does
     * not get through.
     */
    private SimulatedNode confirmedUnheard(SimulatedNode holder) {
        SimulatedNode sibling = other(holder);
        sibling.losesPeerMessages = true;
        refuse(holder, 9);
        cluster.run(0.5);
        sibling.cutFrom.add(holder.name);
        cancelled(sibling, "j-1");
        return sibling;
    }

    private long sessions() {
        return cluster.workers.values().stream().mapToLong(worker -> worker.session).sum();
    }

    /** Nothing of the cancelled job was on a machine too late, and all others go on, or again. */
    private void kept(String... gone) {
        assertEquals(List.of(), cluster.violations);
        for (String id : gone) {
            assertEquals(0, cluster.onMachines(id), id);
        }
    }

    private void kept(long sessions) {
        assertEquals(sessions, sessions(), "sessions of workers ended");
        assertEquals(4, cluster.onMachines("j-3"));
        kept("j-1");
    }

    @Test
    void whatASiblingConfirmedIsGoneInTimeAndNothingElse() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        refuse(holder, 9);
        cluster.run(0.5);
        cancelled(other(holder), "j-1");
        cluster.store.outage(50);
        cluster.run(45);
        kept(before);
    }

    @Test
    void theWordThatIsLostIsRepeated() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        SimulatedNode sibling = confirmedUnheard(holder);
        cluster.store.outage(50);
        cluster.run(4);
        sibling.cutFrom.clear();
        cluster.run(41);
        kept(before);
    }

    @Test
    void oneThatNeverHearsOfItStopsAnsweringInTime() {
        SimulatedNode holder = settled(3);
        SimulatedNode sibling = other(holder);
        refuse(holder, 9);
        sibling.cutFrom.add(holder.name);
        cluster.run(0.5);
        cancelled(sibling, "j-1");
        cluster.store.outage(70);
        cluster.run(65);
        kept("j-1");
        // Nobody can tell which tasks are cancelled, so all go.
        assertEquals(0, cluster.onMachines("j-3"));
        sibling.cutFrom.clear();
        cluster.run(60);
        assertEquals(4, cluster.onMachines("j-3"));
    }

    @Test
    void aConfirmingNodeThatEndsAndIsBackVouchesForNothingOfBefore() {
        SimulatedNode holder = settled(3);
        SimulatedNode sibling = confirmedUnheard(holder);
        sibling.crash();
        cluster.store.outage(70);
        cluster.run(0.3);
        cluster.node(sibling.name);
        cluster.run(60);
        kept("j-1");
        cluster.run(60);
        assertEquals(4, cluster.onMachines("j-3"));
    }

    @Test
    void twoNodesThatConfirmAreBothHeard() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        List<SimulatedNode> others =
                cluster.nodes.values().stream().filter(node -> node != holder).toList();
        others.forEach(node -> node.losesPeerMessages = true);
        refuse(holder, 9);
        cluster.run(0.5);
        cancelled(others.get(0), "j-1");
        cancelled(others.get(1), "j-2");
        cluster.store.outage(50);
        cluster.run(45);
        kept(before);
        kept("j-2");
    }

    @Test
    void withAThirdThatIsSilentTheMarginAloneCounts() {
        SimulatedNode holder = settled(3);
        List<SimulatedNode> others =
                cluster.nodes.values().stream().filter(node -> node != holder).toList();
        others.get(0).losesPeerMessages = true;
        others.get(1).crash();
        refuse(holder, 9);
        cluster.run(0.5);
        cancelled(others.get(0), "j-1");
        cluster.store.outage(70);
        cluster.run(60);
        kept("j-1");
        assertEquals(0, cluster.onMachines("j-3"));
    }

    /** What the silent one confirmed is not what those say who are heard. */
    @Test
    void whatTheSilentOneConfirmedIsGoneInTimeToo() {
        SimulatedNode holder = settled(3);
        SimulatedNode sibling = other(holder);
        sibling.losesPeerMessages = true;
        refuse(holder, 9);
        cluster.run(0.5);
        sibling.frozenUntil = cluster.clock.now + 0.2;
        sibling.cutFrom.add(holder.name);
        cluster.run(0.2);
        cancelled(sibling, "j-1");
        sibling.frozenUntil = cluster.clock.now + 80;
        cluster.store.outage(75);
        cluster.run(65);
        kept("j-1");
    }

    @Test
    void twoGapsInARow() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        cluster.nodes.values().forEach(node -> node.losesPeerMessages = true);
        refuse(holder, 6);
        cluster.run(0.5);
        cancelled(other(holder), "j-1");
        cluster.store.outage(40);
        cluster.run(44);
        SimulatedNode next = cluster.leader();
        refuse(next, 6);
        cluster.run(0.5);
        cancelled(other(next), "j-2");
        cluster.store.outage(40);
        cluster.run(44);
        kept(before);
        kept("j-2");
    }

    @Test
    void aHolderThatStoodStillInBetweenAnswersNothingFromBefore() {
        for (double stands = 1; stands < 40; stands += 3) {
            SimulatedNode holder = settled(3);
            confirmedUnheard(holder);
            holder.frozenUntil = cluster.clock.now + stands;
            cluster.store.outage(70);
            cluster.run(65);
            kept("j-1");
        }
    }

    @Test
    void theStoreIsSlowInsteadOfOut() {
        for (double slow : new double[] {0.5, 2, 5, 20}) {
            SimulatedNode holder = settled(3);
            SimulatedNode sibling = other(holder);
            sibling.losesPeerMessages = true;
            cluster.run(0.5);
            cluster.store.ignoresRequestsOf = client -> client == holder;
            sibling.cutFrom.add(holder.name);
            cancelled(sibling, "j-1");
            cluster.store.extraLatencySeconds = slow;
            cluster.run(65);
            kept("j-1");
            cluster.store.extraLatencySeconds = 0;
            cluster.store.ignoresRequestsOf = client -> false;
            sibling.cutFrom.clear();
            cluster.run(60);
            assertEquals(4, cluster.onMachines("j-3"));
        }
    }

    /** Renewals go through, so the holder stays one; that its watch says nothing proves nothing. */
    @Test
    void aWatchThatHangsHidesNoCancellation() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        SimulatedNode sibling = other(holder);
        sibling.losesPeerMessages = true;
        cluster.store.ignoresRequestsOf = client -> client == holder;
        sibling.cutFrom.add(holder.name);
        cancelled(sibling, "j-1");
        cluster.run(31);
        kept(before);
        assertTrue(holder.controller.holdsShard());
    }

    @Test
    void theHolderChangedJustBefore() {
        for (double ago = 0; ago < 6; ago += 0.2) {
            SimulatedNode first = settled(3);
            first.crash();
            cluster.run(1 + ago);
            SimulatedNode sibling = other(first);
            sibling.losesPeerMessages = true;
            var response = cluster.cancel(sibling, "j-1");
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

    /** Told while the jobs are being read: what was read before must not bring it back. */
    @Test
    void whatIsToldWhileJobsAreReadCounts() {
        int told = 0;
        for (int page = 1; page < 8; page++) {
            SimulatedNode first = settled(3);
            SimulatedNode sibling =
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
                                    () ->
                                            sibling.controller
                                                    .jobApi()
                                                    .cancel("j-1", response -> {}));
                            cluster.after(0.008, () -> cluster.store.outage(60));
                        }
                        return false;
                    };
            first.crash();
            cluster.run(8);
            cluster.ask(sibling, "j-1");
            told += cluster.reportedCancelledAt.containsKey("j-1") ? 1 : 0;
            cluster.run(60);
            assertEquals(List.of(), cluster.violations, "page " + page);
        }
        assertTrue(told > 1, "told: " + told);
    }

    /**
     * The transaction is carried out late, another node's user is told by a poll, and its holder's
     * watch hangs.
     */
    @Test
    void whoIsToldByAPollIsToldToo() {
        SimulatedNode holder = settled(3);
        SimulatedNode sibling = other(holder);
        SimulatedNode third =
                cluster.nodes.values().stream()
                        .filter(node -> node != holder && node != sibling)
                        .findFirst()
                        .orElseThrow();
        cluster.nodes.values().forEach(node -> node.losesPeerMessages = true);
        cluster.store.ignoresRequestsOf = client -> client == holder;
        refuse(holder, 9);
        cluster.store.executionDelaySeconds =
                transaction ->
                        transaction.writes().stream()
                                        .anyMatch(
                                                write ->
                                                        write.key()
                                                                .equals(
                                                                        StoreKeys.ENDED_JOBS
                                                                                + "j-1"))
                                ? 1
                                : 0;
        assertEquals(null, cluster.cancel(sibling, "j-1"));
        sibling.crash();
        cluster.run(1.2);
        assertEquals("cancelled", cluster.ask(third, "j-1").jobStatus().status());
        cluster.store.outage(70);
        cluster.node(sibling.name);
        cluster.run(65);
        kept("j-1");
    }

    /** Its own user is told by a poll: the holder knows it then, whatever its watch says. */
    @Test
    void whatTheHolderItselfSaysItKnows() {
        SimulatedNode holder = settled(1);
        long before = sessions();
        cluster.store.ignoresRequestsOf = client -> true;
        cluster.store.executionDelaySeconds =
                transaction ->
                        transaction.writes().stream()
                                        .anyMatch(
                                                write ->
                                                        write.key()
                                                                .equals(
                                                                        StoreKeys.ENDED_JOBS
                                                                                + "j-1"))
                                ? 0.7
                                : 0;
        cluster.cancel(holder, "j-1");
        // Just after it was carried out, and before the next comparison would find it.
        cluster.run(0.605);
        double proven = holder.controller.cancellationWatermark.ageSeconds();
        cluster.store.holdsBack =
                transaction ->
                        transaction.conditions().stream()
                                .noneMatch(condition -> condition.revision() == 0);
        cluster.ask(holder, "j-1");
        assertTrue(cluster.reportedCancelledAt.containsKey("j-1"));
        assertTrue(proven < 1.5, "age " + proven);
        cluster.store.outage(60);
        cluster.run(45);
        kept(before);
    }

    @Test
    void anOldReportOfACancelledTaskKeepsNothingAlive() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        SimulatedWorker x =
                cluster.workers.values().stream()
                        .filter(
                                y ->
                                        y.tasks.keySet().stream()
                                                .anyMatch(key -> key.startsWith("j-1/")))
                        .findFirst()
                        .orElseThrow();
        Heartbeat old = x.currentHeartbeat();
        refuse(holder, 9);
        cluster.run(0.5);
        cancelled(other(holder), "j-1");
        cluster.store.outage(60);
        for (int i = 0; i < 40; i++) {
            cluster.run(1);
            cluster.nodes
                    .values()
                    .forEach(node -> node.controller.onHeartbeat(old, response -> {}));
        }
        kept(before);
    }

    /** An outage alone kills nothing, however long, as long as all give their word. */
    @Test
    void anOutageAloneEndsNothing() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        cluster.store.outage(200);
        cluster.run(195);
        assertEquals(before, sessions());
        assertEquals(6, cluster.onMachines("j-1"));
        cluster.run(30);
        assertEquals(before, sessions());
        assertEquals(6, cluster.onMachines("j-1"));
        assertFalse(holder.controller.cancellationWatermark.ageSeconds() > 5);
    }

    /** Those of a version without such a word, on either side: the margin alone counts. */
    @Test
    void oldSiblingsAndOldHolders() {
        for (int olds = 1; olds < 8; olds++) {
            SimulatedNode holder = settled(3);
            for (int i = 0; i < 3; i++) {
                cluster.nodes.get("k" + i).isProductionVersion = (olds >> i & 1) == 1;
            }
            cluster.run(3);
            cluster.nodes.values().forEach(node -> node.losesPeerMessages = true);
            refuse(holder, 9);
            cluster.run(0.5);
            cancelled(other(holder), "j-1");
            cluster.store.outage(70);
            cluster.run(65);
            kept("j-1");
        }
    }

    /** An answer that is held for a moment is entitled when it goes, not when the report came. */
    @Test
    void aHeldAnswerIsLookedAtOnceMoreWhenItGoes() {
        SimulatedNode holder = settled(2);
        cluster.worker("i-000009", "a");
        cluster.run(6);
        cluster.nodes.values().forEach(node -> node.cutFrom.addAll(cluster.siblings));
        // Its lease is renewed all the while, but no comparison is answered.
        cluster.store.holdsBack = transaction -> transaction.writes().isEmpty();
        while (holder.controller.cancellationWatermark.ageSeconds()
                < holder.controller.settings.workers().cancellationStalenessSeconds() - 0.6) {
            cluster.run(0.1);
        }
        SimulatedWorker idle = cluster.workers.get("i-000009");
        HeartbeatResponse[] got = new HeartbeatResponse[1];
        holder.controller.onHeartbeat(idle.currentHeartbeat(), response -> got[0] = response);
        assertEquals(null, got[0]);
        cluster.run(2.1);
        assertEquals(0, got[0].fencingToken());
    }

    /**
     * A new holder that has not read the jobs leaves workers waiting for a moment, and costs none
     * its session.
     */
    @Test
    void aNewHolderAnswersOnlyOnceItKnowsWhatIsOpen() {
        SimulatedNode first = settled(3);
        long before = sessions();
        long starts = cluster.workers.values().stream().mapToInt(worker -> worker.started).sum();
        first.kill();
        cluster.run(2.2);
        cancelled(other(first), "j-1");
        int from = cluster.store.pagesRead;
        cluster.store.refusesPage = n -> n - from < 9;
        cluster.run(40);
        kept(before);
        assertEquals(
                starts, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
    }

    /**
     * Told after the list of open jobs was read and before their parts were: the list still has it.
     * The store is out from then on, or from the moment on in which all is read, so that no watch
     * ever corrects it.
     */
    @Test
    void whatIsToldBetweenTheListAndThePartsIsNotBroughtBackByTheList() {
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
            SimulatedNode holder = next;
            SimulatedNode sibling =
                    cluster.nodes.values().stream()
                            .filter(node -> node != holder && node.alive)
                            .findFirst()
                            .orElseThrow();
            cluster.invariants.cancellationRequested("j-1");
            sibling.controller.jobApi().cancel("j-1", response -> {});
            cluster.run(0.02);
            cluster.ask(sibling, "j-1");
            assertTrue(cluster.reportedCancelledAt.containsKey("j-1"));
            if (outBeforeAllIsRead) {
                cluster.store.unavailable = true;
                cluster.run(1);
                assertFalse(holder.controller.stateWriter.isLoaded());
            } else {
                cluster.store.refusesPrefix = prefix -> false;
                while (!holder.controller.stateWriter.isLoaded()) {
                    cluster.run(0.0005);
                }
            }
            cluster.store.outage(60);
            cluster.run(40);
            kept("j-1");
            assertTrue(
                    holder.controller.cancellationWatermark.ageSeconds() < 5,
                    "age " + holder.controller.cancellationWatermark.ageSeconds());
        }
    }

    /** What is read counts from when it was asked for, not from when it came. */
    @Test
    void theReadOfOpenJobsCountsFromWhenItWasAskedFor() {
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
