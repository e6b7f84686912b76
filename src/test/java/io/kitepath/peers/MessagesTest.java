package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.kitepath.core.model.CheckIn;
import io.kitepath.core.model.Malformed;
import io.kitepath.core.model.Order;
import io.kitepath.core.model.Progress;
import io.kitepath.core.model.JobState;
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
        Report r = new Report("i-1", "10.1.0.1:9000", "m", "a", true, 2, 88, 41, null, List.of(
                new Report.TaskReport("j-1", 3, 2, Report.State.RUNNING, null),
                new Report.TaskReport("j-1", 4, 2, Report.State.ENDED, Report.Cause.DONE)));
        assertEquals(new Messages.Ask(7, r, true), sent(new Messages.Ask(7, r, true)));
        Report notice = new Report("i-1", "", "m", "a", true, 2, 89, 41, 12.5, List.of());
        assertEquals(new Messages.Ask(8, notice, false), sent(new Messages.Ask(8, notice, false)));
    }

    @Test
    void itsAnswerToo() {
        Messages.Answer a = new Messages.Answer(7, new CheckIn(41,
                List.of(new Order(Order.Verb.START, "j-1", 5, 3, 0), new Order(Order.Verb.STOP, "j-1", 4, 2, 6)),
                null));
        assertEquals(a, sent(a));
        Messages.Answer no = new Messages.Answer(8, new CheckIn(0, List.of(), "kite-2"));
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
        Messages.AnswerProgress answer = new Messages.AnswerProgress(9, List.of(new Progress("j-1", 4, 2, "waits")));
        assertEquals(answer, sent(answer));
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
