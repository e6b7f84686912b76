package io.kitepath.core;

import static io.kitepath.core.LostAnswersTest.ends;
import static io.kitepath.core.LostAnswersTest.handIn;
import static io.kitepath.core.MeetingsTest.sessions;
import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.Worlds.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Lost answers where they meet something else: claims that are won unawares, cancellations and ends
 * that only others know of, comparisons, records that are laid out anew. The days are in {@link
 * LostAnswersTest}.
 */
class LostAnswersMeetTest {
    // ---- claims ---------------------------------------------------------------------------------

    /**
     * A claim is won without its node's knowing: a few times in a row, also while the store refuses
     * what would undo it.
     */
    @Test
    void claimsThatWereWonUnawaresEndAndOneIsHeard() {
        for (String key :
                List.of(StoreKeys.LEADER, StoreKeys.DUTY + "cloud", StoreKeys.DUTY + "cleanup")) {
            for (int times = 1; times <= 4; times++) {
                for (double refused : new double[] {0, 0.7, 1.6, 3}) {
                    SimulatedCluster w = settled(3, 4);
                    w.closeLooks = true;
                    w.cloud.capacity = 4;
                    w.runsFor = id -> 25;
                    handIn(w, 0, job("j-1", Shape.ARRAY, 8, 2));
                    w.run(3);
                    int[] left = {times};
                    w.store.unheard =
                            t -> {
                                var claim =
                                        t.writes().stream()
                                                .filter(
                                                        x ->
                                                                x.key().equals(key)
                                                                        && x.value() != null)
                                                .findFirst();
                                if (claim.isEmpty() || left[0] == 0) {
                                    return false;
                                }
                                left[0]--;
                                SimulatedNode n =
                                        w.nodes.get(
                                                (String)
                                                        ((Map<?, ?>) claim.get().value())
                                                                .get("node"));
                                n.cutFromStore = refused > 0;
                                w.after(refused, () -> n.cutFromStore = false);
                                return true;
                            };
                    long before = w.store.token();
                    SimulatedNode old = w.leader();
                    w.nodes.values().stream()
                            .filter(n -> n.controller.duties().stream().anyMatch(d -> d.mine()))
                            .forEach(SimulatedNode::kill);
                    old.kill();
                    w.after(
                            0.4,
                            () ->
                                    List.copyOf(w.nodes.values()).stream()
                                            .filter(n -> !n.alive)
                                            .forEach(n -> w.node(n.name)));
                    handIn(w, 1, job("j-2", Shape.GANG, 2, 1));
                    w.run(1);
                    w.users.cancel(w.nodes.get("k1"), "j-2");
                    handIn(w, 2, job("j-3", Shape.ARRAY, 30, 4));
                    w.run(20);
                    String at = key + " won unawares " + times + " times, refused for " + refused;
                    w.rules.calm();
                    w.run(160);
                    assertTrue(left[0] < times, at);
                    assertTrue(w.store.token() > before, at);
                    assertEquals(
                            0,
                            w.nodes.values().stream()
                                    .filter(n -> n != w.leader() && n.controller.leadsWith() > 0)
                                    .count(),
                            at);
                    for (String duty : List.of("cloud", "cleanup")) {
                        assertEquals(
                                1,
                                w.nodes.values().stream()
                                        .filter(n -> n.controller.entitled(duty))
                                        .count(),
                                at);
                    }
                    for (String id : List.of("j-1", "j-2", "j-3")) {
                        for (SimulatedNode n : w.nodes.values()) {
                            assertEquals(
                                    id.equals("j-2") ? "cancelled" : "done",
                                    w.status(n, id),
                                    at + ": " + id);
                        }
                    }
                    assertEquals(List.of(), w.broken, at);
                }
            }
        }
    }

    // ---- cancellations and ends
    // -------------------------------------------------------------------

    /**
     * Nobody hears that a cancellation was carried out, other users read it at once; its node ends,
     * or the holder does, or hears of it by none of the quick ways.
     */
    @Test
    void aCancellationThatItsNodeDidNotHearOfIsHonouredLikeAnyOther() {
        int runs = 0;
        for (double at = 0.2; at < 5; at += 0.25) {
            for (int how = 0; how < 6; how++) {
                SimulatedCluster w = settled(3, 4);
                w.closeLooks = true;
                w.runsFor = id -> 90;
                handIn(w, 0, job("j-1", how % 2 == 0 ? Shape.ARRAY : Shape.GANG, 4, 2));
                w.run(at);
                SimulatedNode holder = w.leader();
                SimulatedNode by = how < 2 ? holder : MeetingsTest.other(w, holder);
                int[] lost = {0};
                w.store.unheard =
                        t ->
                                t.writes().stream()
                                                .anyMatch(
                                                        x -> x.key().equals(StoreKeys.OVER + "j-1"))
                                        && lost[0]++ < 1;
                if (how >= 2) {
                    w.store.hangs = n -> n == holder;
                    w.nodes.values().forEach(n -> n.losesWord = true);
                }
                w.users.cancel(by, "j-1");
                w.run(0.02);
                if (how >= 4) {
                    by.kill();
                    w.after(3, () -> w.node(by.name));
                }
                for (SimulatedNode n : w.nodes.values()) {
                    w.users.ask(n, "j-1");
                }
                w.run(1.5);
                if (how == 3 || how == 5) {
                    ends(w, 0.3);
                }
                w.run(45);
                w.store.hangs = n -> false;
                String when = "cancelled after " + at + ", way " + how;
                assertTrue(lost[0] > 0 && w.toldCancelled.containsKey("j-1"), when);
                w.run(10);
                assertEquals(0, w.onMachines("j-1"), when);
                w.nodes.values().forEach(n -> assertEquals("cancelled", w.status(n, "j-1"), when));
                assertEquals(List.of(), w.broken, when);
                assertEquals(0, w.rules.startsAfterCancellation(), when);
                runs++;
            }
        }
        System.out.println("unheard cancellations: " + runs);
    }

    /**
     * Users call jobs off as they end, and whoever moves the job first, nobody hears that it did.
     */
    @Test
    void endsAndCancellationsMeetAndBothGoUnheard() {
        int done = 0;
        int cancelled = 0;
        for (int i = 0; i < 40; i++) {
            SimulatedCluster w = settled(3, 4);
            w.closeLooks = true;
            w.cancelsAtEnd = t -> true;
            double longer = i * 0.05;
            w.runsFor = id -> 3 + longer;
            // The moves themselves take a while, so that either may be first.
            w.store.slowS = i % 4 * 0.03;
            int[] lost = {0};
            w.store.unheard =
                    t ->
                            t.writes().stream().anyMatch(x -> x.key().startsWith(StoreKeys.OVER))
                                    && lost[0]++ < 8;
            for (int j = 0; j < 4; j++) {
                handIn(w, j, job("j-1" + j, j % 2 == 0 ? Shape.ARRAY : Shape.GANG, 1 + j, 1));
            }
            w.run(12);
            w.rules.calm();
            w.run(100);
            String at = "run " + i;
            assertTrue(lost[0] >= 4, at);
            for (int j = 0; j < 4; j++) {
                String id = "j-1" + j;
                Set<String> said =
                        w.nodes.values().stream()
                                .map(n -> w.status(n, id))
                                .collect(Collectors.toSet());
                assertTrue(
                        said.equals(Set.of("done")) || said.equals(Set.of("cancelled")),
                        at + ": " + id + " " + said);
                done += said.contains("done") ? 1 : 0;
                cancelled += said.contains("cancelled") ? 1 : 0;
            }
            assertEquals(List.of(), w.broken, at);
        }
        System.out.println(
                "ends and cancellations unheard: " + done + " done, " + cancelled + " cancelled");
        assertTrue(done > 0 && cancelled > 0);
    }

    // ---- comparisons ----------------------------------------------------------------------------

    /**
     * Answers of comparisons are lost, all or some: the holder's proof comes by the siblings' word,
     * or not at all.
     */
    @Test
    void answersOfComparisonsAreLost() {
        for (double lasts : new double[] {1, 4, 9, 20, 45}) {
            for (int how = 0; how < 4; how++) {
                SimulatedCluster w = settled(3, 4);
                Random random = new Random(how);
                w.runsFor = id -> 70;
                handIn(w, 0, job("j-1", Shape.ARRAY, 4, 1));
                handIn(w, 1, job("j-2", Shape.GANG, 4, 1));
                w.run(4);
                w.closeLooks = true;
                boolean some = how == 1;
                int[] lost = {0};
                w.store.unheard =
                        t ->
                                t.writes().isEmpty()
                                        && (!some || random.nextInt(3) > 0)
                                        && ++lost[0] > 0;
                SimulatedNode holder = w.leader();
                if (how >= 2) {
                    w.nodes.values().stream()
                            .filter(n -> n != holder)
                            .forEach(n -> holder.cutFrom.add(n.name));
                }
                if (how == 3) {
                    w.store.hangs = n -> n == holder;
                }
                w.run(0.5);
                w.users.cancel(MeetingsTest.other(w, holder), "j-1");
                for (double t = 0; t < lasts; t += 0.5) {
                    w.nodes.values().forEach(n -> w.users.ask(n, "j-2"));
                    w.run(0.5);
                }
                w.store.unheard = t -> false;
                w.store.hangs = n -> false;
                holder.cutFrom.clear();
                w.rules.calm();
                w.run(130);
                String at = "comparisons unheard for " + lasts + ", way " + how;
                assertTrue(lost[0] > 0, at);
                w.nodes
                        .values()
                        .forEach(
                                n -> {
                                    assertEquals("cancelled", w.status(n, "j-1"), at);
                                    assertEquals("done", w.status(n, "j-2"), at);
                                });
                if (how < 2) {
                    assertEquals(w.workers.size(), sessions(w), at);
                }
                assertEquals(List.of(), w.broken, at);
            }
        }
    }

    // ---- records laid out anew
    // --------------------------------------------------------------------

    /**
     * A gang's records are laid out anew, and its holder hears nothing of it; some end over that.
     */
    @Test
    void aJobThatIsLaidOutAnewUnheardStartsWholeAndOnce() {
        for (int times = 1; times <= 3; times++) {
            for (double ends : new double[] {0, 0.1, 0.5, 2}) {
                SimulatedCluster w = new SimulatedCluster();
                SimulatedNode old = w.node("k0");
                w.run(3);
                w.submit(old, job("j-1", Shape.GANG, 200, 2));
                old.crash();
                w.next = new ClusterSettings.StoreLimits(1000, 1000, 2, 13);
                int[] lost = {0};
                int most = times;
                w.store.unheard =
                        t -> {
                            boolean anew =
                                    t.conditions().stream()
                                                    .anyMatch(
                                                            c ->
                                                                    c.key()
                                                                                    .equals(
                                                                                            StoreKeys
                                                                                                            .OPEN
                                                                                                    + "j-1")
                                                                            && c.revision() > 0)
                                            && t.writes().stream()
                                                    .anyMatch(
                                                            x ->
                                                                    x.key()
                                                                                    .equals(
                                                                                            StoreKeys
                                                                                                            .OPEN
                                                                                                    + "j-1")
                                                                            && x.value() != null);
                            return anew && lost[0]++ < most;
                        };
                SimulatedNode n = w.node("k1");
                w.run(4);
                for (int i = 0; i < 150; i++) {
                    w.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
                }
                while (lost[0] == 0 && w.clock.now < 200) {
                    w.run(0.1);
                }
                if (ends > 0) {
                    w.run(ends - 0.1);
                    n.kill();
                }
                w.node("k2");
                w.run(80);
                String at = "laid out anew unheard " + times + " times, holder ends after " + ends;
                assertTrue(lost[0] > 0, at);
                assertEquals("done", w.status(w.nodes.get("k2"), "j-1"), at);
                assertEquals(200, MeetingsTest.starts(w), at);
                assertEquals(List.of(), w.broken, at);
            }
        }
    }
}
