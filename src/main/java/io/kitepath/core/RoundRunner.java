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
    private static final int PAUSE_PER_ROUND = 4;

    /** The maximum number of tasks placed in a round, in full transactions of the store. */
    private static final int MAX_TRANSACTIONS_PLACED = 20;

    private final NodeComponents node;
    private boolean isRequested;
    private long rounds;
    private double totalSeconds;
    private double lastSeconds;
    private double lastEndedAt;

    RoundRunner(NodeComponents node) {
        this.node = node;
    }

    /** Returns the number of rounds since the process started. */
    long rounds() {
        return rounds;
    }

    /** Returns the total duration of all rounds in seconds. */
    double totalSeconds() {
        return totalSeconds;
    }

    /** Schedules a round, unless one is already pending. */
    void request() {
        if (!isRequested) {
            isRequested = true;
            double delay = Math.max(MIN_DELAY_SECONDS, earliestNextAt() - node.timers.nowSeconds());
            node.timers.schedule(
                    delay,
                    () -> {
                        isRequested = false;
                        run();
                    });
        }
    }

    /** Runs a round now if the pause after the last one is over. */
    void runIfDue() {
        if (node.timers.nowSeconds() >= earliestNextAt()) {
            run();
        }
    }

    private double earliestNextAt() {
        return lastEndedAt + PAUSE_PER_ROUND * lastSeconds;
    }

    private void run() {
        if (!node.leadership.isLeading()
                || !node.stateWriter.isLoaded()
                || node.stateWriter.isWriting()
                || !node.leadership.isLeaseValid()) {
            return;
        }
        rounds++;
        double began = node.timers.nowSeconds();
        node.scheduler.placeWaitingTasks(
                began,
                node.timers.wallClockMillis(),
                MAX_TRANSACTIONS_PLACED * node.settings.store().maxTransactionOperations());
        double placedAt = node.timers.nowSeconds();
        node.loopTime.record(Activity.PLACING, began);
        node.stateWriter.write(this::onWritten);
        double wroteAt = node.timers.nowSeconds();
        node.loopTime.record(Activity.WRITING, placedAt);
        node.directCancellations.send();
        node.loopTime.record(Activity.STOPPING, wroteAt);
        lastEndedAt = node.timers.nowSeconds();
        lastSeconds = lastEndedAt - began;
        totalSeconds += lastSeconds;
    }

    /** Launches the written attempts, and requests a round for tasks that waited for the write. */
    private void onWritten() {
        node.heartbeatService.onWritten();
        request();
    }
}
