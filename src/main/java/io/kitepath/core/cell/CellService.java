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
    private static final double EVERY_S = 1;

    /**
     * Of the changes a second that the store allows, the hand-overs a second, each of which costs
     * about four here.
     */
    private static final double SPILL_SHARE = 0.05;

    /** What the desk has to know of its node. */
    public interface Node {
        /** Whether it holds the block, knows its jobs and is in touch with the store. */
        boolean holds();

        /** Who leads, as far as known. */
        String leader();

        /** Unfinished jobs in the order of service. */
        List<Job> queue();

        /** A job that was lent in part is cancelled in the store. */
        void cancelled(JobStatus job);
    }

    private final CellDirectory directory;
    private final ShardState block;
    private final Timers timers;
    private final Node node;
    private final RemoteCells cells;
    private final CellMembership neighbours;
    private final LocalSummary here;
    private final WorkOffloading spill;
    private final LentTasks lending;
    private final BorrowedTasks guests;
    private final QuotaShares shares;
    private final HomeAssignment homes;
    private final HomeCellJobs jobs;
    private final TokenBucket budget;
    private double exchangedAt = Double.NEGATIVE_INFINITY;
    private long messages;

    public CellService(
            CellDirectory directory,
            ShardState block,
            Consumer<StateWriter.BatchContributor> riding,
            Store store,
            Timers timers,
            JobSubmissionService registry,
            RemoteCells cells,
            Random random,
            Node node) {
        this.directory = directory;
        this.block = block;
        this.timers = timers;
        this.node = node;
        this.cells = cells;
        TreeSet<String> others = new TreeSet<>(directory.cells().keySet());
        others.remove(directory.own());
        Map<String, Integer> zones = new HashMap<>();
        others.forEach(c -> zones.put(c, Math.max(1, directory.cells().get(c).zones().size())));
        this.neighbours = new CellMembership(block.facts(), others);
        this.here = new LocalSummary(block);
        this.spill = new WorkOffloading(block.facts(), block.types(), zones, random);
        this.lending =
                new LentTasks(
                        directory.own(),
                        block,
                        riding,
                        timers,
                        neighbours,
                        spill,
                        this::askHolder,
                        random,
                        node::cancelled);
        this.guests =
                new BorrowedTasks(directory.own(), block, riding, timers, this::askHolder, random);
        this.shares =
                new QuotaShares(directory.own(), block, riding, timers, this::askHolder, random);
        block.teamUse().limits(shares);
        drain(directory.here().drained());
        this.homes = new HomeAssignment(directory, store, timers);
        this.jobs = new HomeCellJobs(directory, registry, cells, homes::agreed);
        this.budget = new TokenBucket(Math.max(1, block.facts().store().writeRps() * SPILL_SHARE));
    }

    public void start() {
        homes.look();
    }

    /** What users ask of this node, whichever cell the job is at home in. */
    public JobApi jobs() {
        return jobs;
    }

    /** Takes nothing more, and gives back what has not begun; or takes work again. */
    public void drain(boolean so) {
        guests.drain(so);
        spill.drain(so);
    }

    // ---- asking ---------------------------------------------------------------------------------

    private void askHolder(String cell, CellMessage m, Consumer<CellMessage> answer) {
        RemoteCell n = neighbours.get(cell);
        if (n == null) {
            answer.accept(null); // This node's file does not name it: older than another node's.
            return;
        }
        messages++;
        cells.ask(
                cell,
                n.leader(),
                m,
                first -> {
                    if (first instanceof Redirect e
                            && e.node() != null
                            && !e.node().equals(n.leader())) {
                        messages++;
                        cells.ask(cell, e.node(), m, answer);
                    } else if (first == null && n.leader() != null) {
                        messages++;
                        cells.ask(
                                cell,
                                null,
                                m,
                                second ->
                                        answer.accept(second instanceof Redirect ? null : second));
                    } else {
                        answer.accept(first instanceof Redirect ? null : first);
                    }
                });
    }

    /** A message of another cell; every one gets one answer, null if there is none to give now. */
    public void asked(CellMessage m, Consumer<CellMessage> answer) {
        if (m instanceof UserRequest u) {
            jobs.asked(u, a -> answer.accept(new UserResponse(a.verdict().name(), a.state())));
            return;
        }
        if (!node.holds()) {
            String leader = node.leader();
            answer.accept(new Redirect(leader));
            return;
        }
        if (m instanceof Summary s) {
            neighbours.heard(s, timers.now());
            answer.accept(summary());
        } else if (m instanceof LoanOffer o) {
            guests.offered(o, welcome(o), answer);
        } else if (m instanceof LoanRecall r) {
            guests.recalled(r, answer);
        } else if (m instanceof QuotaGrant g) {
            shares.granted(g, answer);
        } else if (m instanceof LoanStatus w) {
            lending.said(w, answer);
        } else {
            answer.accept(null);
        }
    }

    /** Whether there is room for what is offered, by what is free now. */
    private boolean welcome(LoanOffer o) {
        int most = 0;
        boolean may = false;
        for (CellMessage.FreeCapacity r : here.room()) {
            MachineType t = block.types().get(r.kind().type());
            if (t != null && ProbePlacement.allowed(r.kind(), o.job())) {
                may = true;
                most +=
                        r.idle() * ProbePlacement.slots(o.job(), t)
                                + (int)
                                        Math.max(
                                                0,
                                                (r.cpus() - r.idle() * t.cpus())
                                                        / Math.max(1e-6, o.job().cpus()));
            }
        }
        boolean whole = o.job().shape() != JobSpec.Shape.ARRAY;
        return may && most >= (whole ? o.until() - o.from() : 1);
    }

    private Summary summary() {
        return new Summary(
                directory.own(),
                node.leader(),
                directory.version(),
                !guests.draining(),
                here.room(),
                here.waitS(),
                neighbours.hears(timers.now()),
                shares());
    }

    private List<CellMessage.QuotaShare> shares() {
        double cpus = 0;
        double gpus = 0;
        for (CellMessage.FreeCapacity r : here.room()) {
            cpus += r.cpus();
            gpus += r.gpus();
        }
        return shares.told(cpus, gpus);
    }

    // ---- the holder's loops ---------------------------------------------------------------------

    /** Called a few times a second while this node holds the block. */
    public void tend() {
        double now = timers.now();
        neighbours.look(now);
        lending.tend(now);
        guests.tend(now);
        shares.tend(now);
        if (now - exchangedAt >= EVERY_S) {
            exchangedAt = now;
            Summary mine = summary();
            for (RemoteCell n : neighbours.all().values()) {
                // Of two cells the one of the lower name begins, as long as that works.
                if (directory.own().compareTo(n.name) < 0 || !n.hears(now)) {
                    askHolder(
                            n.name,
                            mine,
                            a -> {
                                if (a instanceof Summary s) {
                                    neighbours.heard(s, timers.now());
                                }
                            });
                }
            }
            shares.divide(neighbours.fresh(now));
            spillOver(now);
        }
    }

    private void spillOver(double now) {
        int most = (int) budget.available(now);
        List<Job> queue = most == 0 ? List.of() : node.queue();
        if (queue.isEmpty()) {
            return;
        }
        spill.forget(block.jobs().keySet());
        for (WorkOffloading.Plan p :
                spill.plan(
                        queue,
                        this::fitsHere,
                        block.teamUse()::left,
                        here.cpus(),
                        neighbours.all().values(),
                        most,
                        now,
                        timers.wallMs())) {
            budget.take(1, now);
            lending.lend(p);
        }
    }

    /** Whether some kind of machine in this cell's zones may run the job. */
    private boolean fitsHere(JobSpec s) {
        for (MachineType t : block.types().values()) {
            if (ProbePlacement.slots(s, t) > 0) {
                for (String zone : directory.here().zones()) {
                    if (ProbePlacement.allowed(new MachineKind(t.name(), zone, false), s)) {
                        return true;
                    }
                }
            }
        }
        return block.types().isEmpty();
    }

    // ---- what a new holder reads ----------------------------------------------------------------

    @Override
    public void adopt(StateLoader.LoadedState found) {
        lending.adopt(found, timers.now());
        guests.adopt(found, timers.now());
        shares.adopt(found);
    }

    @Override
    public void leaving(Entry entry) {
        lending.leaving(entry);
    }

    /** The store has it that the job is done. */
    public void done(String id) {
        Job job = block.jobs().get(id);
        if (job != null) {
            lending.over(job);
        }
    }

    public void figures(Map<String, Metric> f) {
        f.put(
                "cells.silent",
                Metric.now("other cells from which nothing is heard", neighbours::silentOnes));
        f.put(
                "cells.tasks.lent",
                Metric.now("tasks that other cells were offered or have taken", lending::tasksOut));
        f.put(
                "cells.tasks.taken",
                Metric.now("tasks of other cells that are this one's to run", guests::tasksHere));
        f.put("cells.lent", Metric.total("hand-overs to other cells", lending::lent));
        f.put("cells.returned", Metric.total("hand-overs that came to an end", lending::returned));
        f.put("cells.taken", Metric.total("hand-overs taken from other cells", guests::taken));
        f.put(
                "cells.refused",
                Metric.total("hand-overs refused for lack of room", guests::refused));
        f.put(
                "cells.shares.given",
                Metric.total("parts of teams' limits given to other cells", shares::given));
        f.put(
                "cells.shares.came",
                Metric.total("parts of teams' limits that came from other cells", shares::came));
        f.put(
                "cells.shares.under.way",
                Metric.now("parts given that are not known to have arrived", shares::underWay));
        f.put(
                "cells.messages",
                Metric.total("messages sent to other cells by the holder", () -> messages));
    }
}
