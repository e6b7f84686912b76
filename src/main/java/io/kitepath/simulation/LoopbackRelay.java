package io.kitepath.simulation;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * A network link on loopback that can fail: relays TCP connections to one address, and holds back,
 * refuses, resets or delays what passes. All of it runs on one event loop.
 */
public final class LoopbackRelay {
    /** What a link does with what passes it. */
    public enum Mode {
        /** Relays at once. */
        OPEN,
        /** Relays after {@link #DELAY_MILLIS}. */
        DELAYED,
        /** Holds back both directions and delivers them in order once the link is open again. */
        SILENT,
        /** Holds back what the accepting side sends; the other direction is open. */
        RESPONSES_HELD,
        /** Resets open connections, and new ones at once. */
        RESET
    }

    private static final long DELAY_MILLIS = 300;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final List<Direction> directions = new ArrayList<>();
    private Mode mode = Mode.OPEN;

    /** Creates a link to the address, which does not listen yet. */
    public LoopbackRelay(EventLoop loop, InetSocketAddress target) {
        this.loop = loop;
        this.target = target;
    }

    /** Starts to accept connections on a free port, and returns where. */
    public InetSocketAddress start() throws InterruptedException {
        return (InetSocketAddress)
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel accepted) {
                                        accept(accepted);
                                    }
                                })
                        .bind(new InetSocketAddress("127.0.0.1", 0))
                        .sync()
                        .channel()
                        .localAddress();
    }

    /** Changes what the link does from now on. */
    public void setMode(Mode newMode) {
        loop.execute(
                () -> {
                    mode = newMode;
                    if (newMode == Mode.RESET) {
                        List.copyOf(directions).forEach(Direction::reset);
                    } else {
                        List.copyOf(directions).forEach(Direction::deliver);
                    }
                });
    }

    private void accept(SocketChannel accepted) {
        if (mode == Mode.RESET) {
            reset(accepted);
            return;
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.AUTO_READ, false)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(target);
        connecting.addListener(
                result -> {
                    if (result.isSuccess()) {
                        join(accepted, connecting.channel());
                    } else {
                        reset(accepted);
                    }
                });
    }

    private void join(Channel accepted, Channel connected) {
        relay(new Direction(accepted, connected, false));
        relay(new Direction(connected, accepted, true));
    }

    private void relay(Direction direction) {
        directions.add(direction);
        direction.source.pipeline().addLast(direction);
        direction.source.config().setAutoRead(true);
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /**
     * One direction of one relayed connection. It lasts until what was sent on it is delivered,
     * also if its sender has closed the connection by then.
     */
    private final class Direction extends ChannelInboundHandlerAdapter {
        private final Channel source;
        private final Channel destination;
        private final boolean carriesResponses;
        private final Queue<ByteBuf> held = new ArrayDeque<>();
        private boolean isEnded;

        Direction(Channel source, Channel destination, boolean carriesResponses) {
            this.source = source;
            this.destination = destination;
            this.carriesResponses = carriesResponses;
        }

        private boolean isHeld() {
            return mode == Mode.SILENT || mode == Mode.RESPONSES_HELD && carriesResponses;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            held.add((ByteBuf) bytes);
            deliverAfterDelay();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            isEnded = true;
            deliverAfterDelay();
        }

        private void deliverAfterDelay() {
            if (mode == Mode.DELAYED) {
                loop.schedule(this::deliver, DELAY_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                deliver();
            }
        }

        private void deliver() {
            if (isHeld()) {
                return;
            }
            while (!held.isEmpty()) {
                ByteBuf bytes = held.remove();
                if (destination.isActive()) {
                    destination.writeAndFlush(bytes);
                } else {
                    ReferenceCountUtil.release(bytes);
                }
            }
            if (isEnded) {
                directions.remove(this);
                destination.close();
            }
        }

        private void reset() {
            held.forEach(ReferenceCountUtil::release);
            held.clear();
            directions.remove(this);
            LoopbackRelay.reset(source);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
