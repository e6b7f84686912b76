package io.kitepath.core;

import io.kitepath.core.model.LoopTimeAccounting.Activity;

/**
 * Runs scheduling rounds. A round places waiting tasks, writes the changed records and sends
 * commands to workers. Rounds run on request. At most one request is pending, and there is a pause
 * between two rounds.
 */
final class RoundRunner {
    /** The minimum delay after a request, so that the changes of a burst share a round. */
    private static final double MIN_DELAY_SECONDS = 0.02;

    /**
     * The pause after a round, as a multiple of the round's duration. Rounds thus take at most a
     * fifth of the event loop's time; the rest is needed for heartbeats, user requests and the
     * renewal of the lease.
     */
    private static final int PAUSE_IN_ROUND_DURATIONS = 4;

    /** The maximum number of tasks placed in a round, in full transactions of the store. */
    private static final int MAX_PLACEMENT_TRANSACTIONS = 20;

    private final NodeComponents node;
    private boolean isRoundPending;
    private long roundCount;
    private double totalRoundSeconds;
    private double lastRoundSeconds;
    private double lastRoundEndedAtSeconds;

    RoundRunner(NodeComponents node) {
        this.node = node;
    }

    /** Returns the number of rounds since the process started. */
    long roundCount() {
        return roundCount;
    }

    /** Returns the total duration of all rounds in seconds. */
    double totalRoundSeconds() {
        return totalRoundSeconds;
    }

    /** Schedules a round, unless one is already pending. */
    void request() {
        if (!isRoundPending) {
            isRoundPending = true;
            double delay =
                    Math.max(
                            MIN_DELAY_SECONDS,
                            earliestNextRoundAtSeconds() - node.timers.nowSeconds());
            node.timers.schedule(
                    delay,
                    () -> {
                        isRoundPending = false;
                        run();
                    });
        }
    }

    /** Runs a round now if the pause after the last one is over. */
    void runIfDue() {
        if (node.timers.nowSeconds() >= earliestNextRoundAtSeconds()) {
            run();
        }
    }

    private double earliestNextRoundAtSeconds() {
        return lastRoundEndedAtSeconds + PAUSE_IN_ROUND_DURATIONS * lastRoundSeconds;
    }

    private void run() {
        if (!node.leadership.isLeading()
                || !node.stateWriter.isLoaded()
                || node.stateWriter.isWriting()
                || !node.leadership.isLeaseValid()) {
            return;
        }
        roundCount++;
        double startedAtSeconds = node.timers.nowSeconds();
        node.scheduler.placeWaitingTasks(
                startedAtSeconds,
                node.timers.wallClockMillis(),
                MAX_PLACEMENT_TRANSACTIONS * node.settings.store().maxTransactionOperations());
        double placedAtSeconds = node.timers.nowSeconds();
        node.loopTime.record(Activity.PLACING, startedAtSeconds);
        node.stateWriter.write(this::onWritten);
        double writtenAtSeconds = node.timers.nowSeconds();
        node.loopTime.record(Activity.WRITING, placedAtSeconds);
        node.directStopCommands.send();
        node.loopTime.record(Activity.STOPPING, writtenAtSeconds);
        lastRoundEndedAtSeconds = node.timers.nowSeconds();
        lastRoundSeconds = lastRoundEndedAtSeconds - startedAtSeconds;
        totalRoundSeconds += lastRoundSeconds;
    }

    /** Launches the written attempts, and requests a round for tasks that waited for the write. */
    private void onWritten() {
        node.heartbeatService.onWriteBatchCommitted();
        request();
    }
}
