package io.kitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.state.StoreKeys;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What watches the rules finds each of them broken, when it is broken on purpose. */
class MultiCellInvariantsTest {
    private final MultiCellSimulation simulation =
            new MultiCellSimulation(1, List.of("east", "west"), List.of());

    private String job(int tasks) {
        simulation.cell("east", 1, 2);
        simulation.cell("west", 1, 2);
        simulation.run(12);
        String id = simulation.id("east", 1);
        simulation.submitUntilAccepted(
                "east", SimulatedCluster.job(id, JobSpec.Shape.ARRAY, tasks, 1));
        simulation.run(3);
        assertEquals(List.of(), simulation.violations());
        return id;
    }

    private void start(String cell, String jobId, int task) {
        simulation
                .cluster(cell)
                .workers
                .values()
                .iterator()
                .next()
                .execute(new WorkerCommand(WorkerCommand.Action.START, jobId, task, 77, 0));
    }

    private void finds(String what) {
        assertTrue(
                simulation.violations().stream().anyMatch(b -> b.contains(what)),
                simulation.violations().toString());
    }

    @Test
    void aTaskInTwoCellsAtOnce() {
        String id = job(2);
        start("west", id, 0);
        simulation.run(0.5);
        finds("ran twice: " + id + "/0");
        finds("twice: " + id + "/0 on");
    }

    @Test
    void aTaskThatRunsLongAfterItsUserWasToldThatItIsCancelled() {
        String id = job(2);
        simulation.runUntil(
                20,
                () -> simulation.cancel(simulation.anyAliveNode("east"), id).equals("cancelled"));
        simulation.run(27);
        simulation.cluster("west").workers.values().forEach(worker -> worker.isCutOff = true);
        start("west", id, 0);
        simulation.run(5);
        finds("ran cancelled: " + id);
    }

    @Test
    void aJobCalledDoneBeforeItsTasksAre() {
        String id = job(2);
        SimulatedCluster east = simulation.cluster("east");
        east.store.put(StoreKeys.OPEN_JOBS + id, null, 0, ++east.store.revision);
        east.store.put(
                StoreKeys.ENDED_JOBS + id,
                Map.of("status", "done", "done", 2L),
                0,
                ++east.store.revision);
        simulation.status(simulation.anyAliveNode("west"), id);
        finds("not done: " + id);
    }

    @Test
    void aJobThatIsDoneAndThenCancelledOrForgotten() {
        String id = job(2);
        simulation.runUntil(
                60, () -> simulation.status(simulation.anyAliveNode("east"), id).equals("done"));
        SimulatedCluster east = simulation.cluster("east");
        east.store.put(
                StoreKeys.ENDED_JOBS + id,
                Map.of("status", "cancelled", "done", 0L),
                0,
                ++east.store.revision);
        simulation.restart(simulation.anyAliveNode("east"), 1);
        simulation.run(15);
        simulation.status(simulation.anyAliveNode("east"), id);
        finds("went back: " + id);
        east.store.put(StoreKeys.ENDED_JOBS + id, null, 0, ++east.store.revision);
        simulation.restart(simulation.anyAliveNode("east"), 1);
        simulation.run(15);
        simulation.status(simulation.anyAliveNode("east"), id);
        finds("forgotten: " + id);
    }

    @Test
    void aRehearsalIsTheSameEveryTimeAndFindsNothingHere() {
        Rehearsal.Plan plan =
                new Rehearsal.Plan(
                        3,
                        8,
                        0.4,
                        4,
                        60,
                        0.1,
                        3,
                        List.of(
                                new Rehearsal.Fault("nodes", 1, 20, 15),
                                new Rehearsal.Fault("network", 0, 30, 20)));
        Rehearsal.Result one = new Rehearsal(plan, Rehearsal.Topology.CELLS).play();
        Rehearsal.Result two = new Rehearsal(plan, Rehearsal.Topology.CELLS).play();
        assertEquals(List.of(), one.violations());
        assertEquals(0, one.unfinished());
        assertTrue(one.handOvers() > 0);
        assertEquals(
                List.of(
                        one.starts(),
                        one.messages(),
                        one.changes(),
                        one.handOvers(),
                        one.simulatedSeconds()),
                List.of(
                        two.starts(),
                        two.messages(),
                        two.changes(),
                        two.handOvers(),
                        two.simulatedSeconds()));
    }
}
