package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.simulation.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What a report proves. */
class HeartbeatProcessorTest {
    private final ClusterSettings settings = new SimulatedCluster().settings("k1");
    private final ShardState shard = new ShardState(settings, machine -> {});
    private final HeartbeatProcessor heartbeatProcessor = new HeartbeatProcessor(shard);
    private final Job job =
            new Job(
                    SimulatedCluster.job("j-1", Shape.ARRAY, 1, 1),
                    0,
                    new double[] {60},
                    "jobs/open/j-1",
                    1,
                    256);

    private static Heartbeat report(long sequence, long token) {
        return new Heartbeat("i-1", "a", "m4", "a", false, 1, sequence, token, null, List.of());
    }

    /**
     * An earlier holder wrote the placing and launched it in an answer that is still on its way;
     * then the job is cancelled. The worker's report from before it knew us does not show the task,
     * and proves nothing.
     */
    @Test
    void onlyAReportThatCarriesOurTokenProvesWhatIsNotThere() {
        shard.takeLeadership(5);
        shard.addJob(job);
        shard.restorePart(
                job,
                0,
                Map.of("next", 2L, "done", "", "live", Map.of("i-1", List.of(0L, 1L))),
                7,
                0);
        shard.finishJob("j-1");
        for (int i = 1; i <= 5; i++) {
            heartbeatProcessor.process(report(i, 4), true, id -> true, i);
        }
        assertEquals(1, job.liveAttempts().size());
        assertFalse(shard.machines().get("i-1").isTokenConfirmed());
        heartbeatProcessor.process(report(6, 5), true, id -> true, 6);
        assertEquals(0, job.liveAttempts().size());
    }

    /**
     * A copy of a report that was read already, or of an older one, neither ends nor proves
     * anything.
     */
    @Test
    void anOlderReportIsNotRead() {
        shard.takeLeadership(5);
        shard.addJob(job);
        heartbeatProcessor.process(report(9, 4), true, id -> true, 1);
        shard.restorePart(
                job,
                0,
                Map.of("next", 2L, "done", "", "live", Map.of("i-1", List.of(0L, 1L))),
                7,
                0);
        shard.finishJob("j-1");
        heartbeatProcessor.process(report(8, 5), true, id -> true, 2);
        heartbeatProcessor.process(report(9, 5), true, id -> true, 3);
        assertEquals(1, job.liveAttempts().size());
        assertEquals(1, shard.machines().get("i-1").lastHeartbeatAt());
    }

    /**
     * Whatever this holder knows of the machine: no answer keeps a task alive whose job is over.
     */
    @Test
    void aMachineThatHasNotShownOurTokenIsToldToStopWhatIsOver() {
        Heartbeat heartbeat =
                new Heartbeat(
                        "i-1",
                        "i-1",
                        "m4",
                        "a",
                        false,
                        1,
                        7,
                        4,
                        null,
                        List.of(
                                new Heartbeat.TaskStatus(
                                        "j-1", 0, 3, Heartbeat.TaskState.RUNNING, null),
                                new Heartbeat.TaskStatus(
                                        "j-2", 1, 4, Heartbeat.TaskState.RUNNING, null),
                                new Heartbeat.TaskStatus(
                                        "j-2",
                                        2,
                                        4,
                                        Heartbeat.TaskState.ENDED,
                                        Heartbeat.EndCause.DONE)));
        List<WorkerCommand> stop =
                List.of(new WorkerCommand(WorkerCommand.Action.STOP, "j-2", 1, 4, 0));
        assertEquals(stop, heartbeatProcessor.process(heartbeat, false, "j-1"::equals, 1));
        Heartbeat next =
                new Heartbeat("i-1", "i-1", "m4", "a", false, 1, 8, 4, null, heartbeat.tasks());
        assertEquals(stop, heartbeatProcessor.process(next, true, "j-1"::equals, 2));
    }
}
