package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.MultiCellSimulation;
import java.util.List;
import org.junit.jupiter.api.AfterEach;

/** Two cells, east and west, that lend tasks to each other; no invariant is violated at the end. */
abstract class CellsFixture {
    final MultiCellSimulation simulation =
            new MultiCellSimulation(11, List.of("east", "west"), List.of());

    @AfterEach
    void noInvariantIsViolated() {
        assertEquals(List.of(), simulation.violations());
    }

    void startCells(int eastMachines, int westMachines) {
        simulation.cell("east", 2, eastMachines);
        simulation.cell("west", 2, westMachines);
        simulation.run(12);
    }

    String submitArray(int number, int tasks) {
        String id = simulation.id("east", number);
        simulation.submitUntilAccepted("east", job(id, Shape.ARRAY, tasks, 1));
        return id;
    }

    long tasksInWest(String id) {
        return simulation.cluster("west").onMachines(id);
    }

    long handOversFrom(String cell) {
        return (long)
                simulation
                        .leader(cell)
                        .controller
                        .metrics()
                        .get("cells.lent")
                        .value()
                        .getAsDouble();
    }

    void awaitDoneWithoutLeftovers(String... ids) {
        for (String id : ids) {
            simulation.runUntil(
                    200,
                    () -> simulation.status(simulation.anyAliveNode("east"), id).equals("done"));
        }
        simulation.runUntil(60, () -> simulation.leftoverRecords().isEmpty());
    }
}
