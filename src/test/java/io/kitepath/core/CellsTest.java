package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import org.junit.jupiter.api.Test;

/** Cells that answer for each other and hand work to each other while all of them are well. */
class CellsTest extends CellsFixture {
    @Test
    void whatHomeCannotTakeInTimeRunsElsewhere() {
        startCells(1, 10);
        // Forty tasks of twenty seconds on four CPUs would take two hundred; goals are at a
        // hundred.
        String id = submitArray(1, 40);
        simulation.runUntil(20, () -> tasksInWest(id) > 0);
        awaitDoneWithoutLeftovers(id);
        assertTrue(simulation.clock.now < 100 + 12 + 120, "took until " + simulation.clock.now);
    }

    @Test
    void aGangThatFitsOnlyElsewhereStartsThereWhole() {
        startCells(1, 6);
        String id = simulation.id("east", 1);
        simulation.submitUntilAccepted("east", job(id, Shape.GANG, 5, 4));
        simulation.runUntil(150, () -> tasksInWest(id) == 5);
        awaitDoneWithoutLeftovers(id);
    }

    @Test
    void whenAllAreFullNothingMoves() {
        startCells(2, 2);
        for (int i = 1; i <= 4; i++) {
            submitArray(i, 40);
            simulation.submitUntilAccepted(
                    "west", job(simulation.id("west", i), Shape.ARRAY, 40, 1));
        }
        simulation.run(60);
        long lent = handOversFrom("east") + handOversFrom("west");
        assertTrue(lent <= 2, lent + " hand-overs between two full cells");
    }

    @Test
    void anyCellsNodesAnswerForTheJobsHome() {
        startCells(2, 2);
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
    void aDrainedCellReturnsTasksThatHaveNotStarted() {
        startCells(1, 10);
        String id = submitArray(1, 40);
        simulation.runUntil(20, () -> tasksInWest(id) > 0);
        simulation.leader("west").controller.otherCells().setDraining(true);
        awaitDoneWithoutLeftovers(id);
        assertEquals(0, simulation.cluster("west").onMachines(id));
    }

    @Test
    void aDrainedHomeCellHandsOverWaitingTasks() {
        startCells(1, 10);
        String id = submitArray(1, 12);
        simulation.run(4);
        assertEquals(0, tasksInWest(id), "it would be in time at home");
        simulation.leader("east").controller.otherCells().setDraining(true);
        simulation.runUntil(10, () -> tasksInWest(id) > 0);
        awaitDoneWithoutLeftovers(id);
    }
}
