package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.LoanOffer;
import io.kitepath.core.model.CellMessage.LoanSettled;
import io.kitepath.core.model.CellMessage.LoanState;
import io.kitepath.core.model.CellMessage.LoanStatus;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.MultiCellSimulation;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.TransactionKeys;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What breaks a loan of tasks between two cells: lost, late and repeated messages, writes and
 * nodes.
 */
class CellLoanFaultsTest extends CellsFixture {
    @Test
    void anOfferThatComesAfterTheLoanIsOverStartsNothing() {
        startCells(1, 10);
        boolean[] holdsOffersBack = {true};
        simulation.holdsBack = message -> message instanceof LoanOffer && holdsOffersBack[0];
        String id = submitArray(1, 40);
        simulation.runUntil(20, () -> simulation.heldBackDeliveries.size() >= 2);
        holdsOffersBack[0] = false;
        awaitDoneWithoutLeftovers(id);
        simulation.run(10);
        long started = startedTasks();
        simulation.heldBackDeliveries.forEach(Runnable::run);
        simulation.run(60);
        assertEquals(started, startedTasks());
        assertEquals(List.of(), simulation.leftoverRecords());
        // Nor when a new leader, which knows only the stored records, gets it.
        List.copyOf(simulation.cluster("west").nodes.values())
                .forEach(node -> simulation.restart(node, 5));
        simulation.run(20);
        simulation.heldBackDeliveries.forEach(Runnable::run);
        simulation.run(60);
        assertEquals(started, startedTasks());
    }

    @Test
    void anEndedLoanStaysVoidWhileAnOlderOneIsOut() {
        startCells(1, 10);
        submitArray(1, 4);
        String service = simulation.id("east", 2);
        simulation.submitUntilAccepted("east", job(service, Shape.SERVICE, 6, 4));
        simulation.runUntil(200, () -> tasksInWest(service) == 6);
        boolean[] holdsOffersBack = {true};
        simulation.holdsBack =
                message ->
                        message instanceof LoanOffer offer
                                && !offer.spec().id().equals(service)
                                && holdsOffersBack[0];
        String id = submitArray(3, 40);
        simulation.runUntil(20, () -> simulation.heldBackDeliveries.size() >= 2);
        holdsOffersBack[0] = false;
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
        startCells(1, 10);
        // The write of the loan gets lost with the leader that made it; its successor knows nothing
        // of it.
        simulation.cluster("east").store.holdsBack =
                transaction -> TransactionKeys.writesUnder(transaction, "jobs/lent/");
        String id = submitArray(1, 40);
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
        awaitDoneWithoutLeftovers(id);
    }

    private long startedTasks() {
        return simulation.clusters.values().stream()
                .flatMap(cluster -> cluster.workers.values().stream())
                .mapToLong(worker -> worker.started)
                .sum();
    }

    @Test
    void anOfferThatWasRefusedCannotBeTakenLater() {
        startCells(1, 10);
        boolean[] holdsOffersBack = {true};
        simulation.holdsBack = message -> message instanceof LoanOffer && holdsOffersBack[0];
        String id = submitArray(1, 40);
        simulation.runUntil(20, () -> !simulation.heldBackDeliveries.isEmpty());
        simulation.leader("west").controller.otherCells().setDraining(true);
        holdsOffersBack[0] = false;
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
        awaitDoneWithoutLeftovers(id);
    }

    @Test
    void aLostLoanAcceptanceIsRequestedAgainThroughAnotherNode() {
        startCells(1, 10);
        int[] lost = new int[1];
        simulation.loses =
                message ->
                        message instanceof LoanStatus status
                                && status.state() == LoanState.TAKEN
                                && lost[0]++ < 3;
        awaitDoneWithoutLeftovers(submitArray(1, 40));
        assertTrue(lost[0] >= 3, "lost " + lost[0]);
    }

    @Test
    void aLostLoanCompletionIsResentAndSettledOnce() {
        startCells(1, 10);
        int[] lost = new int[1];
        simulation.loses =
                message ->
                        (message instanceof LoanSettled
                                        || message instanceof LoanStatus status
                                                && status.state() == LoanState.DONE)
                                && lost[0]++ < 6;
        awaitDoneWithoutLeftovers(submitArray(1, 40));
        assertTrue(lost[0] >= 6, "lost " + lost[0]);
    }

    /**
     * Counts the writes of one hand-over in both stores, then repeats it with a crash after each of
     * them.
     */
    @Test
    void aCrashAfterAnyWriteOfAHandOverDoesNoHarm() {
        int writes = handOverWithCrash(0, "none");
        assertTrue(writes >= 5, "only " + writes + " writes");
        int tried = 0;
        for (int i = 1; i <= writes; i++) {
            for (String crashing : List.of("writer", "home", "other", "both")) {
                handOverWithCrash(i, crashing);
                tried++;
            }
        }
        System.out.println("hand-over: " + writes + " writes, " + tried + " crashes tried");
    }

    private static int handOverWithCrash(int crashAfterWrite, String crashing) {
        MultiCellSimulation simulation =
                new MultiCellSimulation(5, List.of("east", "west"), List.of());
        simulation.cell("east", 2, 1);
        simulation.cell("west", 2, 10);
        simulation.run(12);
        int[] loanWrites = new int[1];
        simulation.onLoanWrites(
                (writingCell, writer, transaction) -> {
                    if (++loanWrites[0] == crashAfterWrite) {
                        for (String cell : List.of("east", "west")) {
                            boolean crashes =
                                    crashing.equals("both")
                                            || crashing.equals("writer") && cell.equals(writingCell)
                                            || crashing.equals("home") && cell.equals("east")
                                            || crashing.equals("other") && cell.equals("west");
                            if (crashes) {
                                SimulatedNode leader =
                                        cell.equals(writingCell) ? writer : simulation.leader(cell);
                                simulation.restart(leader, 8);
                            }
                        }
                    }
                });
        String id = simulation.id("east", 1);
        simulation.submitUntilAccepted("east", job(id, Shape.ARRAY, 40, 1));
        simulation.runUntil(
                300, () -> simulation.status(simulation.anyAliveNode("east"), id).equals("done"));
        simulation.runUntil(90, () -> simulation.leftoverRecords().isEmpty());
        assertEquals(
                List.of(),
                simulation.violations(),
                "after write " + crashAfterWrite + " of " + crashing);
        return loanWrites[0];
    }
}
