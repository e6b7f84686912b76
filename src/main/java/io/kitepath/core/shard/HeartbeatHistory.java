package io.kitepath.core.shard;

/**
 * Liveness of one machine's agent, as its heartbeats show it: when the last one came, of which
 * agent incarnation, whether it carried the leader's own fencing token, and whether the leader's
 * answers seem to arrive. Times are seconds on the steady clock. Not thread-safe; belongs to the
 * shard's thread.
 */
final class HeartbeatHistory {
    /**
     * An agent whose incarnation lasts for that many leases receives answers: without them its
     * lease would have expired.
     */
    private static final double ANSWERS_ARRIVE_LEASES = 1.5;

    /**
     * Answered incarnations lost in a row after which answers are held not to arrive; one may be
     * lost to a network that is slow for a while.
     */
    private static final int MAX_LOST_INCARNATIONS = 2;

    /** NaN until the first heartbeat. */
    private double lastHeartbeatAt = Double.NaN;

    private long agentIncarnation;
    private long lastSequence;
    private boolean tokenConfirmed;

    /** When the first heartbeat of this incarnation came; NaN before. */
    private double agentIncarnationSince = Double.NaN;

    /** When the first heartbeat of this incarnation with our own token came; NaN before. */
    private double tokenConfirmedAt = Double.NaN;

    /** Incarnations in a row that ended although their heartbeats were answered. */
    private int answeredIncarnationsLost;

    /** Since when answers are known not to arrive; NaN while they are held to arrive. */
    private double missingAnswersSince = Double.NaN;

    /**
     * Since when the agent has been answered with our token without showing it; NaN once it has
     * shown it, or before the first answer.
     */
    private double tokenUnconfirmedSince = Double.NaN;

    /** Numbers the reports that were read in full, to tell what one of them did not show. */
    private int fullReportsRead;

    private boolean lastReportEndedTask;

    /**
     * Takes in a heartbeat.
     *
     * <p>Guards against a machine whose heartbeats arrive while no answer reaches it: it looks
     * healthy, but its lease expires again and again. An agent that was answered for a whole lease
     * and is in another incarnation all the same, {@value #MAX_LOST_INCARNATIONS} times in a row,
     * does not receive answers; one that stays in an incarnation for longer than a lease does.
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
        } else if (now - agentIncarnationSince > ANSWERS_ARRIVE_LEASES * leaseSeconds) {
            missingAnswersSince = Double.NaN;
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
            markMissingAnswers(now);
        }
        agentIncarnationSince = now;
        tokenConfirmedAt = Double.NaN;
    }

    private void recordOurToken(double now) {
        if (Double.isNaN(tokenConfirmedAt)) {
            tokenConfirmedAt = now;
        }
        if (missingAnswersSince == tokenUnconfirmedSince) {
            missingAnswersSince = Double.NaN;
        }
        tokenUnconfirmedSince = Double.NaN;
    }

    private void recordOtherToken(double now, double leaseSeconds) {
        if (Double.isNaN(tokenUnconfirmedSince)) {
            tokenUnconfirmedSince = now;
        } else if (now - tokenUnconfirmedSince > ANSWERS_ARRIVE_LEASES * leaseSeconds) {
            // Guards against a limit that stays used up for as long as no answer gets through: if
            // answers have not arrived since before this leader began, the machine never shows the
            // token that would prove what is on it.
            markMissingAnswers(tokenUnconfirmedSince);
        }
    }

    /**
     * Takes in a heartbeat that this leader could not answer: the machine is alive, and may lose
     * its agent incarnation for want of answers.
     */
    void recordUnanswered(double now) {
        if (hasReported()) {
            lastHeartbeatAt = now;
            tokenConfirmedAt = Double.NaN;
            tokenUnconfirmedSince = Double.NaN;
        }
    }

    /** The leader has a new fencing token: nothing is proven until a heartbeat shows it. */
    void resetTokenConfirmation() {
        tokenConfirmed = false;
        tokenUnconfirmedSince = Double.NaN;
    }

    /** A complete report with our own token has been read. */
    void confirmToken() {
        tokenConfirmed = true;
    }

    /** Whether a report with the leader's own token has been read. */
    boolean isTokenConfirmed() {
        return tokenConfirmed;
    }

    /** The leader's answers don't reach the machine, since then. */
    void markMissingAnswers(double since) {
        if (!isMissingAnswers()) {
            missingAnswersSince = since;
        }
    }

    /** Whether heartbeats arrive, but answers don't reach the machine. */
    boolean isMissingAnswers() {
        return !Double.isNaN(missingAnswersSince);
    }

    /** Seconds since answers are known not to arrive; 0 while they are held to arrive. */
    double missingAnswersSeconds(double now) {
        return isMissingAnswers() ? now - missingAnswersSince : 0;
    }

    /** A task that an answer told the machine to start has been seen there. */
    void recordDeliveredStart() {
        missingAnswersSince = Double.NaN;
        answeredIncarnationsLost = 0;
    }

    /** The agent answered direct commands with a report of that sequence number. */
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

    /** Begins to read a report in full; returns the number of this reading. */
    int beginFullReport() {
        return ++fullReportsRead;
    }

    void setLastReportEndedTask(boolean hasEndedTask) {
        lastReportEndedTask = hasEndedTask;
    }

    /** Whether the last report that was read in full ended a task. */
    boolean hasLastReportEndedTask() {
        return lastReportEndedTask;
    }
}
