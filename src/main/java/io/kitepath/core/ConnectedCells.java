package io.kitepath.core;

import io.kitepath.core.cell.CellService;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.Metric;
import io.kitepath.core.port.Store;
import io.kitepath.core.service.JobApi;
import io.kitepath.core.shard.Job;
import io.kitepath.core.state.StateLoader.LoanRecords;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Connects a node to the remote cells of a cluster with several cells. This is the only class of
 * its package that refers to {@code core.cell}, so that the classes of that package are loaded only
 * if there are remote cells.
 */
final class ConnectedCells implements OtherCells {
    private final CellNetwork network;
    private final CellService cellService;

    /** Creates the cell service, which draws from {@code random} during construction. */
    ConnectedCells(NodeComponents node, CellNetwork network, Store store, Random random) {
        this.network = network;
        this.cellService =
                new CellService(
                        network.directory(),
                        node.shard,
                        new CellService.Environment(
                                node::contributeToNextWrite,
                                store,
                                node.timers,
                                network.remoteCells(),
                                random),
                        node.submissions,
                        new CellServiceNode(node));
    }

    @Override
    public JobApi jobApi() {
        return cellService.jobs();
    }

    @Override
    public Set<String> zonesOfOtherCells() {
        return network.directory().zonesOfOtherCells();
    }

    @Override
    public LoanRecords loanRecords() {
        return cellService;
    }

    @Override
    public void start() {
        cellService.start();
    }

    @Override
    public void reconcile() {
        cellService.reconcile();
    }

    @Override
    public void onJobEnded(JobStatus job) {
        cellService.jobDone(job.jobId());
    }

    @Override
    public void onMessage(CellMessage message, Consumer<CellMessage> onResponse) {
        cellService.onMessage(message, onResponse);
    }

    @Override
    public void setDraining(boolean isDraining) {
        cellService.setDraining(isDraining);
    }

    @Override
    public void addMetrics(Map<String, Metric> metrics) {
        cellService.addMetrics(metrics);
    }

    /** Gives the cell service access to its node. */
    private record CellServiceNode(NodeComponents node) implements CellService.Node {
        @Override
        public boolean holdsShard() {
            return node.mayActOnShard();
        }

        @Override
        public String leader() {
            return node.leadership.leader();
        }

        @Override
        public List<Job> queue() {
            return node.scheduler.orderedJobs(
                    node.timers.nowSeconds(), node.timers.wallClockMillis());
        }

        @Override
        public void cancelled(JobStatus job) {
            node.announceJobEnded(job);
        }
    }
}
