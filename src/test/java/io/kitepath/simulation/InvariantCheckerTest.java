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
class InvariantCheckerTest {
    private final SimulatedCluster cluster = SimulatedClusters.settled(2, 4);

    private void finds(String what) {
        assertTrue(
                cluster.violations.stream().anyMatch(b -> b.contains(what)),
                cluster.violations.toString());
    }

    private void start(String machine, String jobId, int task) {
        cluster.workers
                .get(machine)
                .execute(new WorkerCommand(WorkerCommand.Action.START, jobId, task, 77, 0));
    }

    private JobSpec placedAs(
            JobSpec s, List<String> types, String zone, boolean oneZone, boolean spread) {
        JobSpec x =
                s.toBuilder()
                        .machineTypes(types)
                        .zone(zone)
                        .singleZone(oneZone)
                        .spreadAcrossZones(spread)
                        .build();
        cluster.specs.put(x.id(), x);
        return x;
    }

    private JobSpec job(String id) {
        return SimulatedCluster.job(id, Shape.ARRAY, 4, 1);
    }

    private void over(String id, String status) {
        cluster.store.put(StoreKeys.OPEN_JOBS + id, null, 0, ++cluster.store.revision);
        cluster.store.put(
                StoreKeys.ENDED_JOBS + id,
                Map.of("status", status, "done", 0L),
                0,
                ++cluster.store.revision);
    }

    @Test
    void aTaskTwiceAndATeamOverItsLimitWhereNobodyCanLook() {
        cluster.teams.put("red", new ClusterSettings.Team("red", 0, 2, 0, 0));
        cluster.specs.put("j-1", job("j-1"));
        cluster.workers.values().forEach(worker -> worker.isCutOff = true);
        start("i-000000", "j-1", 0);
        start("i-000001", "j-1", 0);
        finds("ran twice: j-1/0");
        assertTrue(cluster.violations.stream().noneMatch(b -> b.contains("quota")));
        start("i-000002", "j-1", 1);
        finds("quota: team red has 3.0 CPUs");
    }

    /** The worker's own rule, on which the proof stands that an attempt never started. */
    @Test
    void aWorkerWithTwoHeartbeatsInFlight() {
        SimulatedWorker worker = cluster.workers.get("i-000000");
        cluster.run(10);
        assertEquals(List.of(), cluster.violations);
        worker.report();
        worker.report();
        finds("two heartbeats in flight: i-000000");
    }

    @Test
    void wrongPlaces() {
        placedAs(job("j-1"), List.of("other"), null, false, false);
        start("i-000000", "j-1", 0);
        finds("wrong place: j-1/0");
        placedAs(job("j-2"), null, "b", false, false);
        start("i-000000", "j-2", 0);
        finds("wrong place: j-2/0");
        cluster.spotWorker("i-000009", "a");
        cluster.specs.put("j-3", job("j-3"));
        start("i-000009", "j-3", 0);
        finds("wrong place: j-3/0");
        placedAs(job("j-4"), null, null, true, false);
        start("i-000000", "j-4", 0);
        start("i-000001", "j-4", 1);
        finds("wrong place: j-4/1");
        placedAs(job("j-5"), null, null, false, true);
        start("i-000000", "j-5", 0);
        start("i-000002", "j-5", 1);
        assertTrue(cluster.violations.stream().noneMatch(b -> b.contains("j-5")));
        start("i-000000", "j-5", 2);
        finds("wrong place: 3 tasks of j-5");
    }

    @Test
    void aCancelledTaskThatGoesOnAfterItsMachineHung() {
        cluster.taskSeconds = id -> 500;
        cluster.submit(cluster.leader(), job("j-1"));
        cluster.run(6);
        SimulatedWorker x =
                cluster.workers.values().stream()
                        .filter(y -> !y.tasks.isEmpty())
                        .findFirst()
                        .orElseThrow();
        SimulatedTask task = x.tasks.values().iterator().next();
        cluster.cloud.unavailable = true; // Else it would be given back as silent.
        x.hangingUntil = cluster.clock.now + cluster.cancelSeconds + 5;
        cluster.cancel(cluster.leader(), "j-1");
        cluster.run(cluster.cancelSeconds + 2);
        assertEquals(List.of(), cluster.violations);
        assertTrue(cluster.invariants.cancelledTasksOnHungMachines() > 0);
        // As if its lease were none.
        cluster.after(
                2.904,
                () ->
                        x.tasks.put(
                                task.key(),
                                new SimulatedTask(
                                        x,
                                        task.jobId,
                                        task.number,
                                        task.attempt,
                                        TaskState.RUNNING)));
        cluster.run(6);
        finds("ran cancelled: " + task.key());
    }

    @Test
    void aStartAfterAConfirmedCancellationIsCounted() {
        cluster.submit(cluster.leader(), SimulatedCluster.job("j-1", Shape.ARRAY, 1, 4));
        cluster.cancel(cluster.leader(), "j-1");
        cluster.run(5);
        int before = cluster.invariants.startsAfterCancellation();
        start("i-000003", "j-1", 0);
        assertEquals(before + 1, cluster.invariants.startsAfterCancellation());
        assertEquals(List.of(), cluster.violations);
        cluster.run(cluster.cancelSeconds);
        start("i-000002", "j-1", 0);
        finds("ran cancelled: j-1 starts");
    }

    @Test
    void anOlderAnswerAfterANewerOne() {
        cluster.taskSeconds = id -> 500;
        cluster.submit(cluster.leader(), job("j-1"));
        cluster.cancel(cluster.leader(), "j-1");
        cluster.store.put(StoreKeys.ENDED_JOBS + "j-1", null, 0, ++cluster.store.revision);
        cluster.nodes.values().forEach(SimulatedNode::crash);
        cluster.siblings.forEach(cluster::node);
        cluster.run(15);
        cluster.ask(cluster.leader(), "j-1");
        finds("forgotten: j-1");
        cluster.submit(cluster.leader(), job("j-1"));
        finds("went back: j-1 is called pending");
    }

    @Test
    void doneTooEarlyInventedAndCancelledByNobody() {
        cluster.taskSeconds = id -> 500;
        cluster.submit(cluster.leader(), job("j-1"));
        cluster.submit(cluster.leader(), job("j-2"));
        over("j-1", "done");
        over("j-2", "cancelled");
        SimulatedNode other =
                cluster.nodes.values().stream()
                        .filter(node -> node != cluster.leader())
                        .findFirst()
                        .orElseThrow();
        cluster.ask(other, "j-1");
        finds("not done: j-1");
        cluster.ask(other, "j-2");
        finds("j-2 is called cancelled and nobody asked");
        cluster.invariants.checkAnswer(
                "j-777",
                new JobSubmissionService.JobResponse(
                        JobSubmissionService.Verdict.KNOWN,
                        new JobStatus("j-777", "pending", 0, 0)),
                cluster.clock.now);
        finds("invented: j-777");
    }

    @Test
    void aJobAboutWhichNobodyAnswersAndOneThatWaitsBesideRoom() {
        cluster.taskSeconds = id -> 500;
        cluster.submit(cluster.leader(), job("j-1"));
        cluster.run(4);
        cluster.invariants.troublesAreOver();
        cluster.store.unavailable = true;
        cluster.run(74);
        assertTrue(
                cluster.violations.stream().noneMatch(b -> b.contains("forgotten")),
                cluster.violations.toString());
        cluster.run(20);
        finds("forgotten: no question about j-1");
    }

    @Test
    void aJobThatIsLeftWaitingBesideRoom() {
        cluster.taskSeconds = id -> 500;
        cluster.nodes.values().forEach(SimulatedNode::crash);
        cluster.specs.put("j-1", job("j-1"));
        cluster.invariants.accepted("j-1");
        cluster.teams.put("red", new ClusterSettings.Team("red", 0, 1, 0, 0));
        cluster.specs.put("j-2", job("j-2"));
        start("i-000000", "j-2", 0);
        cluster.workers.get("i-000000").hangingUntil = cluster.clock.now + 200;
        cluster.invariants.troublesAreOver();
        cluster.run(95);
        assertEquals(
                List.of("forgotten: no question about j-1 is answered"),
                cluster.violations,
                "its team is at its limit");
        cluster.teams.put("red", new ClusterSettings.Team("red", 0, 0, 0, 0));
        cluster.run(89);
        assertEquals(1, cluster.violations.size());
        cluster.run(4);
        finds("left waiting: j-1");
    }
}
