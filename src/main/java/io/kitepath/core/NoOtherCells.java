package io.kitepath.core;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.Metric;
import io.kitepath.core.service.JobApi;
import io.kitepath.core.state.StateLoader.LoanRecords;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Stands for the remote cells in a cluster with a single cell: user requests are handled by this
 * cell, and no tasks are lent.
 */
record NoOtherCells(JobApi jobApi) implements OtherCells {
    @Override
    public Set<String> zonesOfOtherCells() {
        return Set.of();
    }

    @Override
    public LoanRecords loanRecords() {
        return LoanRecords.NONE;
    }

    @Override
    public void start() {}

    @Override
    public void reconcile() {}

    @Override
    public void onJobEnded(JobStatus job) {}

    /** Ignores the message without a response, as it is not from a cell of this cluster. */
    @Override
    public void onMessage(CellMessage message, Consumer<CellMessage> onResponse) {}

    @Override
    public void setDraining(boolean isDraining) {}

    @Override
    public void addMetrics(Map<String, Metric> metrics) {}
}
