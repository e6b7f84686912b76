package io.kitepath.core;

import io.kitepath.core.leadership.CancellationWatermark;
import io.kitepath.core.leadership.Incarnation;
import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.leadership.MembershipView;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.LoopTimeAccounting;
import io.kitepath.core.port.PeerNodes;
import io.kitepath.core.port.Timers;
import io.kitepath.core.scheduling.Scheduler;
import io.kitepath.core.service.HeartbeatService;
import io.kitepath.core.service.JobSubmissionService;
import io.kitepath.core.service.LeaderComponents;
import io.kitepath.core.service.RetryAfter;
import io.kitepath.core.shard.HeartbeatProcessor;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.CancellationVerifier;
import io.kitepath.core.state.ImageRecords;
import io.kitepath.core.state.StateWriter;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Creates and connects the components of one node. Nothing runs until {@link #start}.
 *
 * <p>The components depend on each other cyclically, so some receive callbacks into this class. The
 * callbacks are not called before its construction is complete. The order of construction affects
 * behaviour, as several constructors draw from the same random source.
 */
final class NodeComponents {
    private final NodeEnvironment environment;
    final ClusterSettings settings;
    final Timers timers;
    private final PeerNodes peerNodes;

    // The shard and the placement of its tasks.
    final LoopTimeAccounting loopTime;
    final ShardState shard;
    final HeartbeatProcessor heartbeatProcessor;
    final FailoverTimings failoverTimings;
    final Scheduler scheduler;

    // Leadership, membership and gossip.
    final MembershipView membership;
    final Leadership leadership;
    final CancellationWatermark cancellationWatermark;
    final Gossip gossip;

    // Users' jobs, remote cells and the stored records of the shard.
    final JobSubmissionService submissions;
    final OtherCells otherCells;
    final StateWriter stateWriter;

    // Cloud machines, and the roles that are leased independently of leadership.
    final CloudComponents cloud;

    // Communication with workers, verification of cancellations, and retry delays for users.
    final CancellationVerifier cancellationVerifier;
    final CancellationVerifier dependencyVerifier;
    final HeartbeatService heartbeatService;
    final DirectStopCommands directStopCommands;
    final RetryAfter retryAfter;

    // The leader's loops.
    final RoundRunner roundRunner;
    final CascadeAnnouncer cascadeAnnouncer;
    final LeaderLoop leaderLoop;

    /**
     * Creates all components without starting them.
     *
     * @param settings the settings for the node's cell
     * @param cellNetwork the cells of the cluster, empty if there is only one
     */
    NodeComponents(
            ClusterSettings settings,
            NodeEnvironment environment,
            Optional<CellNetwork> cellNetwork) {
        this.environment = environment;
        this.settings = settings;
        this.timers = environment.timers();
        this.peerNodes = environment.peerNodes();

        this.loopTime = new LoopTimeAccounting(timers::nowSeconds);
        ImageRecords images = new ImageRecords(settings);
        this.shard = new ShardState(settings, images::restoreImages);
        this.heartbeatProcessor = new HeartbeatProcessor(shard);
        this.failoverTimings = new FailoverTimings(shard);
        this.scheduler = new Scheduler(shard, environment.random(), loopTime);

        this.membership = new MembershipView(settings, timers);
        Incarnation incarnation =
                new Incarnation(settings.node(), timers.wallClockMillis(), environment.random());
        this.leadership = newLeadership(incarnation);
        this.cancellationWatermark = new CancellationWatermark(settings, timers);
        this.gossip = newGossip();

        this.submissions = newSubmissions(cellNetwork.isPresent());
        this.otherCells = newOtherCells(cellNetwork);
        ShardEvents shardEvents = new ShardEvents(this);
        this.stateWriter = newStateWriter(images, shardEvents);

        this.cloud = new CloudComponents(this, environment, incarnation);

        this.cancellationVerifier = newCancellationVerifier(shardEvents);
        this.dependencyVerifier = newDependencyVerifier();
        this.heartbeatService = newHeartbeatService();
        this.directStopCommands = newDirectStopCommands();
        this.retryAfter = new RetryAfter(settings, timers);

        this.roundRunner = new RoundRunner(this);
        this.cascadeAnnouncer = new CascadeAnnouncer(this);
        this.leaderLoop = new LeaderLoop(this);
        submissions.onCancelled(this::onCancelledByUser);
        submissions.onKnownCancelled(gossip::onCancellationConfirmed);
    }

    private Leadership newLeadership(Incarnation incarnation) {
        return new Leadership(
                settings,
                environment.store(),
                timers,
                environment.random(),
                incarnation,
                new LeadershipTransitions(this));
    }

    private Gossip newGossip() {
        return new Gossip(
                timers,
                peerNodes,
                leadership,
                membership,
                shard,
                cancellationWatermark,
                new Gossip.Node() {
                    @Override
                    public boolean isServingShard() {
                        return NodeComponents.this.isServingShard();
                    }

                    @Override
                    public void onJobEnded(JobStatus job) {
                        submissions.onJobEnded(job);
                    }

                    @Override
                    public void requestRound() {
                        NodeComponents.this.requestRound();
                    }
                });
    }

    private JobSubmissionService newSubmissions(boolean mayLendTasks) {
        return new JobSubmissionService(
                settings,
                environment.store(),
                timers,
                gossip::isServedByStore,
                gossip,
                mayLendTasks);
    }

    private OtherCells newOtherCells(Optional<CellNetwork> cellNetwork) {
        return cellNetwork.isPresent()
                ? new ConnectedCells(
                        this, cellNetwork.get(), environment.store(), environment.random())
                : new NoOtherCells(submissions);
    }

    private StateWriter newStateWriter(ImageRecords images, StateWriter.Listener listener) {
        return new StateWriter(
                environment.store(), timers, shard, images, listener, otherCells.loanRecords());
    }

    private CancellationVerifier newCancellationVerifier(CancellationVerifier.Listener listener) {
        // A random source of its own, so that its loop does not change the draws of the others.
        Random random = new Random(settings.node().hashCode());
        return new CancellationVerifier(
                environment.store(), timers, random, shard, this::isServingShard, listener);
    }

    private CancellationVerifier newDependencyVerifier() {
        return CancellationVerifier.ofDependencies(
                environment.store(),
                timers,
                new Random(settings.node().hashCode()),
                shard,
                this::isServingShard,
                new DependencyEvents(this));
    }

    private HeartbeatService newHeartbeatService() {
        return new HeartbeatService(
                new LeaderComponents(
                        shard, heartbeatProcessor, leadership, stateWriter, cancellationWatermark),
                membership,
                peerNodes,
                timers,
                loopTime,
                this::requestRound);
    }

    private DirectStopCommands newDirectStopCommands() {
        return new DirectStopCommands(
                shard,
                heartbeatProcessor,
                heartbeatService,
                leadership,
                environment.directCommands(),
                timers,
                this::requestRound);
    }

    /** Starts the loops that run on every node; the leader's loops start on winning the lease. */
    void start() {
        leadership.start();
        cloud.reconciler.loadMachineTypes();
        cloud.leasedRoles.start();
        otherCells.start();
        gossip.start();
    }

    /** Gives up leadership and roles permanently, for an intended stop of the node. */
    void stop() {
        leadership.stop();
        cloud.leasedRoles.stop();
    }

    /** Returns whether this node leads and has loaded the shard's jobs. */
    boolean isServingShard() {
        return leadership.isLeading() && stateWriter.isLoaded();
    }

    /** Returns whether {@link #isServingShard} is true and the lease has certainly not expired. */
    boolean mayActOnShard() {
        return isServingShard() && leadership.isLeaseValid();
    }

    /** Requests a scheduling round after a change that may allow placements or writes. */
    void requestRound() {
        roundRunner.request();
    }

    /** Adds a contribution to the write batch of one of the next scheduling rounds. */
    void contributeToNextWrite(StateWriter.BatchContributor contributor) {
        stateWriter.enqueue(contributor);
        requestRound();
    }

    /** Keeps the committed final state of a job and announces it to the peers. */
    void announceJobEnded(JobStatus job) {
        submissions.onJobEnded(job);
        peerNodes.announceJobEnd(job);
    }

    /** Keeps that jobs will be cancelled for certain and announces it to the peers. */
    void announceImpliedCancellations(List<String> jobIds) {
        submissions.onImpliedCancellations(jobIds);
        peerNodes.announceImpliedCancellations(jobIds);
    }

    private void onCancelledByUser(JobStatus job) {
        shard.jobDependencies().recordOutcome(job.jobId(), false, timers.wallClockMillis());
        requestRound();
        peerNodes.announceJobEnd(job);
    }
}
