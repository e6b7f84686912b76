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
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import io.kitepath.simulation.Worlds;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The gap: the store refuses the holder alone, another node confirms cancellations, then the store
 * is out for all for longer than cancel_s, while workers keep reporting to the old holder. The
 * world's checker says what is still on a machine cancel_s after any user was told.
 */
class CancellationGapTest {
    private SimulatedCluster w;

    private SimulatedNode settled(int nodes) {
        w = Worlds.settled(nodes, 4);
        w.runsFor = id -> 400;
        // The clocks of the nodes are apart as far as they may be.
        w.nodes.get("k0").clockOffMs = 5;
        w.nodes.get("k" + (nodes - 1)).clockOffMs = -5;
        SimulatedNode holder = w.leader();
        // Two to be cancelled, and one that goes on.
        w.submit(holder, job("j-1", Shape.ARRAY, 6, 1));
        w.submit(holder, job("j-2", Shape.GANG, 3, 1));
        w.submit(holder, job("j-3", Shape.ARRAY, 4, 1));
        w.run(6);
        assertEquals(6, w.onMachines("j-1"));
        assertEquals(3, w.onMachines("j-2"));
        assertEquals(4, w.onMachines("j-3"));
        return holder;
    }

    private SimulatedNode other(SimulatedNode than) {
        return w.nodes.values().stream()
                .filter(n -> n != than && n.alive)
                .findFirst()
                .orElseThrow();
    }

    private void cancelled(SimulatedNode at, String id) {
        var a = w.cancel(at, id);
        assertEquals("cancelled", a.state().status());
    }

    private void refuse(SimulatedNode n, double seconds) {
        n.cutFromStore = true;
        w.after(seconds, () -> n.cutFromStore = false);
    }

    /**
     * The store refuses the holder alone; another confirms that j-1 is cancelled, and its word does
     * not get through.
     */
    private SimulatedNode confirmedUnheard(SimulatedNode holder) {
        SimulatedNode sibling = other(holder);
        sibling.losesWord = true;
        refuse(holder, 9);
        w.run(0.5);
        sibling.cutFrom.add(holder.name);
        cancelled(sibling, "j-1");
        return sibling;
    }

    private long sessions() {
        return w.workers.values().stream().mapToLong(x -> x.session).sum();
    }

    /** Nothing of the cancelled job was on a machine too late, and all others go on, or again. */
    private void kept(String... gone) {
        assertEquals(List.of(), w.broken);
        for (String id : gone) {
            assertEquals(0, w.onMachines(id), id);
        }
    }

    private void kept(long sessions) {
        assertEquals(sessions, sessions(), "sessions of workers ended");
        assertEquals(4, w.onMachines("j-3"));
        kept("j-1");
    }

    @Test
    void whatASiblingConfirmedIsGoneInTimeAndNothingElse() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        refuse(holder, 9);
        w.run(0.5);
        cancelled(other(holder), "j-1");
        w.store.outage(50);
        w.run(45);
        kept(before);
    }

    @Test
    void theWordThatIsLostIsRepeated() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        SimulatedNode sibling = confirmedUnheard(holder);
        w.store.outage(50);
        w.run(4);
        sibling.cutFrom.clear();
        w.run(41);
        kept(before);
    }

    @Test
    void oneThatNeverHearsOfItStopsAnsweringInTime() {
        SimulatedNode holder = settled(3);
        SimulatedNode sibling = other(holder);
        refuse(holder, 9);
        sibling.cutFrom.add(holder.name);
        w.run(0.5);
        cancelled(sibling, "j-1");
        w.store.outage(70);
        w.run(65);
        kept("j-1");
        // Nobody can tell which tasks are cancelled, so all go.
        assertEquals(0, w.onMachines("j-3"));
        sibling.cutFrom.clear();
        w.run(60);
        assertEquals(4, w.onMachines("j-3"));
    }

    @Test
    void aConfirmingNodeThatEndsAndIsBackVouchesForNothingOfBefore() {
        SimulatedNode holder = settled(3);
        SimulatedNode sibling = confirmedUnheard(holder);
        sibling.crash();
        w.store.outage(70);
        w.run(0.3);
        w.node(sibling.name);
        w.run(60);
        kept("j-1");
        w.run(60);
        assertEquals(4, w.onMachines("j-3"));
    }

    @Test
    void twoNodesThatConfirmAreBothHeard() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        List<SimulatedNode> others = w.nodes.values().stream().filter(n -> n != holder).toList();
        others.forEach(n -> n.losesWord = true);
        refuse(holder, 9);
        w.run(0.5);
        cancelled(others.get(0), "j-1");
        cancelled(others.get(1), "j-2");
        w.store.outage(50);
        w.run(45);
        kept(before);
        kept("j-2");
    }

    @Test
    void withAThirdThatIsSilentTheMarginAloneCounts() {
        SimulatedNode holder = settled(3);
        List<SimulatedNode> others = w.nodes.values().stream().filter(n -> n != holder).toList();
        others.get(0).losesWord = true;
        others.get(1).crash();
        refuse(holder, 9);
        w.run(0.5);
        cancelled(others.get(0), "j-1");
        w.store.outage(70);
        w.run(60);
        kept("j-1");
        assertEquals(0, w.onMachines("j-3"));
    }

    /** What the silent one confirmed is not what those say who are heard. */
    @Test
    void whatTheSilentOneConfirmedIsGoneInTimeToo() {
        SimulatedNode holder = settled(3);
        SimulatedNode sibling = other(holder);
        sibling.losesWord = true;
        refuse(holder, 9);
        w.run(0.5);
        sibling.frozenUntil = w.clock.now + 0.2;
        sibling.cutFrom.add(holder.name);
        w.run(0.2);
        cancelled(sibling, "j-1");
        sibling.frozenUntil = w.clock.now + 80;
        w.store.outage(75);
        w.run(65);
        kept("j-1");
    }

    @Test
    void twoGapsInARow() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        w.nodes.values().forEach(n -> n.losesWord = true);
        refuse(holder, 6);
        w.run(0.5);
        cancelled(other(holder), "j-1");
        w.store.outage(40);
        w.run(44);
        SimulatedNode next = w.leader();
        refuse(next, 6);
        w.run(0.5);
        cancelled(other(next), "j-2");
        w.store.outage(40);
        w.run(44);
        kept(before);
        kept("j-2");
    }

    @Test
    void aHolderThatStoodStillInBetweenAnswersNothingFromBefore() {
        for (double stands = 1; stands < 40; stands += 3) {
            SimulatedNode holder = settled(3);
            confirmedUnheard(holder);
            holder.frozenUntil = w.clock.now + stands;
            w.store.outage(70);
            w.run(65);
            kept("j-1");
        }
    }

    @Test
    void theStoreIsSlowInsteadOfOut() {
        for (double slow : new double[] {0.5, 2, 5, 20}) {
            SimulatedNode holder = settled(3);
            SimulatedNode sibling = other(holder);
            sibling.losesWord = true;
            w.run(0.5);
            w.store.hangs = n -> n == holder;
            sibling.cutFrom.add(holder.name);
            cancelled(sibling, "j-1");
            w.store.slowS = slow;
            w.run(65);
            kept("j-1");
            w.store.slowS = 0;
            w.store.hangs = n -> false;
            sibling.cutFrom.clear();
            w.run(60);
            assertEquals(4, w.onMachines("j-3"));
        }
    }

    /** Renewals go through, so the holder stays one; that its watch says nothing proves nothing. */
    @Test
    void aWatchThatHangsHidesNoCancellation() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        SimulatedNode sibling = other(holder);
        sibling.losesWord = true;
        w.store.hangs = n -> n == holder;
        sibling.cutFrom.add(holder.name);
        cancelled(sibling, "j-1");
        w.run(31);
        kept(before);
        assertTrue(holder.controller.holds());
    }

    @Test
    void theHolderChangedJustBefore() {
        for (double ago = 0; ago < 6; ago += 0.2) {
            SimulatedNode first = settled(3);
            first.crash();
            w.run(1 + ago);
            SimulatedNode sibling = other(first);
            sibling.losesWord = true;
            var a = w.cancel(sibling, "j-1");
            w.store.outage(70);
            w.run(0.4);
            w.node(first.name);
            w.run(60);
            assertEquals(List.of(), w.broken, "after " + ago);
            if (a != null && a.verdict() == Verdict.KNOWN) {
                assertEquals(0, w.onMachines("j-1"), "after " + ago);
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
                    w.siblings.stream()
                            .map(w.nodes::get)
                            .filter(n -> n != first)
                            .findFirst()
                            .orElseThrow();
            int from = w.store.pages + page;
            boolean[] once = {true};
            w.store.refusePage =
                    n -> {
                        if (n == from && once[0]) {
                            once[0] = false;
                            w.rules.asksToCancel("j-1");
                            w.after(0, () -> sibling.controller.registry().cancel("j-1", a -> {}));
                            w.after(0.008, () -> w.store.outage(60));
                        }
                        return false;
                    };
            first.crash();
            w.run(8);
            w.ask(sibling, "j-1");
            told += w.toldCancelled.containsKey("j-1") ? 1 : 0;
            w.run(60);
            assertEquals(List.of(), w.broken, "page " + page);
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
                w.nodes.values().stream()
                        .filter(n -> n != holder && n != sibling)
                        .findFirst()
                        .orElseThrow();
        w.nodes.values().forEach(n -> n.losesWord = true);
        w.store.hangs = n -> n == holder;
        refuse(holder, 9);
        w.store.late =
                t ->
                        t.writes().stream().anyMatch(x -> x.key().equals(StoreKeys.OVER + "j-1"))
                                ? 1
                                : 0;
        assertEquals(null, w.cancel(sibling, "j-1"));
        sibling.crash();
        w.run(1.2);
        assertEquals("cancelled", w.ask(third, "j-1").state().status());
        w.store.outage(70);
        w.node(sibling.name);
        w.run(65);
        kept("j-1");
    }

    /** Its own user is told by a poll: the holder knows it then, whatever its watch says. */
    @Test
    void whatTheHolderItselfSaysItKnows() {
        SimulatedNode holder = settled(1);
        long before = sessions();
        w.store.hangs = n -> true;
        w.store.late =
                t ->
                        t.writes().stream().anyMatch(x -> x.key().equals(StoreKeys.OVER + "j-1"))
                                ? 0.7
                                : 0;
        w.cancel(holder, "j-1");
        // Just after it was carried out, and before the next comparison would find it.
        w.run(0.605);
        double proven = holder.controller.known.ageS();
        w.store.withheld = t -> t.conditions().stream().noneMatch(c -> c.revision() == 0);
        w.ask(holder, "j-1");
        assertTrue(w.toldCancelled.containsKey("j-1"));
        assertTrue(proven < 1.5, "age " + proven);
        w.store.outage(60);
        w.run(45);
        kept(before);
    }

    @Test
    void anOldReportOfACancelledTaskKeepsNothingAlive() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        SimulatedWorker x =
                w.workers.values().stream()
                        .filter(y -> y.tasks.keySet().stream().anyMatch(k -> k.startsWith("j-1/")))
                        .findFirst()
                        .orElseThrow();
        Heartbeat old = x.message();
        refuse(holder, 9);
        w.run(0.5);
        cancelled(other(holder), "j-1");
        w.store.outage(60);
        for (int i = 0; i < 40; i++) {
            w.run(1);
            w.nodes.values().forEach(n -> n.controller.heartbeat(old, c -> {}));
        }
        kept(before);
    }

    /** An outage alone kills nothing, however long, as long as all give their word. */
    @Test
    void anOutageAloneEndsNothing() {
        SimulatedNode holder = settled(3);
        long before = sessions();
        w.store.outage(200);
        w.run(195);
        assertEquals(before, sessions());
        assertEquals(6, w.onMachines("j-1"));
        w.run(30);
        assertEquals(before, sessions());
        assertEquals(6, w.onMachines("j-1"));
        assertFalse(holder.controller.known.ageS() > 5);
    }

    /** Those of a version without such a word, on either side: the margin alone counts. */
    @Test
    void oldSiblingsAndOldHolders() {
        for (int olds = 1; olds < 8; olds++) {
            SimulatedNode holder = settled(3);
            for (int i = 0; i < 3; i++) {
                w.nodes.get("k" + i).old = (olds >> i & 1) == 1;
            }
            w.run(3);
            w.nodes.values().forEach(n -> n.losesWord = true);
            refuse(holder, 9);
            w.run(0.5);
            cancelled(other(holder), "j-1");
            w.store.outage(70);
            w.run(65);
            kept("j-1");
        }
    }

    /** An answer that is held for a moment is entitled when it goes, not when the report came. */
    @Test
    void aHeldAnswerIsLookedAtOnceMoreWhenItGoes() {
        SimulatedNode holder = settled(2);
        w.worker("i-000009", "a");
        w.run(6);
        w.nodes.values().forEach(n -> n.cutFrom.addAll(w.siblings));
        // Its lease is renewed all the while, but no comparison is answered.
        w.store.withheld = t -> t.writes().isEmpty();
        while (holder.controller.known.ageS() < holder.controller.facts.workers().marginS() - 0.6) {
            w.run(0.1);
        }
        SimulatedWorker idle = w.workers.get("i-000009");
        HeartbeatResponse[] got = new HeartbeatResponse[1];
        holder.controller.heartbeat(idle.message(), c -> got[0] = c);
        assertEquals(null, got[0]);
        w.run(2.1);
        assertEquals(0, got[0].token());
    }

    /**
     * A new holder that has not read the jobs leaves workers waiting for a moment, and costs none
     * its session.
     */
    @Test
    void aNewHolderAnswersOnlyOnceItKnowsWhatIsOpen() {
        SimulatedNode first = settled(3);
        long before = sessions();
        long starts = w.workers.values().stream().mapToInt(x -> x.started).sum();
        first.kill();
        w.run(2.2);
        cancelled(other(first), "j-1");
        int from = w.store.pages;
        w.store.refusePage = n -> n - from < 9;
        w.run(40);
        kept(before);
        assertEquals(starts, w.workers.values().stream().mapToInt(x -> x.started).sum());
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
            w.node(first.name);
            SimulatedNode next = null;
            while (next == null) {
                w.run(0.01);
                next =
                        w.nodes.values().stream()
                                .filter(n -> n.alive && n.controller.leadership.leading())
                                .findFirst()
                                .orElse(null);
            }
            w.store.refusePrefix = StoreKeys.PART::equals;
            while (!next.controller.keeper.knowsRunning()) {
                w.run(0.001);
            }
            assertFalse(next.controller.keeper.loaded());
            SimulatedNode holder = next;
            SimulatedNode sibling =
                    w.nodes.values().stream()
                            .filter(n -> n != holder && n.alive)
                            .findFirst()
                            .orElseThrow();
            w.rules.asksToCancel("j-1");
            sibling.controller.registry().cancel("j-1", a -> {});
            w.run(0.02);
            w.ask(sibling, "j-1");
            assertTrue(w.toldCancelled.containsKey("j-1"));
            if (outBeforeAllIsRead) {
                w.store.out = true;
                w.run(1);
                assertFalse(holder.controller.keeper.loaded());
            } else {
                w.store.refusePrefix = prefix -> false;
                while (!holder.controller.keeper.loaded()) {
                    w.run(0.0005);
                }
            }
            w.store.outage(60);
            w.run(40);
            kept("j-1");
            assertTrue(holder.controller.known.ageS() < 5, "age " + holder.controller.known.ageS());
        }
    }

    /** What is read counts from when it was asked for, not from when it came. */
    @Test
    void theReadOfOpenJobsCountsFromWhenItWasAskedFor() {
        SimulatedNode first = settled(3);
        first.kill();
        SimulatedNode next = null;
        while (next == null) {
            w.run(0.01);
            next =
                    w.nodes.values().stream()
                            .filter(n -> n.alive && n.controller.leadership.leading())
                            .findFirst()
                            .orElse(null);
        }
        w.store.slowS = 0.8;
        while (!next.controller.keeper.knowsRunning()) {
            w.run(0.01);
        }
        assertTrue(next.controller.known.ageS() > 0.8, "age " + next.controller.known.ageS());
    }
}
