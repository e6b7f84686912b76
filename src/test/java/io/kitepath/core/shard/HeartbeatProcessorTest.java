package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.Heartbeat.TaskStatus;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.simulation.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests what a heartbeat proves and what it does not. */
class HeartbeatProcessorTest {
    private static final String MACHINE = "i-1";
    private static final long OTHER_TOKEN = 4;
    private static final long OUR_TOKEN = 5;

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

    private static Heartbeat heartbeat(long sequence, long token, TaskStatus... tasks) {
        return new Heartbeat(
                MACHINE, "a", "m4", "a", false, 1, sequence, token, null, List.of(tasks));
    }

    private List<WorkerCommand> process(Heartbeat heartbeat, double now) {
        return heartbeatProcessor.process(heartbeat, true, id -> true, now);
    }

    /**
     * Restores a record of an earlier leader, according to which the job's task may be on the
     * machine.
     */
    private void restoreAttempt() {
        Map<String, Object> record =
                Map.of("next", 2L, "done", "", "live", Map.of(MACHINE, List.of(0L, 1L)));
        shard.restorePart(job, 0, record, 7, 0);
    }

    /**
     * An earlier leader committed the placement and launched it in a response that is still in
     * transit; then the job is cancelled. The agent's heartbeat from before it received this
     * leader's token does not list the task, and proves nothing.
     */
    @Test
    void absentTaskIsConfirmedEndedOnlyByHeartbeatWithOurToken() {
        shard.takeLeadership(OUR_TOKEN);
        shard.addJob(job);
        restoreAttempt();
        shard.finishJob("j-1");
        for (int i = 1; i <= 5; i++) {
            process(heartbeat(i, OTHER_TOKEN), i);
        }
        assertEquals(1, job.liveAttempts().size());
        assertFalse(shard.machines().get(MACHINE).isTokenConfirmed());
        process(heartbeat(6, OUR_TOKEN), 6);
        assertEquals(0, job.liveAttempts().size());
    }

    /** A duplicate of a processed heartbeat, or an older one, neither ends nor proves anything. */
    @Test
    void heartbeatThatIsNotNewerIsIgnored() {
        shard.takeLeadership(OUR_TOKEN);
        shard.addJob(job);
        process(heartbeat(9, OTHER_TOKEN), 1);
        restoreAttempt();
        shard.finishJob("j-1");
        process(heartbeat(8, OUR_TOKEN), 2);
        process(heartbeat(9, OUR_TOKEN), 3);
        assertEquals(1, job.liveAttempts().size());
        assertEquals(1, shard.machines().get(MACHINE).lastHeartbeatAt());
    }

    /** Regardless of the state of the machine, no response keeps a task of a finished job alive. */
    @Test
    void taskOfFinishedJobIsStoppedBeforeMachineConfirmsOurToken() {
        TaskStatus[] tasks = {
            new TaskStatus("j-1", 0, 3, TaskState.RUNNING, null),
            new TaskStatus("j-2", 1, 4, TaskState.RUNNING, null),
            new TaskStatus("j-2", 2, 4, TaskState.ENDED, EndCause.DONE)
        };
        List<WorkerCommand> stop =
                List.of(new WorkerCommand(WorkerCommand.Action.STOP, "j-2", 1, 4, 0));
        Heartbeat beforeLoading = heartbeat(7, OTHER_TOKEN, tasks);
        assertEquals(stop, heartbeatProcessor.process(beforeLoading, false, "j-1"::equals, 1));
        Heartbeat afterLoading = heartbeat(8, OTHER_TOKEN, tasks);
        assertEquals(stop, heartbeatProcessor.process(afterLoading, true, "j-1"::equals, 2));
    }
}
