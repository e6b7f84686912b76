package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.CellMessage.QuotaGrant;
import io.kitepath.core.model.CellMessage.QuotaGrantAccepted;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.MultiCellSimulation;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.TransactionKeys;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A team's limit over several cells that all decide at once. */
class QuotaSharesTest {
    private static final List<String> CELLS = List.of("east", "north", "west");
    private final MultiCellSimulation simulation = settled(11, 12);

    private static MultiCellSimulation settled(long seed, double limit) {
        MultiCellSimulation simulation =
                new MultiCellSimulation(seed, CELLS, List.of(), false, Map.of("red", limit));
        simulation.checkIntervalSeconds = 0.05;
        CELLS.forEach(cell -> simulation.cell(cell, 2, 6));
        simulation.run(12);
        return simulation;
    }

    @AfterEach
    void rules() {
        assertEquals(List.of(), simulation.violations());
    }

    private static String array(MultiCellSimulation simulation, String cell, int n, int tasks) {
        String id = simulation.id(cell, n);
        simulation.submitUntilAccepted(cell, job(id, Shape.ARRAY, tasks, 1));
        return id;
    }

    private static void allDone(MultiCellSimulation simulation, List<String> ids, double withinS) {
        for (String id : ids) {
            simulation.runUntil(
                    withinS,
                    () ->
                            simulation
                                    .status(
                                            simulation.anyAliveNode(
                                                    simulation
                                                            .cluster("east")
                                                            .cellDirectory
                                                            .homeCellOf(id)),
                                            id)
                                    .equals("done"));
        }
        simulation.runUntil(60, () -> simulation.unbalancedShares().isEmpty());
    }

    @Test
    void allDecidersAtOnceNeverExceedTheLimitAndUseIt() {
        List<String> ids = CELLS.stream().map(cell -> array(simulation, cell, 1, 24)).toList();
        simulation.run(10);
        double sum = 0;
        for (int i = 0; i < 100; i++) {
            simulation.run(0.5);
            sum += ids.stream().mapToLong(simulation::tasksOnMachines).sum();
        }
        assertTrue(sum / 100 > 0.85 * 12, "used on average " + sum / 100);
        allDone(simulation, ids, 200);
        assertEquals(12, simulation.mostUsed.get("red"));
    }

    @Test
    void unusedRoomGoesToWhereItIsWanted() {
        String id = array(simulation, "east", 1, 24);
        double took = simulation.runUntil(8, () -> simulation.tasksOnMachines(id) == 12);
        allDone(simulation, List.of(id), 120);
        // And from there to where it is wanted next.
        String next = array(simulation, "west", 2, 24);
        simulation.runUntil(8, () -> simulation.tasksOnMachines(next) == 12);
        allDone(simulation, List.of(next), 120);
        assertTrue(took > 0);
    }

    @Test
    void aGrantThatComesTwiceOrLateMovesNothingTwice() {
        boolean[] copy = {true};
        simulation.holdsBack = message -> message instanceof QuotaGrant && copy[0];
        String id = array(simulation, "east", 1, 24);
        simulation.runUntil(20, () -> simulation.heldBackDeliveries.size() >= 3);
        copy[0] = false;
        simulation.runUntil(20, () -> simulation.tasksOnMachines(id) == 12);
        for (int i = 0; i < 2; i++) {
            simulation.heldBackDeliveries.forEach(Runnable::run);
            simulation.heldBackDeliveries.forEach(Runnable::run);
            simulation.run(3);
            List.copyOf(simulation.cluster("east").nodes.values())
                    .forEach(node -> simulation.restart(node, 3));
            simulation.run(15);
        }
        allDone(simulation, List.of(id), 200);
    }

    @Test
    void aLostQuotaGrantAcceptanceIsRequestedAgain() {
        int[] n = new int[1];
        simulation.loses = message -> message instanceof QuotaGrantAccepted && n[0]++ < 4;
        String id = array(simulation, "east", 1, 24);
        simulation.runUntil(40, () -> simulation.tasksOnMachines(id) == 12);
        allDone(simulation, List.of(id), 120);
        assertTrue(n[0] >= 4);
    }

    private void loseShareWritesOf(String cell) {
        simulation.cluster(cell).store.holdsBack =
                transaction -> TransactionKeys.writesUnder(transaction, "kitepath/share/");
    }

    private void endHolderOf(String cell) {
        simulation.restart(simulation.leader(cell), 4);
        simulation.cluster(cell).store.holdsBack = transaction -> false;
    }

    @Test
    void aQuotaGrantIsAcceptedOnlyOnceItIsStored() {
        loseShareWritesOf("east");
        String id = array(simulation, "east", 1, 24);
        simulation.runUntil(
                20, () -> !simulation.cluster("east").store.heldBackTransactions.isEmpty());
        simulation.run(1);
        endHolderOf("east");
        simulation.runUntil(40, () -> simulation.tasksOnMachines(id) == 12);
        allDone(simulation, List.of(id), 200);
    }

    @Test
    void quotaIsGrantedOnlyOnceItsDeductionIsStored() {
        loseShareWritesOf("west");
        loseShareWritesOf("north");
        List<String> ids = new ArrayList<>(List.of(array(simulation, "east", 1, 24)));
        simulation.runUntil(
                20,
                () ->
                        !simulation.cluster("west").store.heldBackTransactions.isEmpty()
                                && !simulation
                                        .cluster("north")
                                        .store
                                        .heldBackTransactions
                                        .isEmpty());
        simulation.run(1);
        endHolderOf("west");
        endHolderOf("north");
        ids.add(array(simulation, "west", 2, 24));
        ids.add(array(simulation, "north", 3, 24));
        allDone(simulation, ids, 300);
    }

    @Test
    void whoComesLaterGetsItsTurnWhileTheFirstStillHasWork() {
        String first = array(simulation, "east", 1, 72);
        simulation.runUntil(8, () -> simulation.tasksOnMachines(first) == 12);
        String later = array(simulation, "west", 2, 24);
        // One of its tasks has to end, be reported, and its share to move.
        simulation.runUntil(30, () -> simulation.tasksOnMachines(later) >= 3);
        assertTrue(simulation.tasksDone(first) < 72);
        allDone(simulation, List.of(first, later), 300);
    }

    @Test
    void threeGangsThatEachNeedMostOfTheLimitAllGetTheirTurn() {
        List<String> ids = new ArrayList<>();
        for (String cell : CELLS) {
            String id = simulation.id(cell, 1);
            ids.add(id);
            simulation.submitUntilAccepted(cell, job(id, Shape.GANG, 7, 1));
        }
        allDone(simulation, ids, 150);
    }

    @Test
    void aCellThatIsCutOffKeepsItsShareAndTheOthersGoOn() {
        String id = array(simulation, "east", 1, 24);
        simulation.runUntil(8, () -> simulation.tasksOnMachines(id) == 12);
        simulation.cutBetween("east", "north");
        simulation.cutBetween("east", "west");
        // Nearly all of the limit is in the cell that nobody hears: the others have what is left,
        // and no more.
        String other = array(simulation, "west", 2, 12);
        simulation.run(40);
        assertTrue(simulation.tasksOnMachines(other) <= 12);
        simulation.run(260);
        simulation.cutConnections.clear();
        allDone(simulation, List.of(id, other), 200);
    }

    @Test
    void frozenLeadersThatResumeAfterAFailoverLetAllJobsFinish() {
        String id = array(simulation, "east", 1, 48);
        simulation.runUntil(8, () -> simulation.tasksOnMachines(id) == 12);
        for (String cell : CELLS) {
            simulation.leader(cell).frozenUntil = simulation.clock.now + 20;
        }
        String other = array(simulation, "west", 2, 24);
        allDone(simulation, List.of(id, other), 400);
    }

    /**
     * The writes of moving shares, each of them once the last that its node made, or the giver and
     * the taker.
     */
    @Test
    void aCrashAfterAnyWriteOfAQuotaTransferDoesNoHarm() {
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
        MultiCellSimulation simulation = settled(3, 12);
        int[] n = new int[1];
        simulation.onLoanWrites(
                (cell, by, transaction) -> {
                    if (++n[0] == at) {
                        for (String of : CELLS) {
                            if (who.equals("all") || of.equals(cell)) {
                                SimulatedNode l = of.equals(cell) ? by : simulation.leader(of);
                                simulation.restart(l, 8);
                            }
                        }
                    }
                });
        String id = array(simulation, "east", 1, 24);
        simulation.run(5);
        String next = array(simulation, "west", 2, 24);
        allDone(simulation, List.of(id, next), 300);
        assertEquals(List.of(), simulation.violations(), "after write " + at + " of " + who);
        return n[0];
    }

    @Test
    void messageLossAndDuplicationNeitherLoseNorCreateQuota() {
        for (int seed = 1; seed <= 6; seed++) {
            MultiCellSimulation simulation = settled(seed, 9);
            simulation.lossProbability = 0.2;
            simulation.duplicationProbability = 0.2;
            simulation.delayProbability = 0.1;
            List<String> ids = new ArrayList<>();
            for (int i = 1; i <= 6; i++) {
                ids.add(array(simulation, CELLS.get(i % 3), i, 10));
                simulation.run(7);
                if (i % 2 == 0) {
                    simulation.restart(simulation.leader(CELLS.get(seed % 3)), 5);
                    simulation.run(10);
                }
            }
            allDone(simulation, ids, 400);
            simulation.run(80);
            assertEquals(List.of(), simulation.violations(), "seed " + seed);
        }
    }
}
