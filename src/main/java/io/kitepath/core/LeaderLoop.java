package io.kitepath.core;

import io.kitepath.core.model.LoopTimeAccounting.Activity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the leader's periodic work four times a second while the node leads: a scheduling round if
 * one is due, the reconciliation with remote cells and with the cloud's machines, and a summary in
 * the log once a minute.
 */
final class LeaderLoop {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderLoop.class);

    private static final double TICK_SECONDS = 0.25;

    /** One minute. */
    private static final int SUMMARY_INTERVAL_TICKS = 240;

    /** Five seconds. */
    private static final int DEBUG_SUMMARY_INTERVAL_TICKS = 20;

    private final NodeComponents node;
    private boolean isRunning;
    private long ticks;

    LeaderLoop(NodeComponents node) {
        this.node = node;
    }

    /** Starts the loop for a new term, unless the loop of an earlier term is still running. */
    void start() {
        if (!isRunning) {
            isRunning = true;
            tick();
        }
    }

    private void tick() {
        if (!node.leadership.isLeading()) {
            isRunning = false;
            return;
        }
        node.roundRunner.runIfDue();
        if (node.stateWriter.isLoaded()) {
            node.failoverTimings.onJobsRead(node.timers.nowSeconds());
            node.failoverTimings.update(
                    node.timers.nowSeconds(), node.heartbeatProcessor.launchCount());
        }
        node.stateWriter.readDependencyOutcomes();
        node.cascadeAnnouncer.announce();
        if (node.mayActOnShard()) {
            node.otherCells.reconcile();
        }
        double startedAtSeconds = node.timers.nowSeconds();
        node.cloud.reconciler.reconcile(node.mayActOnShard());
        node.loopTime.record(Activity.PLANNING, startedAtSeconds);
        ticks++;
        logSummaries();
        node.timers.schedule(TICK_SECONDS, this::tick);
    }

    private void logSummaries() {
        if (ticks % SUMMARY_INTERVAL_TICKS == 0) {
            LOG.info(node.shard.serviceLevels().summary());
        }
        if (ticks % SUMMARY_INTERVAL_TICKS == 0
                || LOG.isDebugEnabled() && ticks % DEBUG_SUMMARY_INTERVAL_TICKS == 0) {
            LOG.info(
                    "{} rounds={} writes={} heartbeats={} busySeconds={}{}",
                    ShardSummary.of(node.shard, node.heartbeatProcessor, node.scheduler),
                    node.stateWriter.transactionsSent(),
                    node.stateWriter.recordsSent(),
                    node.heartbeatService.receivedCount(),
                    String.format("%.1f", node.roundRunner.totalRoundSeconds()),
                    node.loopTime);
        }
    }
}
