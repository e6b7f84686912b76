package io.kitepath.core;

import io.kitepath.core.model.LoopTimeAccounting.Activity;

/**
 * Runs scheduling rounds: place waiting tasks, write what changed, send commands to workers. Rounds
 * run on request, at most one is pending, and between two of them there is a pause.
 */
final class RoundRunner {
    /** A change waits at least that long, so that several of a burst share a round. */
    private static final double MIN_DELAY_SECONDS = 0.02;

    /**
     * The pause after a round, in lengths of that round: rounds take at most a fifth of the event
     * loop's time, as heartbeats, users and the renewal of the lease need the rest.
     */
    private static final int PAUSE_PER_ROUND = 4;

    /** Most tasks that a round places, in full transactions of the store. */
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

    /** Rounds run so far. */
    long rounds() {
        return rounds;
    }

    /** Seconds that all rounds took together. */
    double totalSeconds() {
        return totalSeconds;
    }

    /** Has a round run soon, unless one is pending already. */
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

    /** Runs a round now if the pause since the last one is over. */
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

    /** What was written may be launched, and what waited for the write may be placed. */
    private void onWritten() {
        node.heartbeatService.onWriteBatchCommitted();
        request();
    }
}
