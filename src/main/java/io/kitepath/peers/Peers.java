package io.kitepath.peers;

import io.kitepath.core.Controller;
import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.port.PeerNodes;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.AttributeKey;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The nodes' own channel: one kept connection to each sibling, length-prefixed frames. */
public final class Peers implements PeerNodes {
    private static final Logger LOG = LoggerFactory.getLogger(Peers.class);

    /** A worker drops answers after 4 s; a relayed one has to be back well before. */
    private static final long RELAY_MS = 3000;

    /** Views come every second; a connection that stays mute this long is dead. */
    private static final int MUTE_S = 4;

    private static final int MAX_ASKS = 256;

    /** A user waits 2 s for an answer; what the holder knows is worth a part of that. */
    private static final long PROGRESS_MS = 500;

    /** Set on connections whose other side reads digests. */
    private static final AttributeKey<Boolean> READS = AttributeKey.valueOf("reads.digests");

    private final EventLoopGroup loop;
    private final Messages messages;
    private final String node;
    private final Map<String, InetSocketAddress> addresses;
    private final Map<String, Channel> channels = new HashMap<>();
    private final Map<Long, Asked<HeartbeatResponse>> asks = new LinkedHashMap<>();
    private final Map<Long, Asked<List<JobProgress>>> progressAsks = new LinkedHashMap<>();
    private Controller controller;
    private long asked;

    /**
     * A question that was sent on that connection, and what it is answered with when there is no
     * answer.
     */
    private record Asked<T>(Channel channel, Consumer<T> answer, T none) {}

    /** {@code cells}: whether nodes of other cells may ask something. */
    public Peers(
            EventLoopGroup loop,
            String node,
            Map<String, InetSocketAddress> addresses,
            boolean cells) {
        this.messages = new Messages(cells);
        this.loop = loop;
        this.node = node;
        this.addresses = addresses;
    }

    public ChannelFuture start(Controller c, InetSocketAddress listen) {
        controller = c;
        addresses.keySet().forEach(s -> connect(s, 0));
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Setup())
                .bind(listen);
    }

    private final class Setup extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(
                            new LengthFieldBasedFrameDecoder(Messages.MAX_FRAME, 0, 4, 0, 4),
                            new LengthFieldPrepender(4),
                            new IdleStateHandler(MUTE_S, 0, 0),
                            new Connection());
        }
    }

    private void connect(String sibling, int failures) {
        Bootstrap b =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                        .handler(new Setup());
        ChannelFuture connecting = b.connect(addresses.get(sibling));
        connecting.addListener(
                f -> {
                    if (f.isSuccess()) {
                        channels.put(sibling, connecting.channel());
                        connecting
                                .channel()
                                .closeFuture()
                                .addListener(
                                        x -> {
                                            channels.remove(sibling);
                                            lost(connecting.channel(), asks);
                                            lost(connecting.channel(), progressAsks);
                                            reconnect(sibling, 0);
                                        });
                    } else {
                        reconnect(sibling, failures + 1);
                    }
                });
    }

    /**
     * Guards against questions that wait their whole time for a process that is gone, while the one
     * that took its place a fraction of a second later, under its name, has never heard of them.
     */
    private static <T> void lost(Channel channel, Map<Long, Asked<T>> asked) {
        asked.entrySet().stream()
                .filter(e -> e.getValue().channel == channel)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(
                        n -> {
                            Asked<T> a = asked.get(n);
                            if (a != null) {
                                settle(asked, n, a.none);
                            }
                        });
    }

    private void reconnect(String sibling, int failures) {
        long ms =
                Math.min(3000, 250L << Math.min(4, failures))
                        + Math.floorMod(System.nanoTime() / 1000, 200);
        loop.schedule(() -> connect(sibling, failures), ms, TimeUnit.MILLISECONDS);
    }

    private void send(Channel channel, Object message) {
        // A sibling that does not read must not fill our memory.
        if (channel != null && channel.isActive() && channel.isWritable()) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(messages.bytes(message)));
        }
    }

    @Override
    public void announceState(long token, String leader, boolean served) {
        view = new Messages.View(node, token, leader != null, served);
        toAll(channels.values(), channel -> send(channel, view));
    }

    private Messages.View view;

    /**
     * Not to all: production would end the connection at a message that it does not know. Whoever
     * reads it says so on each connection, so that one that went back to that version is not sent
     * any more.
     */
    @Override
    public void sendCancellationDigest(CancellationDigest d) {
        Object message =
                new Messages.Digest(d.node(), d.sinceMillis(), d.untilMillis(), d.jobIds());
        toAll(
                channels.values(),
                channel -> {
                    if (channel.hasAttr(READS)) {
                        send(channel, message);
                    }
                });
    }

    private void sayWhatWeRead(Channel channel) {
        send(channel, new Messages.AnswerProgress(Messages.READS_DIGESTS, List.of()));
    }

    @Override
    public void announceJobEnd(JobStatus job) {
        toAll(channels.values(), channel -> send(channel, new Messages.Over(job)));
    }

    /**
     * Guards against a sibling's connection that turns out to be reset as something is written to
     * it: it closes there and then, and is struck off while the others are still gone through. That
     * ended nodes as they started, and those that ran never told their view again.
     */
    static void toAll(Collection<Channel> channels, Consumer<Channel> then) {
        List.copyOf(channels).forEach(then);
    }

    @Override
    public boolean relayHeartbeat(
            String sibling,
            Heartbeat heartbeat,
            boolean passOn,
            Consumer<HeartbeatResponse> answer) {
        Channel channel = channels.get(sibling);
        if (channel == null || !channel.isActive() || asks.size() >= MAX_ASKS) {
            return false;
        }
        long number = ++asked;
        asks.put(number, new Asked<>(channel, answer, new HeartbeatResponse(0, List.of(), null)));
        send(channel, new Messages.Ask(number, heartbeat, passOn));
        loop.schedule(
                () -> settle(asks, number, new HeartbeatResponse(0, List.of(), null)),
                RELAY_MS,
                TimeUnit.MILLISECONDS);
        return true;
    }

    /** Answers what waits under that number, unless it has been answered or given up already. */
    private static <T> void settle(Map<Long, Asked<T>> asked, long number, T with) {
        Asked<T> a = asked.remove(number);
        if (a != null) {
            a.answer.accept(with);
        }
    }

    @Override
    public void requestProgress(
            String leader, List<String> jobs, Consumer<List<JobProgress>> answer) {
        Channel channel = channels.get(leader);
        if (channel == null || !channel.isActive() || progressAsks.size() >= MAX_ASKS) {
            answer.accept(List.of());
            return;
        }
        long number = ++asked;
        progressAsks.put(number, new Asked<>(channel, answer, List.of()));
        send(channel, new Messages.AskProgress(number, jobs));
        loop.schedule(
                () -> settle(progressAsks, number, List.of()), PROGRESS_MS, TimeUnit.MILLISECONDS);
    }

    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            Object message;
            try {
                message = messages.value(ByteBufUtil.getBytes(frame));
            } catch (InvalidInputException invalid) {
                LOG.warn("a sibling's message can't be read: {}", invalid.getMessage());
                ctx.close();
                return;
            }
            if (message instanceof Messages.View v) {
                controller.onPeerState(v.by(), v.token(), v.leads(), v.served());
                if (!channels.containsValue(ctx.channel()) && view != null) {
                    // Answer on the connection it came by, so that the other side sees that it
                    // lives.
                    send(ctx.channel(), view);
                    sayWhatWeRead(ctx.channel());
                }
            } else if (message instanceof Messages.Over o) {
                controller.onJobEndedAtPeer(o.job());
            } else if (message instanceof Messages.Ask a) {
                controller.onRelayedHeartbeat(
                        a.report(),
                        a.passOn(),
                        response -> send(ctx.channel(), new Messages.Answer(a.number(), response)));
            } else if (message instanceof Messages.Answer a) {
                settle(asks, a.number(), a.heartbeat());
            } else if (message instanceof Messages.AskProgress a) {
                send(
                        ctx.channel(),
                        new Messages.AnswerProgress(a.number(), controller.jobProgress(a.jobs())));
            } else if (message instanceof Messages.Digest d) {
                controller.onCancellationDigest(
                        new CancellationDigest(d.by(), d.sinceMs(), d.untilMs(), d.jobs()));
            } else if (message instanceof Messages.AnswerProgress a
                    && a.number() == Messages.READS_DIGESTS) {
                ctx.channel().attr(READS).set(true);
            } else if (message instanceof Messages.AnswerProgress a) {
                settle(progressAsks, a.number(), a.progress());
            } else if (message instanceof Messages.AskCell a) {
                controller
                        .otherCells()
                        .onMessage(
                                a.message(),
                                m -> {
                                    if (m != null) {
                                        send(ctx.channel(), new Messages.AnswerCell(a.number(), m));
                                    }
                                });
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debug("sibling connection failed: {}", cause.toString());
            ctx.close();
        }
    }
}
