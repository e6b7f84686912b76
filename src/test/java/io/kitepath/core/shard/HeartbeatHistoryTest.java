package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when a machine counts as one that the leader's responses do not reach. */
class HeartbeatHistoryTest {
    private static final double LEASE_SECONDS = 10;

    private final HeartbeatHistory history = new HeartbeatHistory();
    private long sequence;

    /**
     * Records a heartbeat of the incarnation every second, either all with this leader's token or
     * all without it.
     */
    private void heartbeats(long incarnation, boolean carryOurToken, int from, int until) {
        for (int now = from; now <= until; now++) {
            history.record(incarnation, ++sequence, carryOurToken, now, LEASE_SECONDS);
        }
    }

    @Test
    void responsesCountAsMissingAfterTwoAnsweredIncarnationsAreLost() {
        heartbeats(1, true, 0, 9);
        heartbeats(2, true, 10, 19);
        assertFalse(history.isMissingResponses(), "a single loss may be due to a slow network");
        heartbeats(3, true, 20, 21);
        assertTrue(history.isMissingResponses());
        assertEquals(1, history.missingResponsesSeconds(21));
    }

    @Test
    void lossOfUnansweredIncarnationIsNotCounted() {
        heartbeats(1, true, 0, 9);
        history.recordUnanswered(10);
        heartbeats(2, true, 11, 20);
        heartbeats(3, true, 21, 22);
        assertFalse(history.isMissingResponses());
    }

    @Test
    void responsesCountAsArrivingWhenIncarnationOutlivesItsLease() {
        history.markMissingResponses(0);
        heartbeats(1, true, 0, 15);
        assertTrue(history.isMissingResponses());
        heartbeats(1, true, 16, 16);
        assertFalse(history.isMissingResponses());
    }

    @Test
    void responsesCountAsMissingWhenTokenIsNeverConfirmed() {
        heartbeats(1, false, 0, 15);
        assertFalse(history.isMissingResponses());
        heartbeats(2, false, 16, 16);
        assertTrue(history.isMissingResponses());
        assertEquals(
                16,
                history.missingResponsesSeconds(16),
                "since the first heartbeat without the token");
        heartbeats(2, true, 17, 17);
        assertFalse(history.isMissingResponses());
    }

    @Test
    void responsesCountAsArrivingAfterDeliveredStart() {
        history.markMissingResponses(0);
        history.recordDeliveredStart();
        assertFalse(history.isMissingResponses());
        assertEquals(0, history.missingResponsesSeconds(5));
    }

    @Test
    void newLeadershipResetsTokenConfirmation() {
        history.confirmToken();
        assertTrue(history.isTokenConfirmed());
        history.resetTokenConfirmation();
        assertFalse(history.isTokenConfirmed());
    }
}
