package io.kitepath.peers;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.RemoteCells;
import io.netty.bootstrap.Bootstrap;
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
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connections to nodes of other cells, made when something is asked of them and closed when they
 * have been quiet for a while. All of it on the event loop.
 */
public final class CellLinks implements RemoteCells {
    private static final Logger LOG = LoggerFactory.getLogger(CellLinks.class);
    private static final int CONNECT_MS = 500;
    private static final int ANSWER_MS = 1000;

    /** Summaries are a second apart: a link quiet for so long is broken, or not needed any more. */
    private static final int QUIET_S = 10;

    private static final int MAX_ASKS = 512;

    private final EventLoopGroup loop;
    private final Messages messages = new Messages(true);
    private final Map<String, Map<String, InetSocketAddress>> addresses;
    private final Map<InetSocketAddress, ChannelFuture> links = new HashMap<>();
    private final Map<Long, Consumer<CellMessage>> asks = new HashMap<>();
    private final Random random;
    private long asked;

    /** {@code addresses}: by cell and node. */
    public CellLinks(
            EventLoopGroup loop,
            Map<String, Map<String, InetSocketAddress>> addresses,
            Random random) {
        this.loop = loop;
        this.addresses = addresses;
        this.random = random;
    }

    @Override
    public void ask(String cell, String node, CellMessage message, Consumer<CellMessage> answer) {
        Map<String, InetSocketAddress> nodes = addresses.getOrDefault(cell, Map.of());
        List<InetSocketAddress> any = new ArrayList<>(nodes.values());
        InetSocketAddress to =
                node != null && nodes.containsKey(node)
                        ? nodes.get(node)
                        : any.isEmpty() ? null : any.get(random.nextInt(any.size()));
        if (to == null || asks.size() >= MAX_ASKS) {
            answer.accept(null);
            return;
        }
        long number = ++asked;
        asks.put(number, answer);
        loop.schedule(() -> settle(number, null), ANSWER_MS, TimeUnit.MILLISECONDS);
        ChannelFuture link = links.computeIfAbsent(to, this::connect);
        link.addListener(
                f -> {
                    Channel channel = link.channel();
                    if (!f.isSuccess()) {
                        settle(number, null);
                    } else if (channel.isActive() && channel.isWritable()) {
                        // A node that does not read must not fill our memory: what it has no room
                        // for is not said.
                        channel.writeAndFlush(
                                Unpooled.wrappedBuffer(
                                        messages.bytes(new Messages.AskCell(number, message))));
                    }
                });
    }

    private ChannelFuture connect(InetSocketAddress to) {
        ChannelFuture link =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new LengthFieldBasedFrameDecoder(
                                                                Messages.MAX_FRAME, 0, 4, 0, 4),
                                                        new LengthFieldPrepender(4),
                                                        new IdleStateHandler(QUIET_S, 0, 0),
                                                        new Answers());
                                    }
                                })
                        .connect(to);
        link.channel().closeFuture().addListener(f -> links.remove(to, link));
        return link;
    }

    private void settle(long number, CellMessage with) {
        Consumer<CellMessage> answer = asks.remove(number);
        if (answer != null) {
            answer.accept(with);
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            try {
                if (messages.value(ByteBufUtil.getBytes(frame)) instanceof Messages.AnswerCell a) {
                    settle(a.number(), a.message());
                }
            } catch (InvalidInputException invalid) {
                LOG.warn("another cell's answer can't be read: {}", invalid.getMessage());
                ctx.close();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debug("connection to another cell failed: {}", cause.toString());
            ctx.close();
        }
    }
}
