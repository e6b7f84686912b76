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
 * Connects a node to the remote cells. {@link NoOtherCells} implements it for a cluster with a
 * single cell, so that no class of {@code core.cell} is loaded there. All methods must be called on
 * the event loop.
 */
public interface OtherCells {
    /** Returns the API for users of this node, for jobs of any home cell. */
    JobApi jobApi();

    /** Returns the zones in which only remote cells have machines. */
    Set<String> zonesOfOtherCells();

    /** Returns the receiver of stored loan records, {@link LoanRecords#NONE} if none are kept. */
    LoanRecords loanRecords();

    /** Starts the work that every node does, whether or not it leads. */
    void start();

    /**
     * Performs one step of the leader's work. The leader calls it several times a second while its
     * lease is valid.
     */
    void reconcile();

    /** Handles the end of a job of this cell, whose final state is committed. */
    void onJobEnded(JobStatus job);

    /**
     * Handles a message from a remote cell.
     *
     * @param onResponse called once with the response, null if there is none for now; never called
     *     if the cluster has a single cell
     */
    void onMessage(CellMessage message, Consumer<CellMessage> onResponse);

    /** While draining, the cell accepts no loans and returns those that have not started. */
    void setDraining(boolean isDraining);

    /** Adds the metrics of this connection to the map, by name. */
    void addMetrics(Map<String, Metric> metrics);
}
