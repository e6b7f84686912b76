package io.kitepath.core.shard;

/**
 * Tracks the liveness of one machine's agent from its heartbeats: when the last one arrived, of
 * which agent incarnation, whether it carried the leader's own fencing token, and whether the
 * leader's responses appear to arrive. Times are seconds on the steady clock. Not thread-safe;
 * belongs to the shard's thread.
 */
final class HeartbeatHistory {
    /**
     * Number of lease durations after which an agent in the same incarnation is known to receive
     * responses: without them its lease would have expired.
     */
    private static final double RESPONSES_ARRIVE_LEASES = 1.5;

    /**
     * Number of consecutive answered incarnations that must be lost before responses are considered
     * lost; a single one may be due to a temporarily slow network.
     */
    private static final int MAX_LOST_INCARNATIONS = 2;

    /** NaN until the first heartbeat. */
    private double lastHeartbeatAt = Double.NaN;

    private long agentIncarnation;
    private long lastSequence;
    private boolean tokenConfirmed;

    /** When the first heartbeat of this incarnation arrived; NaN before that. */
    private double agentIncarnationSince = Double.NaN;

    /**
     * When the first heartbeat of this incarnation with this leader's token arrived; NaN before
     * that.
     */
    private double tokenConfirmedAt = Double.NaN;

    /** Number of consecutive incarnations that ended although their heartbeats were answered. */
    private int answeredIncarnationsLost;

    /** Since when responses are known not to arrive; NaN while they are considered to arrive. */
    private double missingResponsesSince = Double.NaN;

    /**
     * Since when the agent has been sent responses with this leader's token without showing it; NaN
     * once it has shown the token, and before the first response.
     */
    private double tokenUnconfirmedSince = Double.NaN;

    /**
     * Number of heartbeats processed in full; identifies the latest one, so that attempts that it
     * did not list can be found.
     */
    private int fullHeartbeatCount;

    private boolean lastHeartbeatEndedAttempt;

    /**
     * Records a heartbeat.
     *
     * <p>Guards against a machine whose heartbeats arrive while no response reaches it: it looks
     * healthy, but its lease expires repeatedly. An agent that was answered for a whole lease and
     * nonetheless starts another incarnation, {@value #MAX_LOST_INCARNATIONS} times in a row, does
     * not receive responses. An agent that stays in one incarnation for longer than a lease does
     * receive them.
     *
     * @param carriesOurToken whether the heartbeat carries this leader's fencing token
     */
    void record(
            long incarnation,
            long sequence,
            boolean carriesOurToken,
            double now,
            double leaseSeconds) {
        if (incarnation > agentIncarnation) {
            startIncarnation(now, leaseSeconds);
        } else if (now - agentIncarnationSince > RESPONSES_ARRIVE_LEASES * leaseSeconds) {
            missingResponsesSince = Double.NaN;
            answeredIncarnationsLost = 0;
        }
        if (carriesOurToken) {
            recordOurToken(now);
        } else {
            recordOtherToken(now, leaseSeconds);
        }
        agentIncarnation = incarnation;
        lastSequence = sequence;
        lastHeartbeatAt = now;
    }

    private void startIncarnation(double now, double leaseSeconds) {
        boolean wasAnswered =
                now - tokenConfirmedAt > leaseSeconds / 2
                        && now - lastHeartbeatAt < leaseSeconds / 2;
        answeredIncarnationsLost = wasAnswered ? answeredIncarnationsLost + 1 : 0;
        if (answeredIncarnationsLost >= MAX_LOST_INCARNATIONS) {
            markMissingResponses(now);
        }
        agentIncarnationSince = now;
        tokenConfirmedAt = Double.NaN;
    }

    private void recordOurToken(double now) {
        if (Double.isNaN(tokenConfirmedAt)) {
            tokenConfirmedAt = now;
        }
        if (missingResponsesSince == tokenUnconfirmedSince) {
            missingResponsesSince = Double.NaN;
        }
        tokenUnconfirmedSince = Double.NaN;
    }

    private void recordOtherToken(double now, double leaseSeconds) {
        if (Double.isNaN(tokenUnconfirmedSince)) {
            tokenUnconfirmedSince = now;
        } else if (now - tokenUnconfirmedSince > RESPONSES_ARRIVE_LEASES * leaseSeconds) {
            // Guards against attempts that count against a limit for as long as no response
            // arrives: if responses have been lost since before this leader's term, the machine
            // never shows the token that would prove which tasks are on it.
            markMissingResponses(tokenUnconfirmedSince);
        }
    }

    /**
     * Records a heartbeat that this leader could not answer: the machine is alive, and may lose its
     * agent incarnation because no response arrives.
     */
    void recordUnanswered(double now) {
        if (hasReported()) {
            lastHeartbeatAt = now;
            tokenConfirmedAt = Double.NaN;
            tokenUnconfirmedSince = Double.NaN;
        }
    }

    /**
     * Resets the token confirmation when the leader has a new fencing token: heartbeats prove
     * nothing until one carries it.
     */
    void resetTokenConfirmation() {
        tokenConfirmed = false;
        tokenUnconfirmedSince = Double.NaN;
    }

    /** Records that a heartbeat with this leader's token was processed in full. */
    void confirmToken() {
        tokenConfirmed = true;
    }

    /** Whether a heartbeat with this leader's token was processed. */
    boolean isTokenConfirmed() {
        return tokenConfirmed;
    }

    /** Marks the leader's responses as not reaching the machine since that time. */
    void markMissingResponses(double since) {
        if (!isMissingResponses()) {
            missingResponsesSince = since;
        }
    }

    /** Whether heartbeats arrive, but responses do not reach the machine. */
    boolean isMissingResponses() {
        return !Double.isNaN(missingResponsesSince);
    }

    /** Seconds since responses are known not to arrive; 0 while they are considered to arrive. */
    double missingResponsesSeconds(double now) {
        return isMissingResponses() ? now - missingResponsesSince : 0;
    }

    /** Records that a task whose start was commanded in a response was reported by the machine. */
    void recordDeliveredStart() {
        missingResponsesSince = Double.NaN;
        answeredIncarnationsLost = 0;
    }

    /** Records the sequence number of the agent's response to direct commands. */
    void advanceSequence(long sequence) {
        lastSequence = sequence;
    }

    boolean hasReported() {
        return !Double.isNaN(lastHeartbeatAt);
    }

    /** NaN until the first heartbeat. */
    double lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    long agentIncarnation() {
        return agentIncarnation;
    }

    long lastSequence() {
        return lastSequence;
    }

    /** Begins to process a heartbeat in full; returns its number among those processed in full. */
    int beginFullHeartbeat() {
        return ++fullHeartbeatCount;
    }

    void setLastHeartbeatEndedAttempt(boolean hasEndedAttempt) {
        lastHeartbeatEndedAttempt = hasEndedAttempt;
    }

    /** Whether the last heartbeat that was processed in full ended an attempt. */
    boolean hasLastHeartbeatEndedAttempt() {
        return lastHeartbeatEndedAttempt;
    }
}
