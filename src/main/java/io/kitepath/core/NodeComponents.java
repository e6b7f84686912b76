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
import java.util.Optional;
import java.util.Random;

/**
 * The parts of one node, and how they are connected. Nothing runs until {@link #start}.
 *
 * <p>The parts refer to each other in circles, so some are given callbacks into this class, which
 * are not called before all of it is built. The order of construction is part of the behaviour:
 * several constructors draw from the same source of random numbers.
 */
final class NodeComponents {
    private final NodeEnvironment environment;
    final ClusterSettings settings;
    final Timers timers;
    private final PeerNodes peerNodes;

    // The shard, and the placing of its tasks.
    final LoopTimeAccounting loopTime;
    final ShardState shard;
    final HeartbeatProcessor heartbeatProcessor;
    final FailoverTimings failoverTimings;
    final Scheduler scheduler;

    // Leadership, and what nodes know of each other.
    final MembershipView membership;
    final Leadership leadership;
    final CancellationWatermark cancellationWatermark;
    final Gossip gossip;

    // Users' jobs and the shard's records.
    final JobSubmissionService submissions;
    final OtherCells otherCells;
    final StateWriter stateWriter;

    // Machines of the cloud, and the roles that nodes hold apart from leadership.
    final CloudComponents cloud;

    // Workers.
    final CancellationVerifier cancellationVerifier;
    final HeartbeatService heartbeatService;
    final DirectCancellations directCancellations;
    final RetryAfter retryAfter;

    // Loops of the leader.
    final RoundRunner roundRunner;
    final LeaderLoop leaderLoop;

    /**
     * @param settings this cell's part of the settings
     * @param cellNetwork the other cells, empty if there are none
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
        this.heartbeatService = newHeartbeatService();
        this.directCancellations = newDirectCancellations();
        this.retryAfter = new RetryAfter(settings, timers);

        this.roundRunner = new RoundRunner(this);
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
                    public boolean holdsShard() {
                        return NodeComponents.this.holdsShard();
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
        // Its own source of random numbers: its loop must not shift the draws of the others.
        Random random = new Random(settings.node().hashCode());
        return new CancellationVerifier(
                environment.store(), timers, random, shard, this::holdsShard, listener);
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

    private DirectCancellations newDirectCancellations() {
        return new DirectCancellations(
                shard,
                heartbeatProcessor,
                heartbeatService,
                leadership,
                environment.directCommands(),
                timers,
                this::requestRound);
    }

    /** Starts the loops of every node; those of the leader start once it leads. */
    void start() {
        leadership.start();
        cloud.reconciler.loadMachineTypes();
        cloud.leasedRoles.start();
        otherCells.start();
        gossip.start();
    }

    /** Gives up leadership and roles for good, as the node is being stopped. */
    void stop() {
        leadership.stop();
        cloud.leasedRoles.stop();
    }

    /** Whether this node leads and has loaded the shard's jobs. */
    boolean holdsShard() {
        return leadership.isLeading() && stateWriter.isLoaded();
    }

    /** Whether it {@link #holdsShard} and its lease is certain not to have expired. */
    boolean mayActOnShard() {
        return holdsShard() && leadership.isLeaseValid();
    }

    /** Something changed that may let tasks be placed or records be written. */
    void requestRound() {
        roundRunner.request();
    }

    /** Writes that along with one of the next rounds. */
    void contributeToNextWrite(StateWriter.BatchContributor contributor) {
        stateWriter.enqueue(contributor);
        requestRound();
    }

    /** The store has it that the job is over: keeps its final state and tells the peers. */
    void announceJobEnded(JobStatus job) {
        submissions.onJobEnded(job);
        peerNodes.announceJobEnd(job);
    }

    private void onCancelledByUser(JobStatus job) {
        shard.jobDependencies().recordOutcome(job.jobId(), false, timers.wallClockMillis());
        requestRound();
        peerNodes.announceJobEnd(job);
    }
}
