package io.kitepath.core.cell;

import io.kitepath.core.cell.CellMembership.RemoteCell;
import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.LoanOffer;
import io.kitepath.core.model.CellMessage.LoanRecall;
import io.kitepath.core.model.CellMessage.LoanStatus;
import io.kitepath.core.model.CellMessage.QuotaGrant;
import io.kitepath.core.model.CellMessage.Redirect;
import io.kitepath.core.model.CellMessage.Summary;
import io.kitepath.core.model.CellMessage.UserRequest;
import io.kitepath.core.model.CellMessage.UserResponse;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.model.Metric;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.RemoteCells;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Timers;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.service.JobApi;
import io.kitepath.core.service.JobSubmissionService;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateLoader;
import io.kitepath.core.state.StateWriter;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * A node's part in a cluster of several cells: receives the messages of other cells, and runs the
 * loops that send summaries, offer work and reconcile loans and quota shares. Every node has one;
 * only the leader's lends, borrows and exchanges summaries. Used on the event loop only.
 */
public final class CellService implements StateLoader.LoanRecords {
    private static final double EXCHANGE_INTERVAL_SECONDS = 1;

    /**
     * Loans made per second, as a fraction of the writes per second that the store allows. A loan
     * costs this cell about four writes.
     */
    private static final double OFFLOAD_RATE_SHARE = 0.05;

    /**
     * What the service uses to reach the world outside its process.
     *
     * @param batchQueue takes what is to be written along with the leader's next batch
     * @param store this cell's
     * @param timers clocks and timers of the event loop
     * @param cells the nodes of other cells
     * @param random for probes and retries
     */
    public record Environment(
            Consumer<StateWriter.BatchContributor> batchQueue,
            Store store,
            Timers timers,
            RemoteCells cells,
            Random random) {}

    /** What the service has to know of its node. */
    public interface Node {
        /** Whether it leads the shard, has loaded its state and is in touch with the store. */
        boolean holdsShard();

        /** The node that leads as far as known, or null. */
        String leader();

        /** Unfinished jobs in scheduling order. */
        List<Job> queue();

        /** The store has it that a job of which a part was lent is cancelled. */
        void cancelled(JobStatus job);
    }

    private final CellDirectory cellDirectory;
    private final ShardState shard;
    private final Timers timers;
    private final Node node;
    private final CellMembership cellMembership;
    private final LeaderQuery leaderQuery;
    private final LocalSummary localSummary;
    private final WorkOffloading workOffloading;
    private final LentTasks lentTasks;
    private final BorrowedTasks borrowedTasks;
    private final QuotaShares quotaShares;
    private final HomeAssignment homeAssignment;
    private final HomeCellJobs jobs;
    private final TokenBucket offloadBudget;
    private double exchangedAt = Double.NEGATIVE_INFINITY;

    /**
     * @param cellDirectory all cells, by this node's cells file
     * @param shard this cell's jobs and machines
     * @param submissions answers users whose jobs have their home here
     */
    public CellService(
            CellDirectory cellDirectory,
            ShardState shard,
            Environment environment,
            JobSubmissionService submissions,
            Node node) {
        this.cellDirectory = cellDirectory;
        this.shard = shard;
        this.timers = environment.timers();
        this.node = node;
        Map<String, Integer> otherCells = zoneCountsOfOtherCells(cellDirectory);
        this.cellMembership =
                new CellMembership(shard.settings(), new TreeSet<>(otherCells.keySet()));
        this.leaderQuery = new LeaderQuery(environment.cells(), cellMembership);
        this.localSummary = new LocalSummary(shard);
        this.workOffloading =
                new WorkOffloading(
                        shard.settings(), shard.machineTypes(), otherCells, environment.random());
        CellContext context =
                new CellContext(
                        cellDirectory.ownCellName(),
                        shard,
                        environment.batchQueue(),
                        timers,
                        leaderQuery,
                        environment.random());
        this.lentTasks = new LentTasks(context, cellMembership, workOffloading, node::cancelled);
        this.borrowedTasks = new BorrowedTasks(context);
        this.quotaShares = new QuotaShares(context);
        shard.quotaUsage().setLimits(quotaShares);
        setDraining(cellDirectory.ownCell().isDraining());
        this.homeAssignment = new HomeAssignment(cellDirectory, environment.store(), timers);
        this.jobs =
                new HomeCellJobs(
                        cellDirectory, submissions, environment.cells(), homeAssignment::isAgreed);
        this.offloadBudget =
                new TokenBucket(
                        Math.max(
                                1,
                                shard.settings().store().writesPerSecond() * OFFLOAD_RATE_SHARE));
    }

    private static Map<String, Integer> zoneCountsOfOtherCells(CellDirectory cellDirectory) {
        Map<String, Integer> zoneCounts = new HashMap<>();
        cellDirectory
                .cells()
                .forEach((name, cell) -> zoneCounts.put(name, Math.max(1, cell.zones().size())));
        zoneCounts.remove(cellDirectory.ownCellName());
        return zoneCounts;
    }

    /** Begins to check that this node's cells file names the homes that the cell goes by. */
    public void start() {
        homeAssignment.check();
    }

    /** What users ask of this node, whichever cell is the home of the job. */
    public JobApi jobs() {
        return jobs;
    }

    /**
     * A draining cell accepts no loans, gives back those of which nothing has begun, and offers its
     * own waiting work to others.
     */
    public void setDraining(boolean isDraining) {
        borrowedTasks.setDraining(isDraining);
        workOffloading.setDraining(isDraining);
    }

    // ---- messages of other cells ----------------------------------------------------------------

    /** Handles a message of another cell; {@code reply} is called once, with null for no answer. */
    public void onMessage(CellMessage message, Consumer<CellMessage> reply) {
        if (message instanceof UserRequest request) {
            jobs.onUserRequest(
                    request,
                    response ->
                            reply.accept(
                                    new UserResponse(
                                            response.verdict().name(), response.jobStatus())));
        } else if (!node.holdsShard()) {
            reply.accept(new Redirect(node.leader()));
        } else if (message instanceof Summary summary) {
            cellMembership.onSummary(summary, timers.nowSeconds());
            reply.accept(summary());
        } else if (message instanceof LoanOffer offer) {
            borrowedTasks.onOffer(offer, localSummary.hasRoomFor(offer), reply);
        } else if (message instanceof LoanRecall recall) {
            borrowedTasks.onRecall(recall, reply);
        } else if (message instanceof QuotaGrant grant) {
            quotaShares.onGrant(grant, reply);
        } else if (message instanceof LoanStatus status) {
            lentTasks.onStatus(status, reply);
        } else {
            reply.accept(null);
        }
    }

    private Summary summary() {
        return new Summary(
                cellDirectory.ownCellName(),
                node.leader(),
                cellDirectory.version(),
                !borrowedTasks.isDraining(),
                localSummary.freeCapacity(),
                localSummary.waitSecondsByRank(),
                cellMembership.heardCells(timers.nowSeconds()),
                quotaShareRows());
    }

    private List<CellMessage.QuotaShare> quotaShareRows() {
        double cpus = 0;
        double gpus = 0;
        for (CellMessage.FreeCapacity capacity : localSummary.freeCapacity()) {
            cpus += capacity.cpus();
            gpus += capacity.gpus();
        }
        return quotaShares.summaryRows(cpus, gpus);
    }

    // ---- the leader's loops ---------------------------------------------------------------------

    /** Called a few times a second while this node leads the shard. */
    public void reconcile() {
        double now = timers.nowSeconds();
        cellMembership.updateStates(now);
        lentTasks.reconcile(now);
        borrowedTasks.reconcile(now);
        quotaShares.reconcile(now);
        if (now - exchangedAt >= EXCHANGE_INTERVAL_SECONDS) {
            exchangedAt = now;
            exchangeSummaries(now);
            quotaShares.rebalance(cellMembership.freshSummaries(now));
            offloadWork(now);
        }
    }

    private void exchangeSummaries(double now) {
        Summary ownSummary = summary();
        for (RemoteCell remote : cellMembership.all().values()) {
            // Of two cells the one with the lower name begins, as long as that works.
            boolean isOwnTurn = cellDirectory.ownCellName().compareTo(remote.name) < 0;
            if (isOwnTurn || !remote.isHeard(now)) {
                leaderQuery.ask(remote.name, ownSummary, this::onSummaryAnswer);
            }
        }
    }

    private void onSummaryAnswer(CellMessage answer) {
        if (answer instanceof Summary summary) {
            cellMembership.onSummary(summary, timers.nowSeconds());
        }
    }

    private void offloadWork(double now) {
        int maxLoans = (int) offloadBudget.available(now);
        List<Job> queue = maxLoans == 0 ? List.of() : node.queue();
        if (queue.isEmpty()) {
            return;
        }
        workOffloading.forgetOtherJobs(shard.jobs().keySet());
        WorkOffloading.LocalCell localCell =
                new WorkOffloading.LocalCell(
                        queue,
                        this::fitsHere,
                        shard.quotaUsage()::remainingTasks,
                        localSummary.cpus());
        for (WorkOffloading.Plan plan :
                workOffloading.plan(
                        localCell,
                        cellMembership.all().values(),
                        maxLoans,
                        now,
                        timers.wallClockMillis())) {
            offloadBudget.tryTake(1, now);
            lentTasks.lend(plan);
        }
    }

    /** Whether some kind of machine in this cell's zones may run the job. */
    private boolean fitsHere(JobSpec spec) {
        for (MachineType type : shard.machineTypes().values()) {
            if (ProbePlacement.slots(spec, type) > 0 && isAllowedInOwnZone(spec, type)) {
                return true;
            }
        }
        return shard.machineTypes().isEmpty();
    }

    private boolean isAllowedInOwnZone(JobSpec spec, MachineType type) {
        return cellDirectory.ownCell().zones().stream()
                .map(zone -> new MachineKind(type.name(), zone, false))
                .anyMatch(kind -> ProbePlacement.isAllowed(kind, spec));
    }

    // ---- the leader's state ---------------------------------------------------------------------

    @Override
    public void adoptLoaded(StateLoader.LoadedState found) {
        lentTasks.restore(found, timers.nowSeconds());
        borrowedTasks.restore(found, timers.nowSeconds());
        quotaShares.restore(found);
    }

    @Override
    public void cancellationRequestChanged(Entry entry) {
        lentTasks.onCancellationRequestChanged(entry);
    }

    /** The store has it that the job is done. */
    public void jobDone(String jobId) {
        Job job = shard.jobs().get(jobId);
        if (job != null) {
            lentTasks.onJobDone(job);
        }
    }

    // ---- metrics --------------------------------------------------------------------------------

    /** Adds the metrics of this package, by name. */
    public void addMetrics(Map<String, Metric> metrics) {
        metrics.put(
                "cells.silent",
                Metric.gauge(
                        "other cells from which nothing is heard", cellMembership::silentCount));
        addLoanMetrics(metrics);
        addQuotaMetrics(metrics);
        metrics.put(
                "cells.messages",
                Metric.counter(
                        "messages sent to other cells by the holder", leaderQuery::messagesSent));
    }

    private void addLoanMetrics(Map<String, Metric> metrics) {
        metrics.put(
                "cells.tasks.lent",
                Metric.gauge(
                        "tasks that other cells were offered or have taken",
                        lentTasks::lentTaskCount));
        metrics.put(
                "cells.tasks.taken",
                Metric.gauge(
                        "tasks of other cells that are this one's to run",
                        borrowedTasks::borrowedTaskCount));
        metrics.put(
                "cells.lent", Metric.counter("hand-overs to other cells", lentTasks::loansMade));
        metrics.put(
                "cells.returned",
                Metric.counter("hand-overs that came to an end", lentTasks::loansReturned));
        metrics.put(
                "cells.taken",
                Metric.counter("hand-overs taken from other cells", borrowedTasks::loansTaken));
        metrics.put(
                "cells.refused",
                Metric.counter("hand-overs refused for lack of room", borrowedTasks::loansRefused));
    }

    private void addQuotaMetrics(Map<String, Metric> metrics) {
        metrics.put(
                "cells.shares.given",
                Metric.counter(
                        "parts of teams' limits given to other cells", quotaShares::grantsSent));
        metrics.put(
                "cells.shares.came",
                Metric.counter(
                        "parts of teams' limits that came from other cells",
                        quotaShares::grantsReceived));
        metrics.put(
                "cells.shares.under.way",
                Metric.gauge(
                        "parts given that are not known to have arrived",
                        quotaShares::grantsInTransit));
    }
}
