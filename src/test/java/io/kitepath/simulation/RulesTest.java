package io.kitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.service.JobSubmissionService;
import io.kitepath.core.state.StoreKeys;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What watches the rules in one world finds each of them broken, when it is broken on purpose. */
class RulesTest {
    private final SimulatedCluster w = Worlds.settled(2, 4);

    private void finds(String what) {
        assertTrue(w.broken.stream().anyMatch(b -> b.contains(what)), w.broken.toString());
    }

    private void start(String machine, String job, int task) {
        w.workers
                .get(machine)
                .execute(new WorkerCommand(WorkerCommand.Action.START, job, task, 77, 0));
    }

    private JobSpec placedAs(
            JobSpec s, List<String> types, String zone, boolean oneZone, boolean spread) {
        JobSpec x =
                new JobSpec(
                        s.id(),
                        s.jobClass(),
                        s.team(),
                        s.shape(),
                        s.priority(),
                        s.tasks(),
                        s.cpus(),
                        s.gpus(),
                        s.memoryGb(),
                        types,
                        zone,
                        oneZone,
                        spread,
                        s.spot(),
                        s.image(),
                        s.imageGb(),
                        s.estimateS(),
                        0,
                        0,
                        null);
        w.specs.put(x.id(), x);
        return x;
    }

    private JobSpec job(String id) {
        return SimulatedCluster.job(id, Shape.ARRAY, 4, 1);
    }

    private void over(String id, String status) {
        w.store.put(StoreKeys.OPEN + id, null, 0, ++w.store.revision);
        w.store.put(
                StoreKeys.OVER + id, Map.of("status", status, "done", 0L), 0, ++w.store.revision);
    }

    @Test
    void aTaskTwiceAndATeamOverItsLimitWhereNobodyCanLook() {
        w.teams.put("red", new ClusterSettings.Team("red", 0, 2, 0, 0));
        w.specs.put("j-1", job("j-1"));
        w.workers.values().forEach(x -> x.cut = true);
        start("i-000000", "j-1", 0);
        start("i-000001", "j-1", 0);
        finds("ran twice: j-1/0");
        assertTrue(w.broken.stream().noneMatch(b -> b.contains("quota")));
        start("i-000002", "j-1", 1);
        finds("quota: team red has 3.0 CPUs");
    }

    @Test
    void wrongPlaces() {
        placedAs(job("j-1"), List.of("other"), null, false, false);
        start("i-000000", "j-1", 0);
        finds("wrong place: j-1/0");
        placedAs(job("j-2"), null, "b", false, false);
        start("i-000000", "j-2", 0);
        finds("wrong place: j-2/0");
        w.spotWorker("i-000009", "a");
        w.specs.put("j-3", job("j-3"));
        start("i-000009", "j-3", 0);
        finds("wrong place: j-3/0");
        placedAs(job("j-4"), null, null, true, false);
        start("i-000000", "j-4", 0);
        start("i-000001", "j-4", 1);
        finds("wrong place: j-4/1");
        placedAs(job("j-5"), null, null, false, true);
        start("i-000000", "j-5", 0);
        start("i-000002", "j-5", 1);
        assertTrue(w.broken.stream().noneMatch(b -> b.contains("j-5")));
        start("i-000000", "j-5", 2);
        finds("wrong place: 3 tasks of j-5");
    }

    @Test
    void aCancelledTaskThatGoesOnAfterItsMachineHung() {
        w.runsFor = id -> 500;
        w.submit(w.leader(), job("j-1"));
        w.run(6);
        SimulatedWorker x =
                w.workers.values().stream()
                        .filter(y -> !y.tasks.isEmpty())
                        .findFirst()
                        .orElseThrow();
        SimulatedTask t = x.tasks.values().iterator().next();
        w.cloud.out = true; // Else it would be given back as silent.
        x.hangsUntil = w.clock.now + w.cancelS + 5;
        w.cancel(w.leader(), "j-1");
        w.run(w.cancelS + 2);
        assertEquals(List.of(), w.broken);
        assertTrue(w.rules.hungWithCancelled() > 0);
        // As if its lease were none.
        w.after(
                2.904,
                () ->
                        x.tasks.put(
                                t.key(),
                                new SimulatedTask(
                                        x, t.job, t.number, t.attempt, TaskState.RUNNING)));
        w.run(6);
        finds("ran cancelled: " + t.key());
    }

    @Test
    void aStartAfterAConfirmedCancellationIsCounted() {
        w.submit(w.leader(), SimulatedCluster.job("j-1", Shape.ARRAY, 1, 4));
        w.cancel(w.leader(), "j-1");
        w.run(5);
        int before = w.rules.startsAfterCancellation();
        start("i-000003", "j-1", 0);
        assertEquals(before + 1, w.rules.startsAfterCancellation());
        assertEquals(List.of(), w.broken);
        w.run(w.cancelS);
        start("i-000002", "j-1", 0);
        finds("ran cancelled: j-1 starts");
    }

    @Test
    void anOlderAnswerAfterANewerOne() {
        w.runsFor = id -> 500;
        w.submit(w.leader(), job("j-1"));
        w.cancel(w.leader(), "j-1");
        w.store.put(StoreKeys.OVER + "j-1", null, 0, ++w.store.revision);
        w.nodes.values().forEach(SimulatedNode::crash);
        w.siblings.forEach(w::node);
        w.run(15);
        w.ask(w.leader(), "j-1");
        finds("forgotten: j-1");
        w.submit(w.leader(), job("j-1"));
        finds("went back: j-1 is called pending");
    }

    @Test
    void doneTooEarlyInventedAndCancelledByNobody() {
        w.runsFor = id -> 500;
        w.submit(w.leader(), job("j-1"));
        w.submit(w.leader(), job("j-2"));
        over("j-1", "done");
        over("j-2", "cancelled");
        SimulatedNode other =
                w.nodes.values().stream().filter(n -> n != w.leader()).findFirst().orElseThrow();
        w.ask(other, "j-1");
        finds("not done: j-1");
        w.ask(other, "j-2");
        finds("j-2 is called cancelled and nobody asked");
        w.rules.heard(
                "j-777",
                new JobSubmissionService.Answer(
                        JobSubmissionService.Verdict.KNOWN,
                        new JobStatus("j-777", "pending", 0, 0)),
                w.clock.now);
        finds("invented: j-777");
    }

    @Test
    void aJobAboutWhichNobodyAnswersAndOneThatWaitsBesideRoom() {
        w.runsFor = id -> 500;
        w.submit(w.leader(), job("j-1"));
        w.run(4);
        w.rules.calm();
        w.store.out = true;
        w.run(74);
        assertTrue(w.broken.stream().noneMatch(b -> b.contains("forgotten")), w.broken.toString());
        w.run(20);
        finds("forgotten: no question about j-1");
    }

    @Test
    void aJobThatIsLeftWaitingBesideRoom() {
        w.runsFor = id -> 500;
        w.nodes.values().forEach(SimulatedNode::crash);
        w.specs.put("j-1", job("j-1"));
        w.rules.accepted("j-1");
        w.teams.put("red", new ClusterSettings.Team("red", 0, 1, 0, 0));
        w.specs.put("j-2", job("j-2"));
        start("i-000000", "j-2", 0);
        w.workers.get("i-000000").hangsUntil = w.clock.now + 200;
        w.rules.calm();
        w.run(95);
        assertEquals(
                List.of("forgotten: no question about j-1 is answered"),
                w.broken,
                "its team is at its limit");
        w.teams.put("red", new ClusterSettings.Team("red", 0, 0, 0, 0));
        w.run(89);
        assertEquals(1, w.broken.size());
        w.run(4);
        finds("left waiting: j-1");
    }
}
