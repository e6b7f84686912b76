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
 * A node's dealings with the other cells. Where the cluster has a single cell, {@link NoOtherCells}
 * stands in, and nothing of {@code core.cell} is loaded. Event loop only.
 */
public interface OtherCells {
    /** What users may ask of this node, whichever cell the job's home is. */
    JobApi jobApi();

    /** Zones that only other cells have machines in. */
    Set<String> zonesOfOtherCells();

    /** Takes what the stored records say about loans; empty if none are kept. */
    Optional<LoanRecords> loanRecords();

    /** Starts what every node does, leader or not. */
    void start();

    /**
     * One step of the leader's work; to be called a few times a second while its lease is valid.
     */
    void reconcile();

    /** The store has it that this cell's job is over. */
    void onJobEnded(JobStatus job);

    /**
     * Handles a message from another cell.
     *
     * @param answer called once with the answer, null if there is none for now; never called where
     *     there are no other cells
     */
    void onMessage(CellMessage message, Consumer<CellMessage> answer);

    /** While draining, the cell takes no more loans and returns those that have not started. */
    void setDraining(boolean isDraining);

    /** Adds its metrics by name. */
    void addMetrics(Map<String, Metric> metrics);
}
