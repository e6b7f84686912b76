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
    private static final double TICK_SECONDS = 0.25;

    /** A minute. */
    private static final int SUMMARY_TICKS = 240;

    final ClusterSettings settings;
    private final Timers timers;
    private final DirectCancellations directCancellations;
    private final PeerNodes peerNodes;
    final ShardState shard;
    final HeartbeatProcessor heartbeatProcessor;
    final Scheduler scheduler;
    final Leadership leadership;
    final StateWriter stateWriter;
    private final MembershipView membership;
    private final Gossip gossip;
    final CancellationWatermark cancellationWatermark;
    private final CancellationProof cancellationProof;
    private final LoopTimeAccounting loopTime;
    private final FailoverTimings failover;
    private final CloudReconciler cloudReconciler;
    final CloudIntents cloudIntents;
    private final CloudIntentExecutor intentExecutor;
    final GarbageCollector garbageCollector;
    private final LeasedRoles leasedRoles;
    private final JobSubmissionService submissions;

    /** Null without other cells. */
    private final CellService cellService;

    /** What the settings say before this cell's part of it is taken. */
    private final ClusterSettings clusterWideSettings;

    private final CellDirectory cellDirectory;
    private final HeartbeatService heartbeatService;
    private final RetryAfter retryAfter;
    private boolean isTicking;
    private long ticks;
    private long schedulingRounds;
    private long launchesBefore;
    private double totalRoundSeconds;
    private double lastRoundSeconds;
    private double lastRoundEndedAt;
    private boolean isRoundRequested;

    /** A node of the only cell there is. */
    public Controller(
            ClusterSettings settings,
            Store store,
            Cloud cloud,
            DirectCommands direct,
            Timers timers,
            PeerNodes siblings,
            Random random) {
        this(settings, store, cloud, direct, timers, siblings, random, null, null);
    }

    /** {@code directory} and {@code others}: null if there are no other cells. */
    public Controller(
            ClusterSettings clusterWideSettings,
            Store store,
            Cloud cloud,
            DirectCommands direct,
            Timers timers,
            PeerNodes siblings,
            Random random,
            CellDirectory cellDirectory,
            RemoteCells others) {
        this.clusterWideSettings = clusterWideSettings;
        this.cellDirectory = cellDirectory;
        this.settings =
                cellDirectory == null
                        ? clusterWideSettings
                        : clusterWideSettings.withTeams(cellDirectory.ownCell().teams());
        this.timers = timers;
        this.peerNodes = siblings;
        this.loopTime = new LoopTimeAccounting(timers::nowSeconds);
        ImageRecords images = new ImageRecords(settings);
        this.shard = new ShardState(settings, images::restoreImages);
        this.heartbeatProcessor = new HeartbeatProcessor(shard);
        this.failover = new FailoverTimings(shard);
        this.scheduler = new Scheduler(shard, random, loopTime);
        this.membership = new MembershipView(settings, timers);
        Incarnation incarnation =
                new Incarnation(settings.node(), timers.wallClockMillis(), random);
        this.leadership =
                new Leadership(settings, store, timers, random, incarnation, new Leading());
        this.cancellationWatermark = new CancellationWatermark(settings, timers);
        this.gossip =
                new Gossip(
                        timers,
                        siblings,
                        leadership,
                        membership,
                        shard,
                        cancellationWatermark,
                        this::holdsShard,
                        this::onJobEnded,
                        this::requestRound);
        this.submissions =
                new JobSubmissionService(
                        settings,
                        store,
                        timers,
                        this.gossip::isServedByStore,
                        this.gossip,
                        cellDirectory != null);
        this.cellService = cellDirectory == null ? null : new InCells().desk(store, others, random);
        this.stateWriter =
                new StateWriter(store, timers, shard, images, new Keeping(), cellService);
        this.cloudIntents = new CloudIntents(shard, timers, this::contributeToNextWrite);
        this.cloudReconciler =
                new CloudReconciler(
                        shard,
                        new ScalingPlanner(shard, scheduler),
                        cloudIntents,
                        new CloudReconciler.Ports(store, cloud, timers),
                        leadership::isLeading,
                        this::requestRound);
        this.intentExecutor =
                new CloudIntentExecutor(
                        settings, store, cloud, timers, random, leadership.leaseSeconds());
        this.garbageCollector = new GarbageCollector(settings, store, timers);
        this.leasedRoles =
                new LeasedRoles(
                        settings,
                        store,
                        timers,
                        random,
                        incarnation,
                        leadership.leaseSeconds(),
                        List.of(intentExecutor, garbageCollector));
        this.cancellationProof =
                new CancellationProof(
                        store,
                        timers,
                        new Random(settings.node().hashCode()),
                        shard,
                        this::holdsShard,
                        new Proof());
        this.heartbeatService =
                new HeartbeatService(
                        shard,
                        heartbeatProcessor,
                        leadership,
                        stateWriter,
                        membership,
                        cancellationWatermark,
                        siblings,
                        timers,
                        loopTime,
                        this::requestRound);
        this.directCancellations =
                new DirectCancellations(
                        shard,
                        heartbeatProcessor,
                        heartbeatService,
                        leadership,
                        direct,
                        timers,
                        this::requestRound);
        this.retryAfter = new RetryAfter(settings, timers);
        submissions.onCancelled(
                job -> {
                    shard.jobDependencies()
                            .recordOutcome(job.jobId(), false, timers.wallClockMillis());
                    requestRound();
                    siblings.announceJobEnd(job);
                });
        submissions.onKnownCancelled(gossip::onCancellationConfirmed);
    }

    public void start() {
        leadership.start();
        cloudReconciler.loadMachineTypes();
        leasedRoles.start();
        if (cellService != null) {
            cellService.start();
        }
        gossip.start();
    }

    /** Hands over what it leads and holds: the node is being stopped on purpose. */
    public void stop() {
        leadership.stop();
        leasedRoles.stop();
    }

    /** The duties, and who has them as far as this node knows. */
    public List<LeasedRoles.Role> roles() {
        return leasedRoles.roles();
    }

    /** Whether this node may do that duty now, by its own clock. */
    boolean holdsRole(String duty) {
        return leasedRoles.holds(duty);
    }

    /** What users ask. */
    public JobApi jobApi() {
        return cellService == null ? submissions : cellService.jobs();
    }

    /** The desk for other cells, null without such. */
    public CellService otherCells() {
        return cellService;
    }

    /** Why the job can never run, here or in any other cell, or null if it can. */
    public String reasonImpossible(JobSpec spec) {
        return spec.reasonImpossible(
                shard.machineTypes(),
                clusterWideSettings,
                cellDirectory == null ? Set.of() : cellDirectory.zonesOfOtherCells());
    }

    /** The machine types, empty until they are known. */
    public Map<String, MachineType> machineTypes() {
        return shard.machineTypes();
    }

    /** A worker's report. */
    public void onHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        heartbeatService.receive(heartbeat, answer);
    }

    /** A report that a sibling asks about; {@code passOn}: the leader may be asked in turn. */
    public void onRelayedHeartbeat(
            Heartbeat heartbeat, boolean passOn, Consumer<HeartbeatResponse> answer) {
        heartbeatService.answerForPeer(heartbeat, passOn, answer);
    }

    /** In how many seconds a user who can't be answered now shall come back. */
    public int retryAfterSeconds() {
        return retryAfter.nextRetryAfterSeconds();
    }

    private void onJobEnded(JobStatus job) {
        submissions.onJobEnded(job);
    }

    /** A sibling's view of itself. */
    public void onPeerState(String by, long token, boolean leads, boolean served) {
        gossip.onPeerState(by, token, leads, served);
    }

    /** A sibling's word that the store has the job's end, which never changes. */
    public void onJobEndedAtPeer(JobStatus job) {
        gossip.onJobEndedAtPeer(job);
    }

    /** A sibling's word on cancellations. */
    public void onPeerState(CancellationDigest digest) {
        gossip.onPeerState(digest);
    }

    /** Whether users are better off here than at a sibling, as far as known. */
    public boolean isHealthy() {
        return gossip.isHealthy();
    }

    /** What this node knows of the jobs as their holder; nothing if it does not hold them. */
    public List<JobProgress> jobProgress(List<String> jobs) {
        return gossip.progress(jobs);
    }

    /** The token that it leads with, 0 if it does not lead. */
    public long fencingTokenIfLeading() {
        return leadership.isLeading() ? leadership.fencingToken() : 0;
    }

    /** Whether it holds the block and knows the jobs. */
    public boolean holdsShard() {
        return leadership.isLeading() && stateWriter.isLoaded();
    }

    /** Rounds of placing so far. */
    long schedulingRounds() {
        return schedulingRounds;
    }

    public Map<String, Metric> metrics() {
        Map<String, Metric> all =
                new NodeMetrics(
                                timers,
                                shard,
                                heartbeatProcessor,
                                scheduler,
                                leadership,
                                stateWriter,
                                membership,
                                cancellationWatermark,
                                heartbeatService)
                        .all(() -> totalRoundSeconds, directCancellations::sent);
        new RoleMetrics(
                        cloudIntents,
                        intentExecutor,
                        garbageCollector,
                        leasedRoles,
                        failover,
                        loopTime)
                .addTo(all);
        if (cellService != null) {
            cellService.addMetrics(all);
        }
        return all;
    }

    // ---- leading --------------------------------------------------------------------------------

    private final class Leading implements Leadership.Listener {
        @Override
        public void onLeadershipWon(long token, long leaseId, long blockRevision) {
            shard.takeLeadership(token);
            cancellationWatermark.reset();
            cloudReconciler.startLeading(leaseId);
            gossip.broadcast();
            failover.onLeadershipWon(timers.nowSeconds());
            launchesBefore = heartbeatProcessor.launchCount();
            stateWriter.start(
                    StoreKeys.SHARDS + "all", blockRevision, Controller.this::requestRound);
            cancellationProof.start();
            if (!isTicking) {
                isTicking = true;
                tick();
            }
            heartbeatService.onLeaderKnown();
        }

        @Override
        public void onLeaderChanged(String leader) {
            heartbeatService.onLeaderKnown();
        }

        @Override
        public void onLeadershipLost(String why) {
            LOG.info(shard.serviceLevels().summary());
            stateWriter.stop();
            cancellationProof.stop();
            scheduler.forgetOrder();
            shard.giveUpLeadership();
            heartbeatService.releaseAll();
            gossip.broadcast();
        }
    }

    private final class Keeping implements StateWriter.Listener {
        @Override
        public void jobEnded(JobStatus job) {
            if (cellService != null) {
                cellService.jobDone(job.jobId());
            }
            submissions.onJobEnded(job);
            peerNodes.announceJobEnd(job);
        }

        @Override
        public void shardLost() {
            leadership.stepDown("the block is no longer ours");
        }

        @Override
        public void cloudIntentsLoaded(List<Entry> acts) {
            cloudIntents.adopt(acts);
        }

        @Override
        public void cloudIntentChanged(Entry act) {
            cloudIntents.onRecordChanged(act);
        }

        @Override
        public void runningJobsKnown(double sinceMs) {
            cancellationWatermark.advanceByStore(sinceMs);
            heartbeatService.onLeaderKnown();
        }

        @Override
        public Set<String> cancelledMeanwhile() {
            return cancellationWatermark.unprovenCancellations();
        }

        /** Reads everything again, under the same token. */
        @Override
        public void reloadRequired(String why) {
            LOG.warn("reloading: {}", why);
            if (leadership.isLeading()) {
                stateWriter.start(
                        StoreKeys.SHARDS + "all",
                        stateWriter.shardRevision(),
                        Controller.this::requestRound);
            }
        }
    }

    private final class Proof implements CancellationProof.Listener {
        @Override
        public void jobClosed(String jobId) {
            shard.finishJob(jobId);
            requestRound();
        }

        @Override
        public void cancellationsKnownAsOf(double atMs) {
            cancellationWatermark.advanceByStore(atMs);
        }
    }

    /** What the desk for other cells has to know of this node. */
    private final class InCells implements CellService.Node {
        /** In here, so that nothing about other cells is loaded where there are none. */
        CellService desk(Store store, RemoteCells others, Random random) {
            return new CellService(
                    cellDirectory,
                    shard,
                    Controller.this::contributeToNextWrite,
                    store,
                    timers,
                    submissions,
                    others,
                    random,
                    this);
        }

        @Override
        public boolean holdsShard() {
            return leadership.isLeading() && stateWriter.isLoaded() && leadership.isLeaseValid();
        }

        @Override
        public String leader() {
            return leadership.leader();
        }

        @Override
        public List<Job> queue() {
            return scheduler.orderedJobs(timers.nowSeconds(), timers.wallClockMillis());
        }

        @Override
        public void cancelled(JobStatus job) {
            submissions.onJobEnded(job);
            peerNodes.announceJobEnd(job);
        }
    }

    // ---- rounds ---------------------------------------------------------------------------------

    /** Something changed that may let work be placed or written. */
    private void requestRound() {
        if (!isRoundRequested) {
            isRoundRequested = true;
            // Rounds take at most a fifth of the time: check-ins, users and the lease need the
            // rest.
            double pause =
                    Math.max(0.02, lastRoundEndedAt + 4 * lastRoundSeconds - timers.nowSeconds());
            timers.schedule(
                    pause,
                    () -> {
                        isRoundRequested = false;
                        runRound();
                    });
        }
    }

    private void contributeToNextWrite(StateWriter.BatchContributor contributor) {
        stateWriter.enqueue(contributor);
        requestRound();
    }

    private void tick() {
        if (!leadership.isLeading()) {
            isTicking = false;
            return;
        }
        if (timers.nowSeconds() >= lastRoundEndedAt + 4 * lastRoundSeconds) {
            runRound();
        }
        if (stateWriter.isLoaded()) {
            failover.onJobsRead(timers.nowSeconds());
            failover.update(timers.nowSeconds(), heartbeatProcessor.launchCount() - launchesBefore);
        }
        if (cellService != null && stateWriter.isLoaded() && leadership.isLeaseValid()) {
            cellService.reconcile();
        }
        double began = timers.nowSeconds();
        cloudReconciler.reconcile(stateWriter.isLoaded() && leadership.isLeaseValid());
        loopTime.record(Activity.PLANNING, began);
        ticks++;
        if (ticks % SUMMARY_TICKS == 0) {
            LOG.info(shard.serviceLevels().summary());
        }
        if (ticks % SUMMARY_TICKS == 0 || LOG.isDebugEnabled() && ticks % 20 == 0) {
            LOG.info(
                    "{} rounds={} writes={} checkins={} busy={}",
                    NodeMetrics.summary(shard, heartbeatProcessor, scheduler),
                    stateWriter.transactionsSent(),
                    stateWriter.recordsSent(),
                    heartbeatService.receivedCount(),
                    String.format("%.1f", totalRoundSeconds) + loopTime);
        }
        timers.schedule(TICK_SECONDS, this::tick);
    }

    private void runRound() {
        if (!leadership.isLeading()
                || !stateWriter.isLoaded()
                || stateWriter.isWriting()
                || !leadership.isLeaseValid()) {
            return;
        }
        schedulingRounds++;
        double began = timers.nowSeconds();
        scheduler.placeWaitingTasks(
                began, timers.wallClockMillis(), 20 * settings.store().maxTransactionOperations());
        double placed = timers.nowSeconds();
        loopTime.record(Activity.PLACING, began);
        stateWriter.write(this::onWritten);
        double wrote = timers.nowSeconds();
        loopTime.record(Activity.WRITING, placed);
        directCancellations.send();
        loopTime.record(Activity.STOPPING, wrote);
        lastRoundEndedAt = timers.nowSeconds();
        lastRoundSeconds = lastRoundEndedAt - began;
        totalRoundSeconds += lastRoundSeconds;
    }

    private void onWritten() {
        heartbeatService.onWritten();
        requestRound();
    }
}
