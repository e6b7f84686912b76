package io.kitepath.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests to one address over a few kept connections. A request that fails or times out yields
 * status 0: the other side may or may not have acted on it, and may still do so later.
 */
public final class HttpClient {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);

    /** Called once with the status and body, or with 0 and null. */
    public interface Callback {
        void done(int status, byte[] body);
    }

    private record Pending(
            String method, String path, byte[] body, long timeoutMs, Callback callback) {}

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final String host;
    private final int maxConnections;
    private final int maxBody;
    private final Bootstrap bootstrap;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<Pending> queue = new ArrayDeque<>();
    private int open;
    private boolean keep = true;

    public HttpClient(EventLoop loop, InetSocketAddress address, int maxConnections, int maxBody) {
        this.loop = loop;
        this.address = address;
        this.host = address.getHostString() + ":" + address.getPort();
        this.maxConnections = maxConnections;
        this.maxBody = maxBody;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(4096, 8192, 16384),
                                                        new HttpObjectAggregator(
                                                                HttpClient.this.maxBody, true),
                                                        new Connection());
                                    }
                                });
    }

    /** One request on a connection that is closed after it. */
    public static void once(
            EventLoop loop,
            InetSocketAddress address,
            int maxBody,
            String method,
            String path,
            byte[] body,
            long timeoutMs,
            Callback callback) {
        HttpClient c = new HttpClient(loop, address, 1, maxBody);
        c.keep = false;
        c.call(method, path, body, timeoutMs, callback);
    }

    /** Must be called on the event loop; {@code body} may be null. */
    public void call(String method, String path, byte[] body, long timeoutMs, Callback callback) {
        Pending pending = new Pending(method, path, body, timeoutMs, callback);
        Connection c = idle.pollLast();
        if (c != null) {
            c.send(pending);
        } else if (open < maxConnections) {
            connect(pending);
        } else if (queue.size() < maxConnections * 4) {
            queue.add(pending);
            // Waiting for a connection counts: what has had its time is given up on, not sent late.
            loop.schedule(
                    () -> {
                        if (queue.remove(pending)) {
                            callback.done(0, null);
                        }
                    },
                    timeoutMs,
                    TimeUnit.MILLISECONDS);
        } else {
            // Bounded: a queue that grows while the other side hangs would only fill memory with
            // lost causes.
            loop.execute(() -> callback.done(0, null));
        }
    }

    private void connect(Pending pending) {
        open++;
        ChannelFuture connecting =
                bootstrap
                        .clone()
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.min(pending.timeoutMs, 1000))
                        .connect(address);
        connecting.addListener(
                f -> {
                    if (f.isSuccess()) {
                        Channel channel = connecting.channel();
                        channel.closeFuture()
                                .addListener(
                                        x -> {
                                            open--;
                                            next();
                                        });
                        channel.pipeline().get(Connection.class).send(pending);
                    } else {
                        open--;
                        pending.callback.done(0, null);
                        next();
                    }
                });
    }

    private void next() {
        Pending pending;
        while (open - idle.size() < maxConnections && (pending = queue.poll()) != null) {
            Connection c = idle.pollLast();
            if (c != null) {
                c.send(pending);
            } else {
                connect(pending);
            }
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Pending current;
        private ScheduledFuture<?> timeout;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        void send(Pending pending) {
            current = pending;
            DefaultFullHttpRequest r =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.valueOf(pending.method),
                            pending.path,
                            pending.body == null
                                    ? Unpooled.EMPTY_BUFFER
                                    : Unpooled.wrappedBuffer(pending.body));
            r.headers().set(HttpHeaderNames.HOST, host);
            if (pending.body != null) {
                r.headers().set(HttpHeaderNames.CONTENT_LENGTH, pending.body.length);
                r.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/msgpack");
            }
            timeout =
                    loop.schedule(() -> channel.close(), pending.timeoutMs, TimeUnit.MILLISECONDS);
            channel.writeAndFlush(r);
        }

        private void finish(int status, byte[] body) {
            Pending pending = current;
            current = null;
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (pending != null) {
                tell(pending, status, body);
            }
        }

        /**
         * An odd answer may trip its reader, but must not take the connection's bookkeeping with
         * it.
         */
        private void tell(Pending pending, int status, byte[] body) {
            try {
                pending.callback.done(status, body);
            } catch (RuntimeException e) {
                LOG.error(
                        "the answer {} to {} {} can't be used",
                        status,
                        pending.method,
                        pending.path,
                        e);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
            boolean reuse = keep && HttpUtil.isKeepAlive(r) && r.decoderResult().isSuccess();
            int status = r.decoderResult().isSuccess() ? r.status().code() : 0;
            byte[] body = ByteBufUtil.getBytes(r.content());
            if (reuse) {
                Pending answered = current;
                current = null;
                timeout.cancel(false);
                idle.addLast(this);
                next();
                if (answered != null) {
                    tell(answered, status, body);
                }
            } else {
                finish(status, body);
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            finish(0, null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
