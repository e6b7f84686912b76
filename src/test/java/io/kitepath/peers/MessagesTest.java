package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.HeartbeatAnswer;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobState;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.Malformed;
import io.kitepath.core.model.Order;
import io.kitepath.core.model.Progress;
import io.kitepath.core.model.Report;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class MessagesTest {
    private final Messages here = new Messages();
    private final Messages there = new Messages();

    private Object sent(Object message) {
        return there.value(here.bytes(message));
    }

    @Test
    void aRelayedCheckInArrivesAsItWasSent() {
        Report r =
                new Report(
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
                                new Report.TaskReport("j-1", 3, 2, Report.State.RUNNING, null),
                                new Report.TaskReport(
                                        "j-1", 4, 2, Report.State.ENDED, Report.Cause.DONE)));
        assertEquals(new Messages.Ask(7, r, true), sent(new Messages.Ask(7, r, true)));
        Report notice = new Report("i-1", "", "m", "a", true, 2, 89, 41, 12.5, List.of());
        assertEquals(new Messages.Ask(8, notice, false), sent(new Messages.Ask(8, notice, false)));
    }

    @Test
    void itsAnswerToo() {
        Messages.Answer a =
                new Messages.Answer(
                        7,
                        new HeartbeatAnswer(
                                41,
                                List.of(
                                        new Order(Order.Verb.START, "j-1", 5, 3, 0),
                                        new Order(Order.Verb.STOP, "j-1", 4, 2, 6)),
                                null));
        assertEquals(a, sent(a));
        Messages.Answer no = new Messages.Answer(8, new HeartbeatAnswer(0, List.of(), "kite-2"));
        assertEquals(no, sent(no));
    }

    @Test
    void viewsEndsAndProgressToo() {
        Messages.View v = new Messages.View("kite-1", 41, true, false);
        assertEquals(v, sent(v));
        Messages.Over over = new Messages.Over(new JobState("j-1", "cancelled", 0, 0, null));
        assertEquals(over, sent(over));
        Messages.AskProgress ask = new Messages.AskProgress(9, List.of("j-1", "j-2"));
        assertEquals(ask, sent(ask));
        Messages.AnswerProgress answer =
                new Messages.AnswerProgress(9, List.of(new Progress("j-1", 4, 2, "waits")));
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
        CellMessage.Room room =
                new CellMessage.Room(new MachineKind("m4", "a", true), 12, 0, 40, 3);
        List<CellMessage> all =
                List.of(
                        new CellMessage.Elsewhere("kite-1"),
                        new CellMessage.Elsewhere(null),
                        new CellMessage.Summary(
                                "east",
                                "kite-0",
                                3,
                                true,
                                List.of(room),
                                List.of(0.0, 4.5),
                                List.of("west"),
                                List.of(new CellMessage.Share("red", 0, 4000, 1000, 0, 0, 0, 1.5))),
                        new CellMessage.Grant("east", 8, 7, "red", 1, 2000),
                        new CellMessage.Granted(8),
                        new CellMessage.Offer("east", 1L << 40, 7, job, 1000.5, 0, 4, 2),
                        new CellMessage.Recall("east", 8, 7, true),
                        new CellMessage.Settled(8, 9),
                        new CellMessage.UserAsk(CellMessage.Wish.SUBMIT, "j-1", job),
                        new CellMessage.UserAsk(CellMessage.Wish.STATUS, "j-1", null),
                        new CellMessage.UserAnswer(
                                "KNOWN", new JobState("j-1", "running", 1, 2, "waits")));
        Messages one = new Messages(true);
        Messages other = new Messages(true);
        for (CellMessage m : all) {
            assertEquals(
                    new Messages.AskCell(5, m), other.value(one.bytes(new Messages.AskCell(5, m))));
            assertEquals(
                    new Messages.AnswerCell(5, m),
                    other.value(one.bytes(new Messages.AnswerCell(5, m))));
        }
        CellMessage.Word w =
                new CellMessage.Word("west", 8, CellMessage.Standing.BACK, new byte[] {3, 1}, 4);
        CellMessage.Word got =
                (CellMessage.Word)
                        ((Messages.AnswerCell)
                                        other.value(one.bytes(new Messages.AnswerCell(6, w))))
                                .message();
        assertEquals(
                List.of(w.cell(), w.number(), w.standing(), w.next()),
                List.of(got.cell(), got.number(), got.standing(), got.next()));
        assertArrayEquals(w.done(), got.done());
        byte[] bytes = one.bytes(new Messages.AskCell(5, all.get(0)));
        assertThrows(Malformed.class, () -> there.value(bytes));
    }

    @Test
    void badBytesAreRefusedAndHarmNothing() {
        Random random = new Random(1);
        for (int i = 0; i < 300; i++) {
            byte[] bytes = new byte[random.nextInt(40)];
            random.nextBytes(bytes);
            try {
                there.value(bytes);
            } catch (Malformed expected) {
                // Refused, as it should be.
            }
        }
        assertThrows(Malformed.class, () -> there.value(new byte[] {99, 1, 2}));
        viewsEndsAndProgressToo();
    }
}
