package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.MultiCellSimulation;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Cells whose connections, nodes or stores fail while tasks are lent. */
class CellOutagesTest extends CellsFixture {
    @Test
    void cellsPartInTheMiddleAndNothingIsLostOrDoubled() {
        startCells(1, 10);
        String id = submitArray(1, 40);
        simulation.runUntil(20, () -> tasksInWest(id) > 0);
        simulation.cutBetween("east", "west");
        simulation.run(300);
        // What was lent is out, however long nothing is heard of it.
        assertNotEquals("done", simulation.status(simulation.anyAliveNode("east"), id));
        simulation.cutConnections.clear();
        awaitDoneWithoutLeftovers(id);
    }

    @Test
    void aConnectionCutInOneDirectionLosesNoTasks() {
        startCells(1, 10);
        simulation.cutConnections.add("west>east");
        String id = submitArray(1, 40);
        simulation.run(40);
        simulation.cutConnections.clear();
        simulation.cutConnections.add("east>west");
        simulation.run(40);
        simulation.cutConnections.clear();
        awaitDoneWithoutLeftovers(id);
    }

    @Test
    void aCellThatIsSilentCostsTheOthersNothingButItsRoom() {
        startCells(4, 10);
        simulation.cluster("west").nodes.values().forEach(SimulatedNode::crash);
        simulation.run(30);
        String id = submitArray(1, 8);
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
        assertEquals(0, handOversFrom("east"));
    }

    @Test
    void aCellThatRestartsCompletelyResumesTheTasksLentToIt() {
        startCells(1, 10);
        String id = submitArray(1, 40);
        simulation.runUntil(20, () -> tasksInWest(id) > 0);
        List.copyOf(simulation.cluster("west").nodes.values())
                .forEach(node -> simulation.restart(node, 60));
        simulation.run(50);
        assertNotEquals("done", simulation.status(simulation.anyAliveNode("east"), id));
        awaitDoneWithoutLeftovers(id);
    }

    @Test
    void theStoreOfTheOtherCellIsAwayForAMinute() {
        startCells(1, 10);
        String id = submitArray(1, 40);
        simulation.runUntil(20, () -> tasksInWest(id) > 0);
        simulation.cluster("west").store.outage(60);
        simulation.run(60);
        awaitDoneWithoutLeftovers(id);
    }

    @Test
    void aFrozenLeaderThatResumesAfterAFailoverChangesNothing() {
        startCells(1, 10);
        String id = submitArray(1, 40);
        simulation.runUntil(20, () -> tasksInWest(id) > 0);
        simulation.leader("east").frozenUntil = simulation.clock.now + 25;
        simulation.leader("west").frozenUntil = simulation.clock.now + 30;
        simulation.run(40);
        awaitDoneWithoutLeftovers(id);
    }

    /** Jobs that move between three cells while messages are lost, repeated and late at random. */
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
            List<String> ids = new ArrayList<>();
            for (int i = 1; i <= 6; i++) {
                String home = i % 3 == 0 ? "west" : "east";
                String id = simulation.id(home, i);
                ids.add(id);
                simulation.submitUntilAccepted(
                        home, i % 3 == 1 ? job(id, Shape.GANG, 3, 4) : job(id, Shape.ARRAY, 30, 1));
                simulation.run(3);
            }
            simulation.run(10);
            String cancelledId = ids.get(1);
            simulation.runUntil(
                    120,
                    () ->
                            List.of("cancelled", "done")
                                    .contains(
                                            simulation.cancel(
                                                    simulation.anyAliveNode("east"), cancelledId)));
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
