package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.CellMessage.QuotaGrant;
import io.kitepath.core.model.CellMessage.QuotaGrantAccepted;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.MultiCellSimulation;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A team's limit over several cells that all decide at once. */
class SharesTest {
    private static final List<String> CELLS = List.of("east", "north", "west");
    private final MultiCellSimulation c = settled(11, 12);

    private static MultiCellSimulation settled(long seed, double limit) {
        MultiCellSimulation x =
                new MultiCellSimulation(seed, CELLS, List.of(), false, Map.of("red", limit));
        x.watchS = 0.05;
        CELLS.forEach(cell -> x.cell(cell, 2, 6));
        x.run(12);
        return x;
    }

    @AfterEach
    void rules() {
        assertEquals(List.of(), c.broken());
    }

    private static String array(MultiCellSimulation x, String cell, int n, int tasks) {
        String id = x.id(cell, n);
        x.submitSurely(cell, job(id, Shape.ARRAY, tasks, 1));
        return id;
    }

    private static void allDone(MultiCellSimulation x, List<String> ids, double withinS) {
        for (String id : ids) {
            x.until(
                    withinS,
                    () -> x.status(x.any(x.world("east").directory.home(id)), id).equals("done"));
        }
        x.until(60, () -> x.sharesAstray().isEmpty());
    }

    @Test
    void allDecidersAtOnceNeverExceedTheLimitAndUseIt() {
        List<String> ids = CELLS.stream().map(cell -> array(c, cell, 1, 24)).toList();
        c.run(10);
        double sum = 0;
        for (int i = 0; i < 100; i++) {
            c.run(0.5);
            sum += ids.stream().mapToLong(c::onMachines).sum();
        }
        assertTrue(sum / 100 > 0.85 * 12, "used on average " + sum / 100);
        allDone(c, ids, 200);
        assertEquals(12, c.mostUsed.get("red"));
    }

    @Test
    void unusedRoomGoesToWhereItIsWanted() {
        String id = array(c, "east", 1, 24);
        double took = c.until(8, () -> c.onMachines(id) == 12);
        allDone(c, List.of(id), 120);
        // And from there to where it is wanted next.
        String next = array(c, "west", 2, 24);
        c.until(8, () -> c.onMachines(next) == 12);
        allDone(c, List.of(next), 120);
        assertTrue(took > 0);
    }

    @Test
    void aGrantThatComesTwiceOrLateMovesNothingTwice() {
        boolean[] copy = {true};
        c.keeps = m -> m instanceof QuotaGrant && copy[0];
        String id = array(c, "east", 1, 24);
        c.until(20, () -> c.kept.size() >= 3);
        copy[0] = false;
        c.until(20, () -> c.onMachines(id) == 12);
        for (int i = 0; i < 2; i++) {
            c.kept.forEach(Runnable::run);
            c.kept.forEach(Runnable::run);
            c.run(3);
            List.copyOf(c.world("east").nodes.values()).forEach(n -> c.restart(n, 3));
            c.run(15);
        }
        allDone(c, List.of(id), 200);
    }

    @Test
    void aLostYesIsAskedForAgain() {
        int[] n = new int[1];
        c.loses = m -> m instanceof QuotaGrantAccepted && n[0]++ < 4;
        String id = array(c, "east", 1, 24);
        c.until(40, () -> c.onMachines(id) == 12);
        allDone(c, List.of(id), 120);
        assertTrue(n[0] >= 4);
    }

    private void loseShareWritesOf(String cell) {
        c.world(cell).store.withheld =
                t -> t.writes().stream().anyMatch(w -> w.key().startsWith("kitepath/share/"));
    }

    private void endHolderOf(String cell) {
        c.restart(c.leader(cell), 4);
        c.world(cell).store.withheld = t -> false;
    }

    @Test
    void nothingIsSaidToHaveComeThatIsNotWritten() {
        loseShareWritesOf("east");
        String id = array(c, "east", 1, 24);
        c.until(20, () -> !c.world("east").store.heldBack.isEmpty());
        c.run(1);
        endHolderOf("east");
        c.until(40, () -> c.onMachines(id) == 12);
        allDone(c, List.of(id), 200);
    }

    @Test
    void nothingIsGivenThatIsNotWrittenAsGone() {
        loseShareWritesOf("west");
        loseShareWritesOf("north");
        List<String> ids = new ArrayList<>(List.of(array(c, "east", 1, 24)));
        c.until(
                20,
                () ->
                        !c.world("west").store.heldBack.isEmpty()
                                && !c.world("north").store.heldBack.isEmpty());
        c.run(1);
        endHolderOf("west");
        endHolderOf("north");
        ids.add(array(c, "west", 2, 24));
        ids.add(array(c, "north", 3, 24));
        allDone(c, ids, 300);
    }

    @Test
    void whoComesLaterGetsItsTurnWhileTheFirstStillHasWork() {
        String first = array(c, "east", 1, 72);
        c.until(8, () -> c.onMachines(first) == 12);
        String later = array(c, "west", 2, 24);
        // One of its tasks has to end, be reported, and its share to move.
        c.until(30, () -> c.onMachines(later) >= 3);
        assertTrue(c.tasksDone(first) < 72);
        allDone(c, List.of(first, later), 300);
    }

    @Test
    void threeGangsThatEachNeedMostOfTheLimitAllGetTheirTurn() {
        List<String> ids = new ArrayList<>();
        for (String cell : CELLS) {
            String id = c.id(cell, 1);
            ids.add(id);
            c.submitSurely(cell, job(id, Shape.GANG, 7, 1));
        }
        allDone(c, ids, 150);
    }

    @Test
    void aCellThatIsCutOffKeepsItsShareAndTheOthersGoOn() {
        String id = array(c, "east", 1, 24);
        c.until(8, () -> c.onMachines(id) == 12);
        c.cutBetween("east", "north");
        c.cutBetween("east", "west");
        // Nearly all of the limit is in the cell that nobody hears: the others have what is left,
        // and no more.
        String other = array(c, "west", 2, 12);
        c.run(40);
        assertTrue(c.onMachines(other) <= 12);
        c.run(260);
        c.cut.clear();
        allDone(c, List.of(id, other), 200);
    }

    @Test
    void aFrozenHolderGoesOnAfterItsSuccessorBegan() {
        String id = array(c, "east", 1, 48);
        c.until(8, () -> c.onMachines(id) == 12);
        for (String cell : CELLS) {
            c.leader(cell).frozenUntil = c.clock.now + 20;
        }
        String other = array(c, "west", 2, 24);
        allDone(c, List.of(id, other), 400);
    }

    /**
     * The writes of moving shares, each of them once the last that its node made, or the giver and
     * the taker.
     */
    @Test
    void everyWriteOfAShareMayBeTheLastOfItsNode() {
        int writes = moved(0, "none");
        assertTrue(writes >= 6, "only " + writes);
        int tried = 0;
        for (int i = 1; i <= Math.min(writes, 12); i++) {
            for (String who : List.of("writer", "all")) {
                moved(i, who);
                tried++;
            }
        }
        System.out.println("shares: " + writes + " writes, " + tried + " crashes tried");
    }

    private static int moved(int at, String who) {
        MultiCellSimulation x = settled(3, 12);
        int[] n = new int[1];
        x.onLoanWrites(
                (cell, by, t) -> {
                    if (++n[0] == at) {
                        for (String of : CELLS) {
                            if (who.equals("all") || of.equals(cell)) {
                                SimulatedNode l = of.equals(cell) ? by : x.leader(of);
                                x.restart(l, 8);
                            }
                        }
                    }
                });
        String id = array(x, "east", 1, 24);
        x.run(5);
        String next = array(x, "west", 2, 24);
        allDone(x, List.of(id, next), 300);
        assertEquals(List.of(), x.broken(), "after write " + at + " of " + who);
        return n[0];
    }

    @Test
    void aBadNetworkLosesAndMakesNoShare() {
        for (int seed = 1; seed <= 6; seed++) {
            MultiCellSimulation x = settled(seed, 9);
            x.lost = 0.2;
            x.doubled = 0.2;
            x.late = 0.1;
            List<String> ids = new ArrayList<>();
            for (int i = 1; i <= 6; i++) {
                ids.add(array(x, CELLS.get(i % 3), i, 10));
                x.run(7);
                if (i % 2 == 0) {
                    x.restart(x.leader(CELLS.get(seed % 3)), 5);
                    x.run(10);
                }
            }
            allDone(x, ids, 400);
            x.run(80);
            assertEquals(List.of(), x.broken(), "seed " + seed);
        }
    }
}
