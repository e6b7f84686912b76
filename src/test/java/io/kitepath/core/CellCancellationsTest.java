package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.MultiCellSimulation;
import io.kitepath.simulation.TransactionKeys;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Cancellation of jobs whose tasks run in another cell. */
class CellCancellationsTest extends CellsFixture {
    @Test
    void aCancellationOfLentTasksIsConfirmedOnlyOnceItIsStored() {
        startCells(1, 10);
        String id = submitArray(1, 40);
        simulation.runUntil(20, () -> tasksInWest(id) > 0);
        simulation.cluster("west").store.holdsBack =
                transaction -> TransactionKeys.writesUnder(transaction, "jobs/guest/");
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

    @Test
    void aCancellationIsConfirmedOnlyAfterTheOtherCellConfirmsIt() {
        startCells(1, 10);
        String id = submitArray(1, 40);
        simulation.runUntil(20, () -> tasksInWest(id) > 0);
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
            int cancelAfterWrite = i;
            int[] loanWrites = new int[1];
            boolean[] isDue = new boolean[1];
            simulation.onLoanWrites(
                    (cell, node, transaction) -> isDue[0] |= ++loanWrites[0] == cancelAfterWrite);
            for (int k = 0; k < 4000 && !isDue[0]; k++) {
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
    void aServiceRunsElsewhereUntilItIsCancelled() {
        startCells(1, 10);
        String homeArray = submitArray(1, 4);
        String id = simulation.id("east", 2);
        simulation.cluster("west").workers.values().forEach(worker -> worker.taskSeconds = 1e6);
        simulation.submitUntilAccepted("east", job(id, Shape.SERVICE, 6, 4));
        simulation.runUntil(200, () -> tasksInWest(id) == 6);
        simulation.runUntil(
                60,
                () -> simulation.cancel(simulation.anyAliveNode("west"), id).equals("cancelled"));
        simulation.run(31);
        assertEquals(0, simulation.tasksOnMachines(id));
        simulation.runUntil(
                60,
                () -> simulation.status(simulation.anyAliveNode("east"), homeArray).equals("done"));
    }
}
