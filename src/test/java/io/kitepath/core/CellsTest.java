package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.LoanOffer;
import io.kitepath.core.model.CellMessage.LoanSettled;
import io.kitepath.core.model.CellMessage.LoanState;
import io.kitepath.core.model.CellMessage.LoanStatus;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.MultiCellSimulation;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Cells that hand work to each other, and what breaks between them. */
class CellsTest {
    private final MultiCellSimulation simulation =
            new MultiCellSimulation(11, List.of("east", "west"), List.of());

    @AfterEach
    void rules() {
        assertEquals(List.of(), simulation.violations());
    }

    private void settled(int east, int west) {
        simulation.cell("east", 2, east);
        simulation.cell("west", 2, west);
        simulation.run(12);
    }

    private String array(int n, int tasks) {
        String id = simulation.id("east", n);
        simulation.submitUntilAccepted("east", job(id, Shape.ARRAY, tasks, 1));
        return id;
    }

    private long inWest(String id) {
        return simulation.cluster("west").onMachines(id);
    }

    private void allDone(String... ids) {
        for (String id : ids) {
            simulation.runUntil(
                    200,
                    () -> simulation.status(simulation.anyAliveNode("east"), id).equals("done"));
        }
        simulation.runUntil(60, () -> simulation.leftoverRecords().isEmpty());
    }

    @Test
    void whatHomeCannotTakeInTimeRunsElsewhere() {
        settled(1, 10);
        // Forty tasks of twenty seconds on four CPUs would take two hundred; goals are at a
        // hundred.
        String id = array(1, 40);
        simulation.runUntil(20, () -> inWest(id) > 0);
        allDone(id);
        assertTrue(simulation.clock.now < 100 + 12 + 120, "took until " + simulation.clock.now);
    }

    @Test
    void aGangThatFitsOnlyElsewhereStartsThereWhole() {
        settled(1, 6);
        String id = simulation.id("east", 1);
        simulation.submitUntilAccepted("east", job(id, Shape.GANG, 5, 4));
        simulation.runUntil(150, () -> inWest(id) == 5);
        allDone(id);
    }

    @Test
    void whenAllAreFullNothingMoves() {
        settled(2, 2);
        for (int i = 1; i <= 4; i++) {
            array(i, 40);
            simulation.submitUntilAccepted(
                    "west", job(simulation.id("west", i), Shape.ARRAY, 40, 1));
        }
        simulation.run(60);
        long lent = lent("east") + lent("west");
        assertTrue(lent <= 2, lent + " hand-overs between two full cells");
    }

    private long lent(String cell) {
        return (long)
                simulation
                        .leader(cell)
                        .controller
                        .metrics()
                        .get("cells.lent")
                        .value()
                        .getAsDouble();
    }

    @Test
    void anyCellsNodesAnswerForTheJobsHome() {
        settled(2, 2);
        String id = simulation.id("east", 1);
        assertEquals(
                Verdict.CREATED,
                simulation.submit(simulation.anyAliveNode("west"), job(id, Shape.ARRAY, 2, 1)));
        assertEquals(
                Verdict.KNOWN,
                simulation.submit(simulation.anyAliveNode("east"), job(id, Shape.ARRAY, 2, 1)));
        assertEquals(
                Verdict.KNOWN,
                simulation.submit(simulation.anyAliveNode("west"), job(id, Shape.ARRAY, 2, 1)));
        simulation.runUntil(
                60, () -> simulation.status(simulation.anyAliveNode("west"), id).equals("done"));
        assertEquals(
                "NOT_FOUND",
                simulation.status(simulation.anyAliveNode("west"), simulation.id("east", 9)));
        simulation.cutBetween("east", "west");
        assertEquals(
                "no answer",
                simulation.status(simulation.anyAliveNode("west"), simulation.id("east", 9)));
        assertEquals("done", simulation.status(simulation.anyAliveNode("east"), id));
    }

    @Test
    void anOfferThatComesAfterTheLoanIsOverStartsNothing() {
        settled(1, 10);
        boolean[] copy = {true};
        simulation.holdsBack = message -> message instanceof LoanOffer && copy[0];
        String id = array(1, 40);
        simulation.runUntil(20, () -> simulation.heldBackDeliveries.size() >= 2);
        copy[0] = false;
        allDone(id);
        simulation.run(10);
        long started = started();
        simulation.heldBackDeliveries.forEach(Runnable::run);
        simulation.run(60);
        assertEquals(started, started());
        assertEquals(List.of(), simulation.leftoverRecords());
        // Nor when another holder, who knows only the records, gets it.
        List.copyOf(simulation.cluster("west").nodes.values())
                .forEach(node -> simulation.restart(node, 5));
        simulation.run(20);
        simulation.heldBackDeliveries.forEach(Runnable::run);
        simulation.run(60);
        assertEquals(started, started());
    }

    @Test
    void anEndedLoanStaysVoidWhileAnOlderOneIsOut() {
        settled(1, 10);
        array(1, 4);
        String service = simulation.id("east", 2);
        simulation.submitUntilAccepted("east", job(service, Shape.SERVICE, 6, 4));
        simulation.runUntil(200, () -> inWest(service) == 6);
        boolean[] copy = {true};
        simulation.holdsBack =
                message ->
                        message instanceof LoanOffer offer
                                && !offer.spec().id().equals(service)
                                && copy[0];
        String id = array(3, 40);
        simulation.runUntil(20, () -> simulation.heldBackDeliveries.size() >= 2);
        copy[0] = false;
        simulation.runUntil(
                200, () -> simulation.status(simulation.anyAliveNode("east"), id).equals("done"));
        simulation.run(20);
        for (int i = 0; i < 2; i++) {
            simulation.heldBackDeliveries.forEach(Runnable::run);
            for (int k = 0; k < 20; k++) {
                simulation.run(0.5);
                assertEquals(0, simulation.tasksOnMachines(id));
            }
            List.copyOf(simulation.cluster("west").nodes.values())
                    .forEach(node -> simulation.restart(node, 5));
            simulation.run(15);
        }
        simulation.runUntil(
                60,
                () ->
                        simulation
                                .cancel(simulation.anyAliveNode("east"), service)
                                .equals("cancelled"));
    }

    @Test
    void aLoanIsOfferedOnlyOnceItIsStored() {
        settled(1, 10);
        // The write of the loan gets lost with the holder that made it; its successor knows nothing
        // of it.
        simulation.cluster("east").store.holdsBack =
                transaction ->
                        transaction.writes().stream()
                                .anyMatch(write -> write.key().startsWith("jobs/lent/"));
        String id = array(1, 40);
        simulation.run(6);
        assertTrue(simulation.cluster("east").store.heldBackTransactions.size() > 0);
        simulation.restart(simulation.leader("east"), 5);
        simulation.cluster("east").store.holdsBack = transaction -> false;
        simulation.run(8);
        simulation
                .cluster("east")
                .store
                .heldBackTransactions
                .forEach(transaction -> simulation.cluster("east").store.execute(transaction));
        allDone(id);
    }

    @Test
    void aCancellationOfLentTasksIsConfirmedOnlyOnceItIsStored() {
        settled(1, 10);
        String id = array(1, 40);
        simulation.runUntil(20, () -> inWest(id) > 0);
        simulation.cluster("west").store.holdsBack =
                transaction ->
                        transaction.writes().stream()
                                .anyMatch(write -> write.key().startsWith("jobs/guest/"));
        simulation.cancel(simulation.anyAliveNode("east"), id);
        simulation.run(5);
        assertEquals("LATER", simulation.cancel(simulation.anyAliveNode("east"), id));
        simulation.restart(simulation.leader("west"), 5);
        simulation.cluster("west").store.holdsBack = transaction -> false;
        simulation.runUntil(
                60,
                () -> simulation.cancel(simulation.anyAliveNode("east"), id).equals("cancelled"));
        simulation.run(31);
        assertEquals(0, simulation.tasksOnMachines(id));
        simulation.runUntil(60, () -> simulation.leftoverRecords().isEmpty());
    }

    private long started() {
        return simulation.clusters.values().stream()
                .flatMap(cluster -> cluster.workers.values().stream())
                .mapToLong(worker -> worker.started)
                .sum();
    }

    @Test
    void anOfferThatWasRefusedCannotBeTakenLater() {
        settled(1, 10);
        boolean[] copy = {true};
        simulation.holdsBack = message -> message instanceof LoanOffer && copy[0];
        String id = array(1, 40);
        simulation.runUntil(20, () -> !simulation.heldBackDeliveries.isEmpty());
        simulation.leader("west").controller.otherCells().setDraining(true);
        copy[0] = false;
        simulation.run(5);
        long taken =
                (long)
                        simulation
                                .leader("west")
                                .controller
                                .metrics()
                                .get("cells.taken")
                                .value()
                                .getAsDouble();
        simulation.restart(simulation.leader("west"), 1);
        simulation.runUntil(
                10,
                () ->
                        simulation.cluster("west").nodes.values().stream()
                                .anyMatch(
                                        node ->
                                                node.alive
                                                        && node.controller.leadership.isLeading()
                                                        && node.controller.stateWriter.isLoaded()));
        simulation.run(5);
        simulation.heldBackDeliveries.forEach(Runnable::run);
        simulation.heldBackDeliveries.forEach(Runnable::run);
        simulation.run(0.5);
        assertEquals(0, taken);
        for (CellMessage message : simulation.heldBackMessages) {
            assertTrue(
                    !simulation
                            .cluster("west")
                            .store
                            .entries
                            .containsKey(
                                    StoreKeys.borrowedTasksKey(
                                            "east", ((LoanOffer) message).loanNumber())));
        }
        allDone(id);
    }

    @Test
    void aLostLoanAcceptanceIsRequestedAgainThroughAnotherNode() {
        settled(1, 10);
        int[] n = new int[1];
        simulation.loses =
                message ->
                        message instanceof LoanStatus status
                                && status.state() == LoanState.TAKEN
                                && n[0]++ < 3;
        allDone(array(1, 40));
        assertTrue(n[0] >= 3, "lost " + n[0]);
    }

    @Test
    void aLostLoanCompletionIsResentAndSettledOnce() {
        settled(1, 10);
        int[] n = new int[1];
        simulation.loses =
                message ->
                        (message instanceof LoanSettled
                                        || message instanceof LoanStatus status
                                                && status.state() == LoanState.DONE)
                                && n[0]++ < 6;
        allDone(array(1, 40));
        assertTrue(n[0] >= 6, "lost " + n[0]);
    }

    @Test
    void cellsPartInTheMiddleAndNothingIsLostOrDoubled() {
        settled(1, 10);
        String id = array(1, 40);
        simulation.runUntil(20, () -> inWest(id) > 0);
        simulation.cutBetween("east", "west");
        simulation.run(300);
        // What was lent is out, however long nothing is heard of it.
        assertNotEquals("done", simulation.status(simulation.anyAliveNode("east"), id));
        simulation.cutConnections.clear();
        allDone(id);
    }

    @Test
    void aConnectionCutInOneDirectionLosesNoTasks() {
        settled(1, 10);
        simulation.cutConnections.add("west>east");
        String id = array(1, 40);
        simulation.run(40);
        simulation.cutConnections.clear();
        simulation.cutConnections.add("east>west");
        simulation.run(40);
        simulation.cutConnections.clear();
        allDone(id);
    }

    @Test
    void aCancellationIsConfirmedOnlyAfterTheOtherCellConfirmsIt() {
        settled(1, 10);
        String id = array(1, 40);
        simulation.runUntil(20, () -> inWest(id) > 0);
        simulation.cutBetween("east", "west");
        assertEquals("LATER", simulation.cancel(simulation.anyAliveNode("east"), id));
        simulation.run(60);
        assertEquals("LATER", simulation.cancel(simulation.anyAliveNode("east"), id));
        assertEquals(0, simulation.cluster("east").onMachines(id));
        simulation.cutConnections.clear();
        simulation.runUntil(
                30,
                () -> simulation.cancel(simulation.anyAliveNode("east"), id).equals("cancelled"));
        simulation.run(31);
        assertEquals(0, simulation.tasksOnMachines(id));
        simulation.runUntil(60, () -> simulation.leftoverRecords().isEmpty());
    }

    @Test
    void aCancellationInTheMomentOfTheOfferIsOneOrTheOther() {
        for (int i = 1; i <= 6; i++) {
            MultiCellSimulation simulation =
                    new MultiCellSimulation(20 + i, List.of("east", "west"), List.of());
            simulation.cell("east", 2, 1);
            simulation.cell("west", 2, 10);
            simulation.run(12);
            String id = simulation.id("east", 1);
            simulation.submitUntilAccepted("east", job(id, Shape.ARRAY, 40, 1));
            int at = i;
            int[] n = new int[1];
            boolean[] now = new boolean[1];
            simulation.onLoanWrites((cell, node, transaction) -> now[0] |= ++n[0] == at);
            for (int k = 0; k < 4000 && !now[0]; k++) {
                simulation.run(0.002);
            }
            simulation.runUntil(
                    60,
                    () ->
                            simulation
                                    .cancel(simulation.anyAliveNode("east"), id)
                                    .equals("cancelled"));
            simulation.run(31);
            assertEquals(0, simulation.tasksOnMachines(id));
            simulation.runUntil(60, () -> simulation.leftoverRecords().isEmpty());
            assertEquals(List.of(), simulation.violations());
        }
    }

    @Test
    void aCellThatIsSilentCostsTheOthersNothingButItsRoom() {
        settled(4, 10);
        simulation.cluster("west").nodes.values().forEach(SimulatedNode::crash);
        simulation.run(30);
        String id = array(1, 8);
        simulation.runUntil(
                40, () -> simulation.status(simulation.anyAliveNode("east"), id).equals("done"));
        assertEquals(
                1,
                simulation
                        .leader("east")
                        .controller
                        .metrics()
                        .get("cells.silent")
                        .value()
                        .getAsDouble());
        assertEquals(0, lent("east"));
    }

    @Test
    void aCellThatRestartsCompletelyResumesTheTasksLentToIt() {
        settled(1, 10);
        String id = array(1, 40);
        simulation.runUntil(20, () -> inWest(id) > 0);
        List.copyOf(simulation.cluster("west").nodes.values())
                .forEach(node -> simulation.restart(node, 60));
        simulation.run(50);
        assertNotEquals("done", simulation.status(simulation.anyAliveNode("east"), id));
        allDone(id);
    }

    @Test
    void theStoreOfTheOtherCellIsAwayForAMinute() {
        settled(1, 10);
        String id = array(1, 40);
        simulation.runUntil(20, () -> inWest(id) > 0);
        simulation.cluster("west").store.outage(60);
        simulation.run(60);
        allDone(id);
    }

    @Test
    void aFrozenLeaderThatResumesAfterAFailoverChangesNothing() {
        settled(1, 10);
        String id = array(1, 40);
        simulation.runUntil(20, () -> inWest(id) > 0);
        simulation.leader("east").frozenUntil = simulation.clock.now + 25;
        simulation.leader("west").frozenUntil = simulation.clock.now + 30;
        simulation.run(40);
        allDone(id);
    }

    @Test
    void aServiceRunsElsewhereUntilItIsCancelled() {
        settled(1, 10);
        String full = array(1, 4);
        String id = simulation.id("east", 2);
        simulation.cluster("west").workers.values().forEach(worker -> worker.taskSeconds = 1e6);
        simulation.submitUntilAccepted("east", job(id, Shape.SERVICE, 6, 4));
        simulation.runUntil(200, () -> inWest(id) == 6);
        simulation.runUntil(
                60,
                () -> simulation.cancel(simulation.anyAliveNode("west"), id).equals("cancelled"));
        simulation.run(31);
        assertEquals(0, simulation.tasksOnMachines(id));
        simulation.runUntil(
                60, () -> simulation.status(simulation.anyAliveNode("east"), full).equals("done"));
    }

    @Test
    void aDrainedCellReturnsTasksThatHaveNotStarted() {
        settled(1, 10);
        String id = array(1, 40);
        simulation.runUntil(20, () -> inWest(id) > 0);
        simulation.leader("west").controller.otherCells().setDraining(true);
        allDone(id);
        assertEquals(0, simulation.cluster("west").onMachines(id));
    }

    @Test
    void aDrainedHomeCellHandsOverWaitingTasks() {
        settled(1, 10);
        String id = array(1, 12);
        simulation.run(4);
        assertEquals(0, inWest(id), "it would be in time at home");
        simulation.leader("east").controller.otherCells().setDraining(true);
        simulation.runUntil(10, () -> inWest(id) > 0);
        allDone(id);
    }

    /**
     * The writes of one hand-over to its end, in both stores; each of them once the last one its
     * node made.
     */
    @Test
    void aCrashAfterAnyWriteOfAHandOverDoesNoHarm() {
        int writes = handOver(0, "none");
        assertTrue(writes >= 5, "only " + writes + " writes");
        int tried = 0;
        for (int i = 1; i <= writes; i++) {
            for (String who : List.of("writer", "home", "other", "both")) {
                handOver(i, who);
                tried++;
            }
        }
        System.out.println("hand-over: " + writes + " writes, " + tried + " crashes tried");
    }

    private static int handOver(int at, String who) {
        MultiCellSimulation simulation =
                new MultiCellSimulation(5, List.of("east", "west"), List.of());
        simulation.cell("east", 2, 1);
        simulation.cell("west", 2, 10);
        simulation.run(12);
        int[] n = new int[1];
        simulation.onLoanWrites(
                (cell, by, transaction) -> {
                    if (++n[0] == at) {
                        for (String of : List.of("east", "west")) {
                            boolean ends =
                                    who.equals("both")
                                            || who.equals("writer") && of.equals(cell)
                                            || who.equals("home") && of.equals("east")
                                            || who.equals("other") && of.equals("west");
                            if (ends) {
                                SimulatedNode l = of.equals(cell) ? by : simulation.leader(of);
                                simulation.restart(l, 8);
                            }
                        }
                    }
                });
        String id = simulation.id("east", 1);
        simulation.submitUntilAccepted("east", job(id, Shape.ARRAY, 40, 1));
        simulation.runUntil(
                300, () -> simulation.status(simulation.anyAliveNode("east"), id).equals("done"));
        simulation.runUntil(90, () -> simulation.leftoverRecords().isEmpty());
        assertEquals(List.of(), simulation.violations(), "after write " + at + " of " + who);
        return n[0];
    }

    /** The same with every message between the cells lost, doubled and late by chance. */
    @Test
    void aBadNetworkBetweenCellsLosesAndDoublesNothing() {
        for (int seed = 1; seed <= 8; seed++) {
            MultiCellSimulation simulation =
                    new MultiCellSimulation(seed, List.of("east", "west"), List.of("spare"));
            simulation.lossProbability = 0.2;
            simulation.duplicationProbability = 0.2;
            simulation.delayProbability = 0.1;
            simulation.cell("east", 2, 2);
            simulation.cell("west", 2, 3);
            simulation.cell("spare", 2, 8);
            simulation.run(15);
            List<String> ids = new java.util.ArrayList<>();
            for (int i = 1; i <= 6; i++) {
                String home = i % 3 == 0 ? "west" : "east";
                String id = simulation.id(home, i);
                ids.add(id);
                simulation.submitUntilAccepted(
                        home, i % 3 == 1 ? job(id, Shape.GANG, 3, 4) : job(id, Shape.ARRAY, 30, 1));
                simulation.run(3);
            }
            simulation.run(10);
            String gone = ids.get(1);
            simulation.runUntil(
                    120,
                    () ->
                            List.of("cancelled", "done")
                                    .contains(
                                            simulation.cancel(
                                                    simulation.anyAliveNode("east"), gone)));
            for (String id : ids) {
                String home = simulation.cluster("east").cellDirectory.homeCellOf(id);
                simulation.runUntil(
                        400,
                        () ->
                                List.of("done", "cancelled")
                                        .contains(
                                                simulation.status(
                                                        simulation.anyAliveNode(home), id)));
            }
            simulation.run(100);
            assertEquals(List.of(), simulation.violations(), "seed " + seed);
            simulation.runUntil(120, () -> simulation.leftoverRecords().isEmpty());
        }
    }
}
