package io.kitepath.wire;

import static io.kitepath.wire.ProtocolExamples.json;
import static io.kitepath.wire.ProtocolExamples.received;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.WorkerCommand;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorkerCodecTest {
    @Test
    void heartbeatOfTheProtocolIsDecoded() {
        Heartbeat heartbeat =
                WorkerCodec.decodeHeartbeat(
                        received(
                                """
                {"host":"i-000231","addr":"10.1.0.232:9000","frame":"g8","field":"a","loaners":true,
                 "tenure":1,"tick":88,"baton":41,"recallS":null,
                 "sheets":[{"sheet":"j-000412/3","try":2,"status":"running"},
                           {"sheet":"j-000398/0","try":1,"status":"ended","cause":"done"}]}"""));
        assertEquals(
                List.of(
                        new Heartbeat.TaskStatus(
                                "j-000412", 3, 2, Heartbeat.TaskState.RUNNING, null),
                        new Heartbeat.TaskStatus(
                                "j-000398",
                                0,
                                1,
                                Heartbeat.TaskState.ENDED,
                                Heartbeat.EndCause.DONE)),
                heartbeat.tasks());
        assertEquals(41, heartbeat.fencingToken());
        assertNull(heartbeat.noticeSeconds());
    }

    @Test
    void unknownTaskStateCountsAsRunning() {
        Heartbeat heartbeat =
                WorkerCodec.decodeHeartbeat(
                        received(
                                """
                {"host":"i-1","frame":"g8","field":"a","loaners":true,"tenure":1,"tick":1,"baton":0,
                 "sheets":[{"sheet":"j-1/0","try":1,"status":"dreaming"}]}"""));
        assertEquals(Heartbeat.TaskState.RUNNING, heartbeat.tasks().get(0).state());
    }

    @Test
    void commandsOfTheProtocolAreEncoded() {
        List<WorkerCommand> commands =
                List.of(
                        new WorkerCommand(WorkerCommand.Action.START, "j-000412", 4, 2, 0),
                        new WorkerCommand(WorkerCommand.Action.STOP, "j-000377", 1, 1, 10),
                        new WorkerCommand(WorkerCommand.Action.FORGET, "j-000398", 0, 1, 0));
        assertEquals(
                json(
                        """
                {"baton":41,"orders":[
                   {"verb":"launch","sheet":"j-000412/4","try":2},
                   {"verb":"halt","sheet":"j-000377/1","try":1,"windDownS":10.0},
                   {"verb":"clear","sheet":"j-000398/0","try":1}]}"""),
                MessagePackCodec.decode(WorkerCodec.encodeCommands(41, commands)));
    }

    @Test
    void eachStateCauseAndActionSurvivesTheWire() {
        for (Heartbeat.TaskState state : Heartbeat.TaskState.values()) {
            assertEquals(state, WorkerTerms.parseTaskState(WorkerTerms.of(state)));
        }
        for (Heartbeat.EndCause cause : Heartbeat.EndCause.values()) {
            assertEquals(cause, WorkerTerms.parseEndCause(WorkerTerms.of(cause)));
        }
        for (WorkerCommand.Action action : WorkerCommand.Action.values()) {
            assertEquals(action, WorkerTerms.parseAction(WorkerTerms.of(action)));
        }
    }
}
