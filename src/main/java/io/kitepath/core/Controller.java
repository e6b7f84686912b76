package io.kitepath.core;

import io.kitepath.core.cell.CellService;
import io.kitepath.core.leadership.CancellationWatermark;
import io.kitepath.core.leadership.Incarnation;
import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.leadership.MembershipView;
import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.LoopTimeAccounting;
import io.kitepath.core.model.LoopTimeAccounting.Activity;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.model.Metric;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.DirectCommands;
import io.kitepath.core.port.PeerNodes;
import io.kitepath.core.port.RemoteCells;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Timers;
import io.kitepath.core.role.CloudIntentExecutor;
import io.kitepath.core.role.CloudIntents;
import io.kitepath.core.role.GarbageCollector;
import io.kitepath.core.role.LeasedRoles;
import io.kitepath.core.scaling.CloudReconciler;
import io.kitepath.core.scaling.ScalingPlanner;
import io.kitepath.core.scheduling.Scheduler;
import io.kitepath.core.service.HeartbeatService;
import io.kitepath.core.service.JobApi;
import io.kitepath.core.service.JobSubmissionService;
import io.kitepath.core.service.RetryAfter;
import io.kitepath.core.shard.HeartbeatProcessor;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.CancellationProof;
import io.kitepath.core.state.ImageRecords;
import io.kitepath.core.state.StateWriter;
import io.kitepath.core.state.StoreKeys;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller node: puts leadership, the block and the users' registry together and runs their
 * loops. Everything happens on one event loop.
 */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final double TICK_S = 0.25;

    /** A minute. */
    private static final int SUMMARY_TICKS = 240;

    final ClusterSettings facts;
    private final Timers timers;
    private final DirectCancellations stops;
    private final PeerNodes siblings;
    final ShardState block;
    final HeartbeatProcessor heartbeats;
    final Scheduler placer;
    final Leadership leadership;
    final StateWriter keeper;
    private final MembershipView views;
    private final Gossip gossip;
    final CancellationWatermark known;
    private final CancellationProof proof;
    private final LoopTimeAccounting spent;
    private final FailoverTimings takeover;
    private final CloudReconciler rentals;
    final CloudIntents intents;
    private final CloudIntentExecutor carrier;
    final GarbageCollector sweep;
    private final LeasedRoles duties;
    private final JobSubmissionService registry;

    /** Null without other cells. */
    private final CellService cells;

    /** What the settings say before this cell's part of it is taken. */
    private final ClusterSettings whole;

    private final CellDirectory directory;
    private final HeartbeatService desk;
    private final RetryAfter retries;
    private boolean ticking;
    private long ticks;
    private long rounds;
    private long launchesBefore;
    private double roundS;
    private double roundTook;
    private double roundEnded;
    private boolean soonAsked;

    /** A node of the only cell there is. */
    public Controller(
            ClusterSettings facts,
            Store store,
            Cloud cloud,
            DirectCommands direct,
            Timers timers,
            PeerNodes siblings,
            Random random) {
        this(facts, store, cloud, direct, timers, siblings, random, null, null);
    }

    /** {@code directory} and {@code others}: null if there are no other cells. */
    public Controller(
            ClusterSettings settings,
            Store store,
            Cloud cloud,
            DirectCommands direct,
            Timers timers,
            PeerNodes siblings,
            Random random,
            CellDirectory directory,
            RemoteCells others) {
        this.whole = settings;
        this.directory = directory;
        this.facts = directory == null ? settings : settings.withTeams(directory.here().teams());
        this.timers = timers;
        this.siblings = siblings;
        this.spent = new LoopTimeAccounting(timers::now);
        ImageRecords images = new ImageRecords(facts);
        this.block = new ShardState(facts, images::recall);
        this.heartbeats = new HeartbeatProcessor(block);
        this.takeover = new FailoverTimings(block);
        this.placer = new Scheduler(block, random, spent);
        this.views = new MembershipView(facts, timers);
        Incarnation incarnation = new Incarnation(facts.node(), timers.wallMs(), random);
        this.leadership = new Leadership(facts, store, timers, random, incarnation, new Leading());
        this.known = new CancellationWatermark(facts, timers);
        this.gossip =
                new Gossip(
                        timers,
                        siblings,
                        leadership,
                        views,
                        block,
                        known,
                        this::holds,
                        this::ended,
                        this::soon);
        this.registry =
                new JobSubmissionService(
                        facts, store, timers, this.gossip::served, this.gossip, directory != null);
        this.cells = directory == null ? null : new InCells().desk(store, others, random);
        this.keeper = new StateWriter(store, timers, block, images, new Keeping(), cells);
        this.intents = new CloudIntents(block, timers, this::ride);
        this.rentals =
                new CloudReconciler(
                        block,
                        new ScalingPlanner(block, placer),
                        intents,
                        store,
                        cloud,
                        timers,
                        leadership::leading,
                        this::soon);
        this.carrier =
                new CloudIntentExecutor(facts, store, cloud, timers, random, leadership.lifeS());
        this.sweep = new GarbageCollector(facts, store, timers);
        this.duties =
                new LeasedRoles(
                        facts,
                        store,
                        timers,
                        random,
                        incarnation,
                        leadership.lifeS(),
                        List.of(carrier, sweep));
        this.proof =
                new CancellationProof(
                        store,
                        timers,
                        new Random(facts.node().hashCode()),
                        block,
                        this::holds,
                        new Proof());
        this.desk =
                new HeartbeatService(
                        block,
                        heartbeats,
                        leadership,
                        keeper,
                        views,
                        known,
                        siblings,
                        timers,
                        spent,
                        this::soon);
        this.stops =
                new DirectCancellations(
                        block, heartbeats, desk, leadership, direct, timers, this::soon);
        this.retries = new RetryAfter(facts, timers);
        registry.onCancelled(
                job -> {
                    block.pipelines().ended(job.id(), false, timers.wallMs());
                    soon();
                    siblings.over(job);
                });
        registry.onKnownCancelled(gossip::learned);
    }

    public void start() {
        leadership.start();
        rentals.learnTypes();
        duties.start();
        if (cells != null) {
            cells.start();
        }
        gossip.start();
    }

    /** Hands over what it leads and holds: the node is being stopped on purpose. */
    public void stop() {
        leadership.retire();
        duties.retire();
    }

    /** The duties, and who has them as far as this node knows. */
    public List<LeasedRoles.RoleHolder> duties() {
        return duties.seats();
    }

    /** Whether this node may do that duty now, by its own clock. */
    boolean entitled(String duty) {
        return duties.holds(duty);
    }

    /** What users ask. */
    public JobApi registry() {
        return cells == null ? registry : cells.jobs();
    }

    /** The desk for other cells, null without such. */
    public CellService cells() {
        return cells;
    }

    /** Why the job can never run, here or in any other cell, or null if it can. */
    public String impossible(JobSpec s) {
        return s.impossible(
                block.types(), whole, directory == null ? Set.of() : directory.zonesElsewhere());
    }

    /** The machine types, empty until they are known. */
    public Map<String, MachineType> types() {
        return block.types();
    }

    /** A worker's report. */
    public void heartbeat(Heartbeat report, Consumer<HeartbeatResponse> answer) {
        desk.heartbeat(report, answer);
    }

    /** A report that a sibling asks about; {@code passOn}: the leader may be asked in turn. */
    public void answerFor(Heartbeat report, boolean passOn, Consumer<HeartbeatResponse> answer) {
        desk.answerFor(report, passOn, answer);
    }

    /** In how many seconds a user who can't be answered now shall come back. */
    public int retryS() {
        return retries.refuse();
    }

    private void ended(JobStatus job) {
        registry.ended(job);
    }

    /** A sibling's view of itself. */
    public void told(String by, long token, boolean leads, boolean served) {
        gossip.told(by, token, leads, served);
    }

    /** A sibling's word that the store has the job's end, which never changes. */
    public void toldOver(JobStatus job) {
        gossip.toldOver(job);
    }

    /** A sibling's word on cancellations. */
    public void told(CancellationDigest digest) {
        gossip.told(digest);
    }

    /** Whether users are better off here than at a sibling, as far as known. */
    public boolean healthy() {
        return gossip.healthy();
    }

    /** What this node knows of the jobs as their holder; nothing if it does not hold them. */
    public List<JobProgress> progress(List<String> jobs) {
        return gossip.progress(jobs);
    }

    /** The token that it leads with, 0 if it does not lead. */
    public long leadsWith() {
        return leadership.leading() ? leadership.token() : 0;
    }

    /** Whether it holds the block and knows the jobs. */
    public boolean holds() {
        return leadership.leading() && keeper.loaded();
    }

    /** Rounds of placing so far. */
    long rounds() {
        return rounds;
    }

    public Map<String, Metric> figures() {
        Map<String, Metric> all =
                new NodeMetrics(
                                timers,
                                block,
                                heartbeats,
                                placer,
                                leadership,
                                keeper,
                                views,
                                known,
                                desk)
                        .all(() -> roundS, stops::sent);
        new RoleMetrics(intents, carrier, sweep, duties, takeover, spent).addTo(all);
        if (cells != null) {
            cells.figures(all);
        }
        return all;
    }

    // ---- leading --------------------------------------------------------------------------------

    private final class Leading implements Leadership.Listener {
        @Override
        public void won(long token, long leaseId, long blockRevision) {
            block.hold(token);
            known.begin();
            rentals.hold(leaseId);
            gossip.tell();
            takeover.begins(timers.now());
            launchesBefore = heartbeats.launches();
            keeper.start(StoreKeys.BLOCKS + "all", blockRevision, Controller.this::soon);
            proof.start();
            if (!ticking) {
                ticking = true;
                tick();
            }
            desk.leaderKnown();
        }

        @Override
        public void follows(String leader) {
            desk.leaderKnown();
        }

        @Override
        public void lost(String why) {
            LOG.info(block.served().summary());
            keeper.stop();
            proof.stop();
            placer.forget();
            block.yield();
            desk.releaseAll();
            gossip.tell();
        }
    }

    private final class Keeping implements StateWriter.Listener {
        @Override
        public void over(JobStatus job) {
            if (cells != null) {
                cells.done(job.id());
            }
            registry.ended(job);
            siblings.over(job);
        }

        @Override
        public void blockLost() {
            leadership.stepDown("the block is no longer ours");
        }

        @Override
        public void intended(List<Entry> acts) {
            intents.adopt(acts);
        }

        @Override
        public void acted(Entry act) {
            intents.changed(act);
        }

        @Override
        public void read(double sinceMs) {
            known.proven(sinceMs);
            desk.leaderKnown();
        }

        @Override
        public Set<String> cancelledMeanwhile() {
            return known.told();
        }

        /** Reads everything again, under the same token. */
        @Override
        public void outOfStep(String why) {
            LOG.warn("reloading: {}", why);
            if (leadership.leading()) {
                keeper.start(
                        StoreKeys.BLOCKS + "all", keeper.blockRevision(), Controller.this::soon);
            }
        }
    }

    private final class Proof implements CancellationProof.Listener {
        @Override
        public void closed(String job) {
            block.jobOver(job);
            soon();
        }

        @Override
        public void proven(double atMs) {
            known.proven(atMs);
        }
    }

    /** What the desk for other cells has to know of this node. */
    private final class InCells implements CellService.Node {
        /** In here, so that nothing about other cells is loaded where there are none. */
        CellService desk(Store store, RemoteCells others, Random random) {
            return new CellService(
                    directory,
                    block,
                    Controller.this::ride,
                    store,
                    timers,
                    registry,
                    others,
                    random,
                    this);
        }

        @Override
        public boolean holds() {
            return leadership.leading() && keeper.loaded() && leadership.inTouch();
        }

        @Override
        public String leader() {
            return leadership.leader();
        }

        @Override
        public List<Job> queue() {
            return placer.queue(timers.now(), timers.wallMs());
        }

        @Override
        public void cancelled(JobStatus job) {
            registry.ended(job);
            siblings.over(job);
        }
    }

    // ---- rounds ---------------------------------------------------------------------------------

    /** Something changed that may let work be placed or written. */
    private void soon() {
        if (!soonAsked) {
            soonAsked = true;
            // Rounds take at most a fifth of the time: check-ins, users and the lease need the
            // rest.
            double pause = Math.max(0.02, roundEnded + 4 * roundTook - timers.now());
            timers.after(
                    pause,
                    () -> {
                        soonAsked = false;
                        round();
                    });
        }
    }

    private void ride(StateWriter.BatchContributor rider) {
        keeper.ride(rider);
        soon();
    }

    private void tick() {
        if (!leadership.leading()) {
            ticking = false;
            return;
        }
        if (timers.now() >= roundEnded + 4 * roundTook) {
            round();
        }
        if (keeper.loaded()) {
            takeover.read(timers.now());
            takeover.look(timers.now(), heartbeats.launches() - launchesBefore);
        }
        if (cells != null && keeper.loaded() && leadership.inTouch()) {
            cells.tend();
        }
        double began = timers.now();
        rentals.tend(keeper.loaded() && leadership.inTouch());
        spent.on(Activity.PLANNING, began);
        ticks++;
        if (ticks % SUMMARY_TICKS == 0) {
            LOG.info(block.served().summary());
        }
        if (ticks % SUMMARY_TICKS == 0 || LOG.isDebugEnabled() && ticks % 20 == 0) {
            LOG.info(
                    "{} rounds={} writes={} checkins={} busy={}",
                    NodeMetrics.summary(block, heartbeats, placer),
                    keeper.rounds(),
                    keeper.written(),
                    desk.received(),
                    String.format("%.1f", roundS) + spent);
        }
        timers.after(TICK_S, this::tick);
    }

    private void round() {
        if (!leadership.leading()
                || !keeper.loaded()
                || keeper.writing()
                || !leadership.inTouch()) {
            return;
        }
        rounds++;
        double began = timers.now();
        placer.place(began, timers.wallMs(), 20 * facts.store().txnOps());
        double placed = timers.now();
        spent.on(Activity.PLACING, began);
        keeper.write(this::written);
        double wrote = timers.now();
        spent.on(Activity.WRITING, placed);
        stops.send();
        spent.on(Activity.STOPPING, wrote);
        roundEnded = timers.now();
        roundTook = roundEnded - began;
        roundS += roundTook;
    }

    private void written() {
        desk.written();
        soon();
    }
}
