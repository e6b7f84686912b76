package io.kitepath.core;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.Metric;
import io.kitepath.core.service.JobApi;
import io.kitepath.core.state.StateLoader.LoanRecords;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A cluster of a single cell: users' requests are answered here, and there is nobody to lend to.
 */
record NoOtherCells(JobApi jobApi) implements OtherCells {
    @Override
    public Set<String> zonesOfOtherCells() {
        return Set.of();
    }

    @Override
    public Optional<LoanRecords> loanRecords() {
        return Optional.empty();
    }

    @Override
    public void start() {}

    @Override
    public void reconcile() {}

    @Override
    public void onJobEnded(JobStatus job) {}

    /** Not from a cell of this cluster: it gets no answer. */
    @Override
    public void onMessage(CellMessage message, Consumer<CellMessage> answer) {}

    @Override
    public void setDraining(boolean isDraining) {}

    @Override
    public void addMetrics(Map<String, Metric> metrics) {}
}
