package io.kitepath.peers;

import io.kitepath.core.Controller;
import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.port.PeerNodes;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.AttributeKey;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The messages between the controller nodes of a cell, over one kept connection to each peer, and
 * those that nodes of other cells send to this one. All of it runs on the event loop.
 */
public final class Peers implements PeerNodes {
    private static final Logger LOG = LoggerFactory.getLogger(Peers.class);

    /** A worker drops answers after 4 s; a relayed one has to be back well before. */
    private static final long RELAY_TIMEOUT_MILLIS = 3000;

    /** A user waits 2 s for an answer; what the leader knows is worth a part of that. */
    private static final long PROGRESS_TIMEOUT_MILLIS = 500;

    /** Announcements come every second; a connection that stays silent this long is dead. */
    private static final int IDLE_SECONDS = 4;

    private static final int MAX_PENDING_REQUESTS = 256;

    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** The first delay before a reconnect; it doubles with each failure, up to the largest one. */
    private static final long RECONNECT_MILLIS = 250;

    private static final long MAX_RECONNECT_MILLIS = 3000;
    private static final int MAX_RECONNECT_DOUBLINGS = 4;

    /** Up to that much is added, so that nodes do not reconnect to each other in step. */
    private static final int RECONNECT_JITTER_MILLIS = 200;

    /** Set on connections whose other side reads {@link PeerMessage.CancelledJobs}. */
    private static final AttributeKey<Boolean> READS_CANCELLED_JOBS =
            AttributeKey.valueOf("reads.digests");

    /** Set on connections whose other side reads {@link PeerMessage.ImpliedCancellations}. */
    private static final AttributeKey<Boolean> READS_IMPLIED_CANCELLATIONS =
            AttributeKey.valueOf("reads.implied.cancellations");

    private final EventLoopGroup eventLoop;
    private final PeerMessageCodec codec;
    private final String node;
    private final Map<String, InetSocketAddress> addresses;
    private final Map<String, Channel> channelsByPeer = new HashMap<>();
    private final PendingRequests<HeartbeatResponse> relays =
            new PendingRequests<>(MAX_PENDING_REQUESTS, new HeartbeatResponse(0, List.of(), null));
    private final PendingRequests<List<JobProgress>> progressRequests =
            new PendingRequests<>(MAX_PENDING_REQUESTS, List.of());
    private Optional<PeerMessage.NodeState> lastAnnounced = Optional.empty();
    private Controller controller;
    private long lastRequestId;

    /**
     * @param eventLoop a group of one event loop
     * @param node the name of this node
     * @param addresses of the peers, by node
     * @param cells whether there are other cells, whose nodes may send requests
     */
    public Peers(
            EventLoopGroup eventLoop,
            String node,
            Map<String, InetSocketAddress> addresses,
            boolean cells) {
        this.codec = cells ? PeerMessageCodec.betweenCells() : PeerMessageCodec.withinCell();
        this.eventLoop = eventLoop;
        this.node = node;
        this.addresses = addresses;
    }

    /** Connects to the peers and accepts connections of theirs. */
    public ChannelFuture start(Controller controllerOfNode, InetSocketAddress listenAddress) {
        controller = controllerOfNode;
        addresses.keySet().forEach(peer -> connect(peer, 0));
        return new ServerBootstrap()
                .group(eventLoop, eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new MessageChannelInitializer(IDLE_SECONDS, PeerConnection::new))
                .bind(listenAddress);
    }

    private void connect(String peer, int failures) {
        ChannelFuture connecting =
                new Bootstrap()
                        .group(eventLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(new MessageChannelInitializer(IDLE_SECONDS, PeerConnection::new))
                        .connect(addresses.get(peer));
        connecting.addListener(
                result -> {
                    if (result.isSuccess()) {
                        onConnected(peer, connecting.channel());
                    } else {
                        reconnect(peer, failures + 1);
                    }
                });
    }

    private void onConnected(String peer, Channel channel) {
        channelsByPeer.put(peer, channel);
        channel.closeFuture()
                .addListener(
                        closed -> {
                            channelsByPeer.remove(peer);
                            relays.giveUpAllOn(channel);
                            progressRequests.giveUpAllOn(channel);
                            reconnect(peer, 0);
                        });
    }

    private void reconnect(String peer, int failures) {
        long backoffMillis = RECONNECT_MILLIS << Math.min(MAX_RECONNECT_DOUBLINGS, failures);
        long jitterMillis = Math.floorMod(System.nanoTime() / 1000, RECONNECT_JITTER_MILLIS);
        eventLoop.schedule(
                () -> connect(peer, failures),
                Math.min(MAX_RECONNECT_MILLIS, backoffMillis) + jitterMillis,
                TimeUnit.MILLISECONDS);
    }

    private void send(Channel channel, PeerMessage message) {
        MessageConnection.sendIfWritable(channel, codec, message);
    }

    /**
     * Runs the action for each channel. The collection may change meanwhile: a connection that
     * turns out to be reset as something is written to it closes there and then, and is removed
     * while the others are still gone through.
     */
    static void forEachChannel(Collection<Channel> channels, Consumer<Channel> action) {
        List.copyOf(channels).forEach(action);
    }

    @Override
    public void announceState(long token, String leader, boolean served) {
        PeerMessage.NodeState state =
                new PeerMessage.NodeState(node, token, leader != null, served);
        lastAnnounced = Optional.of(state);
        forEachChannel(channelsByPeer.values(), channel -> send(channel, state));
    }

    @Override
    public void announceJobEnd(JobStatus job) {
        forEachChannel(
                channelsByPeer.values(), channel -> send(channel, new PeerMessage.JobEnded(job)));
    }

    /**
     * Sends the digest to those that read it only: an older version would close the connection at a
     * message that it does not know. A peer says that it reads it on each new connection, so one
     * that was rolled back to an older version gets none any more.
     */
    @Override
    public void sendCancellationDigest(CancellationDigest digest) {
        PeerMessage message =
                new PeerMessage.CancelledJobs(
                        digest.node(), digest.sinceMillis(), digest.untilMillis(), digest.jobIds());
        sendToReaders(READS_CANCELLED_JOBS, message);
    }

    /** Sent to those that read it only, as a digest. */
    @Override
    public void announceImpliedCancellations(List<String> jobIds) {
        sendToReaders(READS_IMPLIED_CANCELLATIONS, new PeerMessage.ImpliedCancellations(jobIds));
    }

    private void sendToReaders(AttributeKey<Boolean> readsMessage, PeerMessage message) {
        forEachChannel(
                channelsByPeer.values(),
                channel -> {
                    if (channel.hasAttr(readsMessage)) {
                        send(channel, message);
                    }
                });
    }

    @Override
    public boolean relayHeartbeat(
            String peer,
            Heartbeat heartbeat,
            boolean mayForward,
            Consumer<HeartbeatResponse> callback) {
        Channel channel = channelsByPeer.get(peer);
        if (channel == null || !channel.isActive() || relays.isFull()) {
            return false;
        }
        long requestId = ++lastRequestId;
        relays.add(requestId, channel, callback);
        send(channel, new PeerMessage.HeartbeatRelay(requestId, heartbeat, mayForward));
        eventLoop.schedule(
                () -> relays.giveUp(requestId), RELAY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return true;
    }

    @Override
    public void requestProgress(
            String leader, List<String> jobIds, Consumer<List<JobProgress>> callback) {
        Channel channel = channelsByPeer.get(leader);
        if (channel == null || !channel.isActive() || progressRequests.isFull()) {
            callback.accept(List.of());
            return;
        }
        long requestId = ++lastRequestId;
        progressRequests.add(requestId, channel, callback);
        send(channel, new PeerMessage.ProgressRequest(requestId, jobIds));
        eventLoop.schedule(
                () -> progressRequests.giveUp(requestId),
                PROGRESS_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** A connection from or to a node of this cell, or from one of another cell. */
    private final class PeerConnection extends MessageConnection {
        PeerConnection() {
            super(codec, LOG, "sibling connection", "a sibling's message");
        }

        @Override
        void onMessage(Channel channel, PeerMessage message) {
            message.deliverTo(new IncomingMessages(channel));
        }
    }

    /** Acts on the messages that are received on one channel. */
    private final class IncomingMessages implements PeerMessage.Handler {
        private final Channel channel;

        IncomingMessages(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void onNodeState(PeerMessage.NodeState state) {
            controller.onPeerState(
                    state.node(), state.fencingToken(), state.isLeader(), state.isStoreServing());
            if (channelsByPeer.containsValue(channel)) {
                return;
            }
            // The other side made this connection: it has to receive something on it to see that
            // this node is alive.
            lastAnnounced.ifPresent(
                    own -> {
                        send(channel, own);
                        send(channel, PeerMessage.ProgressReply.readsCancelledJobs());
                        send(channel, PeerMessage.ProgressReply.readsImpliedCancellations());
                    });
        }

        @Override
        public void onJobEnded(PeerMessage.JobEnded ended) {
            controller.onJobEndedAtPeer(ended.job());
        }

        @Override
        public void onHeartbeatRelay(PeerMessage.HeartbeatRelay relay) {
            controller.onRelayedHeartbeat(
                    relay.heartbeat(),
                    relay.mayForward(),
                    response ->
                            send(
                                    channel,
                                    new PeerMessage.HeartbeatRelayReply(
                                            relay.requestId(), response)));
        }

        @Override
        public void onHeartbeatRelayReply(PeerMessage.HeartbeatRelayReply reply) {
            relays.complete(reply.requestId(), reply.response());
        }

        @Override
        public void onProgressRequest(PeerMessage.ProgressRequest request) {
            List<JobProgress> progress = controller.jobProgress(request.jobIds());
            send(channel, new PeerMessage.ProgressReply(request.requestId(), progress));
        }

        @Override
        public void onProgressReply(PeerMessage.ProgressReply reply) {
            if (reply.tellsThatSenderReadsCancelledJobs()) {
                channel.attr(READS_CANCELLED_JOBS).set(true);
            } else if (reply.tellsThatSenderReadsImpliedCancellations()) {
                channel.attr(READS_IMPLIED_CANCELLATIONS).set(true);
            } else {
                progressRequests.complete(reply.requestId(), reply.progress());
            }
        }

        @Override
        public void onCancelledJobs(PeerMessage.CancelledJobs cancelled) {
            controller.onCancellationDigest(
                    new CancellationDigest(
                            cancelled.node(),
                            cancelled.sinceMillis(),
                            cancelled.untilMillis(),
                            cancelled.jobIds()));
        }

        @Override
        public void onImpliedCancellations(PeerMessage.ImpliedCancellations implied) {
            controller.onImpliedCancellations(implied.jobIds());
        }

        @Override
        public void onCellRequest(PeerMessage.CellRequest request) {
            controller
                    .otherCells()
                    .onMessage(
                            request.message(),
                            answer -> {
                                if (answer != null) {
                                    send(
                                            channel,
                                            new PeerMessage.CellReply(request.requestId(), answer));
                                }
                            });
        }

        /** Ignored: requests to other cells are sent on connections of {@link CellLinks}. */
        @Override
        public void onCellReply(PeerMessage.CellReply reply) {}
    }
}
