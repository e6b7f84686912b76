package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.WorkerCommand;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What one node encodes is what another one decodes. */
class MessagesTest {
    private final PeerMessageCodec sender = PeerMessageCodec.withinCell();
    private final PeerMessageCodec receiver = PeerMessageCodec.withinCell();
    private final PeerMessageCodec cellSender = PeerMessageCodec.betweenCells();
    private final PeerMessageCodec cellReceiver = PeerMessageCodec.betweenCells();

    private void assertArrives(PeerMessage message) {
        assertEquals(message, receiver.decode(sender.encode(message)));
    }

    private PeerMessage sentBetweenCells(PeerMessage message) {
        return cellReceiver.decode(cellSender.encode(message));
    }

    @Test
    void aRelayedHeartbeatArrivesAsItWasSent() {
        List<Heartbeat.TaskStatus> tasks =
                List.of(
                        new Heartbeat.TaskStatus("j-1", 3, 2, Heartbeat.TaskState.RUNNING, null),
                        new Heartbeat.TaskStatus(
                                "j-1", 4, 2, Heartbeat.TaskState.ENDED, Heartbeat.EndCause.DONE));
        Heartbeat withTasks =
                new Heartbeat("i-1", "10.1.0.1:9000", "m", "a", true, 2, 88, 41, null, tasks);
        assertArrives(new PeerMessage.HeartbeatRelay(7, withTasks, true));
        Heartbeat withNotice = new Heartbeat("i-1", "", "m", "a", true, 2, 89, 41, 12.5, List.of());
        assertArrives(new PeerMessage.HeartbeatRelay(8, withNotice, false));
    }

    @Test
    void theReplyToARelayedHeartbeatArrivesAsItWasSent() {
        List<WorkerCommand> commands =
                List.of(
                        new WorkerCommand(WorkerCommand.Action.START, "j-1", 5, 3, 0),
                        new WorkerCommand(WorkerCommand.Action.STOP, "j-1", 4, 2, 6));
        assertArrives(
                new PeerMessage.HeartbeatRelayReply(7, new HeartbeatResponse(41, commands, null)));
        assertArrives(
                new PeerMessage.HeartbeatRelayReply(
                        8, new HeartbeatResponse(0, List.of(), "kite-2")));
    }

    @Test
    void nodeStatesEndsOfJobsAndProgressArriveAsTheyWereSent() {
        assertArrives(new PeerMessage.NodeState("kite-1", 41, true, false));
        assertArrives(new PeerMessage.JobEnded(new JobStatus("j-1", "cancelled", 0, 0, null)));
        assertArrives(new PeerMessage.ProgressRequest(9, List.of("j-1", "j-2")));
        assertArrives(
                new PeerMessage.ProgressReply(9, List.of(new JobProgress("j-1", 4, 2, "waits"))));
    }

    private static JobSpec job() {
        return new JobSpec(
                "j-1",
                "work",
                "red",
                JobSpec.Shape.GANG,
                JobSpec.Priority.HIGH,
                4,
                2,
                0,
                1,
                List.of("m4"),
                null,
                true,
                false,
                false,
                "img",
                1,
                20,
                45,
                6,
                90.0);
    }

    private static CellMessage.Summary summary() {
        return new CellMessage.Summary(
                "east",
                "kite-0",
                3,
                true,
                List.of(
                        new CellMessage.FreeCapacity(
                                new MachineKind("m4", "a", true), 12, 0, 40, 3)),
                List.of(0.0, 4.5),
                List.of("west"),
                List.of(new CellMessage.QuotaShare("red", 0, 4000, 1000, 0, 0, 0, 1.5)));
    }

    @Test
    void messagesBetweenCellsArriveAsTheyWereSent() {
        List<CellMessage> messages =
                List.of(
                        new CellMessage.Redirect("kite-1"),
                        new CellMessage.Redirect(null),
                        summary(),
                        new CellMessage.QuotaGrant("east", 8, 7, "red", 1, 2000),
                        new CellMessage.QuotaGrantAccepted(8),
                        new CellMessage.LoanOffer("east", 1L << 40, 7, job(), 1000.5, 0, 4, 2),
                        new CellMessage.LoanRecall("east", 8, 7, true),
                        new CellMessage.LoanSettled(8, 9),
                        new CellMessage.UserRequest(CellMessage.RequestKind.SUBMIT, "j-1", job()),
                        new CellMessage.UserRequest(CellMessage.RequestKind.STATUS, "j-1", null),
                        new CellMessage.UserResponse(
                                "KNOWN", new JobStatus("j-1", "running", 1, 2, "waits")));
        for (CellMessage message : messages) {
            PeerMessage request = new PeerMessage.CellRequest(5, message);
            assertEquals(request, sentBetweenCells(request));
            PeerMessage reply = new PeerMessage.CellReply(5, message);
            assertEquals(reply, sentBetweenCells(reply));
        }
    }

    /** Apart from the others, as records with arrays are not equal by their content. */
    @Test
    void theStatusOfALoanArrivesAsItWasSent() {
        CellMessage.LoanStatus sent =
                new CellMessage.LoanStatus(
                        "west", 8, CellMessage.LoanState.BACK, new byte[] {3, 1}, 4);
        PeerMessage.CellReply reply =
                (PeerMessage.CellReply) sentBetweenCells(new PeerMessage.CellReply(6, sent));
        CellMessage.LoanStatus received = (CellMessage.LoanStatus) reply.message();
        assertEquals(
                List.of(sent.cell(), sent.loanNumber(), sent.state(), sent.nextAttempt()),
                List.of(
                        received.cell(),
                        received.loanNumber(),
                        received.state(),
                        received.nextAttempt()));
        assertArrayEquals(sent.doneTasks(), received.doneTasks());
    }

    @Test
    void messagesBetweenCellsAreRefusedWhereThereAreNoOtherCells() {
        byte[] bytes =
                cellSender.encode(
                        new PeerMessage.CellRequest(5, new CellMessage.Redirect("kite-1")));
        assertThrows(InvalidInputException.class, () -> receiver.decode(bytes));
    }

    @Test
    void malformedBytesAreRefusedAndHarmNothing() {
        Random random = new Random(1);
        for (int i = 0; i < 300; i++) {
            byte[] bytes = new byte[random.nextInt(40)];
            random.nextBytes(bytes);
            try {
                receiver.decode(bytes);
            } catch (InvalidInputException expected) {
                // Refused, as it should be.
            }
        }
        assertThrows(InvalidInputException.class, () -> receiver.decode(new byte[] {99, 1, 2}));
        nodeStatesEndsOfJobsAndProgressArriveAsTheyWereSent();
    }
}
