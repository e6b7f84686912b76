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
 * Where a cell and the others meet: their messages come in here, and its own loops (summaries,
 * hand-overs, what was taken) go out from here. Every node has one; only the holder's lends and
 * takes.
 */
public final class CellService implements StateLoader.LoanRecords {
    private static final double EXCHANGE_INTERVAL_SECONDS = 1;

    /**
     * Of the changes a second that the store allows, the hand-overs a second, each of which costs
     * about four here.
     */
    private static final double OFFLOAD_RATE_SHARE = 0.05;

    /** What the desk has to know of its node. */
    public interface Node {
        /** Whether it holds the block, knows its jobs and is in touch with the store. */
        boolean holdsShard();

        /** Who leads, as far as known. */
        String leader();

        /** Unfinished jobs in the order of service. */
        List<Job> queue();

        /** A job that was lent in part is cancelled in the store. */
        void cancelled(JobStatus job);
    }

    private final CellDirectory cellDirectory;
    private final ShardState shard;
    private final Timers timers;
    private final Node node;
    private final RemoteCells cells;
    private final CellMembership cellMembership;
    private final LocalSummary localSummary;
    private final WorkOffloading workOffloading;
    private final LentTasks lentTasks;
    private final BorrowedTasks borrowedTasks;
    private final QuotaShares quotaShares;
    private final HomeAssignment homeAssignment;
    private final HomeCellJobs jobs;
    private final TokenBucket budget;
    private double exchangedAt = Double.NEGATIVE_INFINITY;
    private long messages;

    public CellService(
            CellDirectory cellDirectory,
            ShardState shard,
            Consumer<StateWriter.BatchContributor> riding,
            Store store,
            Timers timers,
            JobSubmissionService submissions,
            RemoteCells cells,
            Random random,
            Node node) {
        this.cellDirectory = cellDirectory;
        this.shard = shard;
        this.timers = timers;
        this.node = node;
        this.cells = cells;
        TreeSet<String> others = new TreeSet<>(cellDirectory.cells().keySet());
        others.remove(cellDirectory.ownCellName());
        Map<String, Integer> zones = new HashMap<>();
        others.forEach(c -> zones.put(c, Math.max(1, cellDirectory.cells().get(c).zones().size())));
        this.cellMembership = new CellMembership(shard.settings(), others);
        this.localSummary = new LocalSummary(shard);
        this.workOffloading =
                new WorkOffloading(shard.settings(), shard.machineTypes(), zones, random);
        CellContext context =
                new CellContext(
                        cellDirectory.ownCellName(),
                        shard,
                        riding,
                        timers,
                        this::askHolder,
                        random);
        this.lentTasks = new LentTasks(context, cellMembership, workOffloading, node::cancelled);
        this.borrowedTasks = new BorrowedTasks(context);
        this.quotaShares = new QuotaShares(context);
        shard.quotaUsage().setLimits(quotaShares);
        setDraining(cellDirectory.ownCell().isDraining());
        this.homeAssignment = new HomeAssignment(cellDirectory, store, timers);
        this.jobs = new HomeCellJobs(cellDirectory, submissions, cells, homeAssignment::agreed);
        this.budget =
                new TokenBucket(
                        Math.max(
                                1,
                                shard.settings().store().writesPerSecond() * OFFLOAD_RATE_SHARE));
    }

    public void start() {
        homeAssignment.check();
    }

    /** What users ask of this node, whichever cell the job is at home in. */
    public JobApi jobs() {
        return jobs;
    }

    /** Takes nothing more, and gives back what has not begun; or takes work again. */
    public void setDraining(boolean so) {
        borrowedTasks.setDraining(so);
        workOffloading.setDraining(so);
    }

    // ---- asking ---------------------------------------------------------------------------------

    private void askHolder(String cell, CellMessage message, Consumer<CellMessage> answer) {
        RemoteCell remote = cellMembership.get(cell);
        if (remote == null) {
            answer.accept(null); // This node's file does not name it: older than another node's.
            return;
        }
        messages++;
        cells.ask(
                cell,
                remote.leader(),
                message,
                first -> {
                    if (first instanceof Redirect e
                            && e.node() != null
                            && !e.node().equals(remote.leader())) {
                        messages++;
                        cells.ask(cell, e.node(), message, answer);
                    } else if (first == null && remote.leader() != null) {
                        messages++;
                        cells.ask(
                                cell,
                                null,
                                message,
                                second ->
                                        answer.accept(second instanceof Redirect ? null : second));
                    } else {
                        answer.accept(first instanceof Redirect ? null : first);
                    }
                });
    }

    /** A message of another cell; every one gets one answer, null if there is none to give now. */
    public void onMessage(CellMessage message, Consumer<CellMessage> answer) {
        if (message instanceof UserRequest u) {
            jobs.onUserRequest(
                    u,
                    response ->
                            answer.accept(
                                    new UserResponse(
                                            response.verdict().name(), response.jobStatus())));
            return;
        }
        if (!node.holdsShard()) {
            String leader = node.leader();
            answer.accept(new Redirect(leader));
            return;
        }
        if (message instanceof Summary summary) {
            cellMembership.onSummary(summary, timers.nowSeconds());
            answer.accept(summary());
        } else if (message instanceof LoanOffer offer) {
            borrowedTasks.onOffer(offer, acceptsOffer(offer), answer);
        } else if (message instanceof LoanRecall r) {
            borrowedTasks.onRecall(r, answer);
        } else if (message instanceof QuotaGrant g) {
            quotaShares.onGrant(g, answer);
        } else if (message instanceof LoanStatus status) {
            lentTasks.onStatus(status, answer);
        } else {
            answer.accept(null);
        }
    }

    /** Whether there is room for what is offered, by what is free now. */
    private boolean acceptsOffer(LoanOffer offer) {
        int most = 0;
        boolean may = false;
        for (CellMessage.FreeCapacity capacity : localSummary.freeCapacity()) {
            MachineType type = shard.machineTypes().get(capacity.kind().machineType());
            if (type != null && ProbePlacement.isAllowed(capacity.kind(), offer.spec())) {
                may = true;
                most +=
                        capacity.idleMachines() * ProbePlacement.slots(offer.spec(), type)
                                + (int)
                                        Math.max(
                                                0,
                                                (capacity.cpus()
                                                                - capacity.idleMachines()
                                                                        * type.cpus())
                                                        / Math.max(
                                                                1e-6, offer.spec().cpusPerTask()));
            }
        }
        boolean whole = offer.spec().shape() != JobSpec.Shape.ARRAY;
        return may && most >= (whole ? offer.endTask() - offer.firstTask() : 1);
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
                shares());
    }

    private List<CellMessage.QuotaShare> shares() {
        double cpus = 0;
        double gpus = 0;
        for (CellMessage.FreeCapacity capacity : localSummary.freeCapacity()) {
            cpus += capacity.cpus();
            gpus += capacity.gpus();
        }
        return quotaShares.summaryRows(cpus, gpus);
    }

    // ---- the holder's loops ---------------------------------------------------------------------

    /** Called a few times a second while this node holds the block. */
    public void reconcile() {
        double now = timers.nowSeconds();
        cellMembership.updateStates(now);
        lentTasks.reconcile(now);
        borrowedTasks.reconcile(now);
        quotaShares.reconcile(now);
        if (now - exchangedAt >= EXCHANGE_INTERVAL_SECONDS) {
            exchangedAt = now;
            Summary mine = summary();
            for (RemoteCell remote : cellMembership.all().values()) {
                // Of two cells the one of the lower name begins, as long as that works.
                if (cellDirectory.ownCellName().compareTo(remote.name) < 0
                        || !remote.isHeard(now)) {
                    askHolder(
                            remote.name,
                            mine,
                            message -> {
                                if (message instanceof Summary summary) {
                                    cellMembership.onSummary(summary, timers.nowSeconds());
                                }
                            });
                }
            }
            quotaShares.rebalance(cellMembership.freshSummaries(now));
            offloadWork(now);
        }
    }

    private void offloadWork(double now) {
        int most = (int) budget.available(now);
        List<Job> queue = most == 0 ? List.of() : node.queue();
        if (queue.isEmpty()) {
            return;
        }
        workOffloading.forget(shard.jobs().keySet());
        for (WorkOffloading.Plan p :
                workOffloading.plan(
                        queue,
                        this::fitsHere,
                        shard.quotaUsage()::remainingTasks,
                        localSummary.cpus(),
                        cellMembership.all().values(),
                        most,
                        now,
                        timers.wallClockMillis())) {
            budget.tryTake(1, now);
            lentTasks.lend(p);
        }
    }

    /** Whether some kind of machine in this cell's zones may run the job. */
    private boolean fitsHere(JobSpec spec) {
        for (MachineType type : shard.machineTypes().values()) {
            if (ProbePlacement.slots(spec, type) > 0) {
                for (String zone : cellDirectory.ownCell().zones()) {
                    if (ProbePlacement.isAllowed(new MachineKind(type.name(), zone, false), spec)) {
                        return true;
                    }
                }
            }
        }
        return shard.machineTypes().isEmpty();
    }

    // ---- what a new holder reads ----------------------------------------------------------------

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
    public void jobDone(String id) {
        Job job = shard.jobs().get(id);
        if (job != null) {
            lentTasks.onJobDone(job);
        }
    }

    public void addMetrics(Map<String, Metric> f) {
        f.put(
                "cells.silent",
                Metric.gauge(
                        "other cells from which nothing is heard", cellMembership::silentCount));
        f.put(
                "cells.tasks.lent",
                Metric.gauge(
                        "tasks that other cells were offered or have taken",
                        lentTasks::lentTaskCount));
        f.put(
                "cells.tasks.taken",
                Metric.gauge(
                        "tasks of other cells that are this one's to run",
                        borrowedTasks::borrowedTaskCount));
        f.put("cells.lent", Metric.counter("hand-overs to other cells", lentTasks::loansMade));
        f.put(
                "cells.returned",
                Metric.counter("hand-overs that came to an end", lentTasks::loansReturned));
        f.put(
                "cells.taken",
                Metric.counter("hand-overs taken from other cells", borrowedTasks::loansTaken));
        f.put(
                "cells.refused",
                Metric.counter("hand-overs refused for lack of room", borrowedTasks::loansRefused));
        f.put(
                "cells.shares.given",
                Metric.counter(
                        "parts of teams' limits given to other cells", quotaShares::grantsSent));
        f.put(
                "cells.shares.came",
                Metric.counter(
                        "parts of teams' limits that came from other cells",
                        quotaShares::grantsReceived));
        f.put(
                "cells.shares.under.way",
                Metric.gauge(
                        "parts given that are not known to have arrived",
                        quotaShares::grantsInTransit));
        f.put(
                "cells.messages",
                Metric.counter("messages sent to other cells by the holder", () -> messages));
    }
}
