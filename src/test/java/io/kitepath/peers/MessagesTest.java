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

class MessagesTest {
    private final PeerMessageCodec here = PeerMessageCodec.withinCell();
    private final PeerMessageCodec there = PeerMessageCodec.withinCell();

    private PeerMessage sent(PeerMessage message) {
        return there.decode(here.encode(message));
    }

    @Test
    void aRelayedCheckInArrivesAsItWasSent() {
        Heartbeat heartbeat =
                new Heartbeat(
                        "i-1",
                        "10.1.0.1:9000",
                        "m",
                        "a",
                        true,
                        2,
                        88,
                        41,
                        null,
                        List.of(
                                new Heartbeat.TaskStatus(
                                        "j-1", 3, 2, Heartbeat.TaskState.RUNNING, null),
                                new Heartbeat.TaskStatus(
                                        "j-1",
                                        4,
                                        2,
                                        Heartbeat.TaskState.ENDED,
                                        Heartbeat.EndCause.DONE)));
        assertEquals(
                new PeerMessage.HeartbeatRelay(7, heartbeat, true),
                sent(new PeerMessage.HeartbeatRelay(7, heartbeat, true)));
        Heartbeat notice = new Heartbeat("i-1", "", "m", "a", true, 2, 89, 41, 12.5, List.of());
        assertEquals(
                new PeerMessage.HeartbeatRelay(8, notice, false),
                sent(new PeerMessage.HeartbeatRelay(8, notice, false)));
    }

    @Test
    void itsAnswerToo() {
        PeerMessage.HeartbeatRelayReply a =
                new PeerMessage.HeartbeatRelayReply(
                        7,
                        new HeartbeatResponse(
                                41,
                                List.of(
                                        new WorkerCommand(
                                                WorkerCommand.Action.START, "j-1", 5, 3, 0),
                                        new WorkerCommand(
                                                WorkerCommand.Action.STOP, "j-1", 4, 2, 6)),
                                null));
        assertEquals(a, sent(a));
        PeerMessage.HeartbeatRelayReply no =
                new PeerMessage.HeartbeatRelayReply(
                        8, new HeartbeatResponse(0, List.of(), "kite-2"));
        assertEquals(no, sent(no));
    }

    @Test
    void viewsEndsAndProgressToo() {
        PeerMessage.NodeState v = new PeerMessage.NodeState("kite-1", 41, true, false);
        assertEquals(v, sent(v));
        PeerMessage.JobEnded over =
                new PeerMessage.JobEnded(new JobStatus("j-1", "cancelled", 0, 0, null));
        assertEquals(over, sent(over));
        PeerMessage.ProgressRequest ask = new PeerMessage.ProgressRequest(9, List.of("j-1", "j-2"));
        assertEquals(ask, sent(ask));
        PeerMessage.ProgressReply answer =
                new PeerMessage.ProgressReply(9, List.of(new JobProgress("j-1", 4, 2, "waits")));
        assertEquals(answer, sent(answer));
    }

    @Test
    void whatCellsSayTooAndOnlyWhereThereAreOthers() {
        JobSpec job =
                new JobSpec(
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
        CellMessage.FreeCapacity room =
                new CellMessage.FreeCapacity(new MachineKind("m4", "a", true), 12, 0, 40, 3);
        List<CellMessage> all =
                List.of(
                        new CellMessage.Redirect("kite-1"),
                        new CellMessage.Redirect(null),
                        new CellMessage.Summary(
                                "east",
                                "kite-0",
                                3,
                                true,
                                List.of(room),
                                List.of(0.0, 4.5),
                                List.of("west"),
                                List.of(
                                        new CellMessage.QuotaShare(
                                                "red", 0, 4000, 1000, 0, 0, 0, 1.5))),
                        new CellMessage.QuotaGrant("east", 8, 7, "red", 1, 2000),
                        new CellMessage.QuotaGrantAccepted(8),
                        new CellMessage.LoanOffer("east", 1L << 40, 7, job, 1000.5, 0, 4, 2),
                        new CellMessage.LoanRecall("east", 8, 7, true),
                        new CellMessage.LoanSettled(8, 9),
                        new CellMessage.UserRequest(CellMessage.RequestKind.SUBMIT, "j-1", job),
                        new CellMessage.UserRequest(CellMessage.RequestKind.STATUS, "j-1", null),
                        new CellMessage.UserResponse(
                                "KNOWN", new JobStatus("j-1", "running", 1, 2, "waits")));
        PeerMessageCodec one = PeerMessageCodec.betweenCells();
        PeerMessageCodec other = PeerMessageCodec.betweenCells();
        for (CellMessage message : all) {
            assertEquals(
                    new PeerMessage.CellRequest(5, message),
                    other.decode(one.encode(new PeerMessage.CellRequest(5, message))));
            assertEquals(
                    new PeerMessage.CellReply(5, message),
                    other.decode(one.encode(new PeerMessage.CellReply(5, message))));
        }
        CellMessage.LoanStatus status =
                new CellMessage.LoanStatus(
                        "west", 8, CellMessage.LoanState.BACK, new byte[] {3, 1}, 4);
        CellMessage.LoanStatus got =
                (CellMessage.LoanStatus)
                        ((PeerMessage.CellReply)
                                        other.decode(
                                                one.encode(new PeerMessage.CellReply(6, status))))
                                .message();
        assertEquals(
                List.of(status.cell(), status.loanNumber(), status.state(), status.nextAttempt()),
                List.of(got.cell(), got.loanNumber(), got.state(), got.nextAttempt()));
        assertArrayEquals(status.doneTasks(), got.doneTasks());
        byte[] bytes = one.encode(new PeerMessage.CellRequest(5, all.get(0)));
        assertThrows(InvalidInputException.class, () -> there.decode(bytes));
    }

    @Test
    void badBytesAreRefusedAndHarmNothing() {
        Random random = new Random(1);
        for (int i = 0; i < 300; i++) {
            byte[] bytes = new byte[random.nextInt(40)];
            random.nextBytes(bytes);
            try {
                there.decode(bytes);
            } catch (InvalidInputException expected) {
                // Refused, as it should be.
            }
        }
        assertThrows(InvalidInputException.class, () -> there.decode(new byte[] {99, 1, 2}));
        viewsEndsAndProgressToo();
    }
}
