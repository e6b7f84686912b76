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
class CheckerTest {
    private final MultiCellSimulation c =
            new MultiCellSimulation(1, List.of("east", "west"), List.of());

    private String job(int tasks) {
        c.cell("east", 1, 2);
        c.cell("west", 1, 2);
        c.run(12);
        String id = c.id("east", 1);
        c.submitSurely("east", SimulatedCluster.job(id, JobSpec.Shape.ARRAY, tasks, 1));
        c.run(3);
        assertEquals(List.of(), c.broken());
        return id;
    }

    private void start(String cell, String job, int task) {
        c.world(cell)
                .workers
                .values()
                .iterator()
                .next()
                .execute(new WorkerCommand(WorkerCommand.Action.START, job, task, 77, 0));
    }

    private void finds(String what) {
        assertTrue(c.broken().stream().anyMatch(b -> b.contains(what)), c.broken().toString());
    }

    @Test
    void aTaskInTwoCellsAtOnce() {
        String id = job(2);
        start("west", id, 0);
        c.run(0.5);
        finds("ran twice: " + id + "/0");
        finds("twice: " + id + "/0 on");
    }

    @Test
    void aTaskThatRunsLongAfterItsUserWasToldThatItIsCancelled() {
        String id = job(2);
        c.until(20, () -> c.cancel(c.any("east"), id).equals("cancelled"));
        c.run(27);
        c.world("west").workers.values().forEach(w -> w.cut = true);
        start("west", id, 0);
        c.run(5);
        finds("ran cancelled: " + id);
    }

    @Test
    void aJobCalledDoneBeforeItsTasksAre() {
        String id = job(2);
        SimulatedCluster east = c.world("east");
        east.store.put(StoreKeys.OPEN + id, null, 0, ++east.store.revision);
        east.store.put(
                StoreKeys.OVER + id,
                Map.of("status", "done", "done", 2L),
                0,
                ++east.store.revision);
        c.status(c.any("west"), id);
        finds("not done: " + id);
    }

    @Test
    void aJobThatIsDoneAndThenCancelledOrForgotten() {
        String id = job(2);
        c.until(60, () -> c.status(c.any("east"), id).equals("done"));
        SimulatedCluster east = c.world("east");
        east.store.put(
                StoreKeys.OVER + id,
                Map.of("status", "cancelled", "done", 0L),
                0,
                ++east.store.revision);
        c.restart(c.any("east"), 1);
        c.run(15);
        c.status(c.any("east"), id);
        finds("went back: " + id);
        east.store.put(StoreKeys.OVER + id, null, 0, ++east.store.revision);
        c.restart(c.any("east"), 1);
        c.run(15);
        c.status(c.any("east"), id);
        finds("forgotten: " + id);
    }

    @Test
    void aRehearsalIsTheSameEveryTimeAndFindsNothingHere() {
        Rehearsal.Plan p =
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
        Rehearsal.Result one = new Rehearsal(p, Rehearsal.Way.CELLS).play();
        Rehearsal.Result two = new Rehearsal(p, Rehearsal.Way.CELLS).play();
        assertEquals(List.of(), one.broken());
        assertEquals(0, one.unfinished());
        assertTrue(one.handOvers() > 0);
        assertEquals(
                List.of(one.starts(), one.messages(), one.changes(), one.handOvers(), one.tookS()),
                List.of(two.starts(), two.messages(), two.changes(), two.handOvers(), two.tookS()));
    }
}
