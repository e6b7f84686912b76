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
import io.netty.handler.codec.http.FullHttpRequest;
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
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends HTTP requests to one address over a bounded pool of persistent connections, with one
 * request in flight per connection. Further requests wait in a bounded queue. All methods and
 * callbacks run on the event loop.
 */
public final class HttpClient {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);

    private static final int MAX_INITIAL_LINE_BYTES = 4096;
    private static final int MAX_HEADER_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 16384;
    private static final long MAX_CONNECT_MILLIS = 1000;
    private static final int QUEUED_REQUESTS_PER_CONNECTION = 4;

    /**
     * A request to send.
     *
     * @param body the content, absent for methods without one
     */
    public record Request(String method, String path, Optional<byte[]> body) {
        /** Returns a GET request; the path includes the query. */
        public static Request get(String path) {
            return new Request("GET", path, Optional.empty());
        }

        /** Returns a POST request; the body may be empty. */
        public static Request post(String path, byte[] body) {
            return new Request("POST", path, Optional.of(body));
        }

        /** Returns a DELETE request. */
        public static Request delete(String path) {
            return new Request("DELETE", path, Optional.empty());
        }
    }

    /** Receives the result of a request. */
    @FunctionalInterface
    public interface ResponseHandler {
        /** Called once, on the event loop. */
        void onResponse(HttpResponse response);
    }

    private record PendingRequest(Request request, long timeoutMillis, ResponseHandler handler) {}

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final String hostHeader;
    private final int maxConnections;
    private final boolean keepAlive;
    private final Bootstrap bootstrap;
    private final Deque<Connection> idleConnections = new ArrayDeque<>();
    private final Deque<PendingRequest> queue = new ArrayDeque<>();
    private int openConnections;

    /**
     * @param maxConnections the maximum number of open connections
     * @param maxBodyBytes the size of the largest accepted response body
     */
    public HttpClient(
            EventLoop loop, InetSocketAddress address, int maxConnections, int maxBodyBytes) {
        this(loop, address, maxConnections, maxBodyBytes, true);
    }

    private HttpClient(
            EventLoop loop,
            InetSocketAddress address,
            int maxConnections,
            int maxBodyBytes,
            boolean keepAlive) {
        this.loop = loop;
        this.address = address;
        this.hostHeader = address.getHostString() + ":" + address.getPort();
        this.maxConnections = maxConnections;
        this.keepAlive = keepAlive;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(new ConnectionInitializer(maxBodyBytes));
    }

    /**
     * Sends one request on a connection of its own, which is closed after the response. Must be
     * called on the event loop.
     */
    public static void callOnce(
            EventLoop loop,
            InetSocketAddress address,
            int maxBodyBytes,
            Request request,
            long timeoutMillis,
            ResponseHandler handler) {
        new HttpClient(loop, address, 1, maxBodyBytes, false).call(request, timeoutMillis, handler);
    }

    /**
     * Sends a request. Must be called on the event loop. The handler receives {@link
     * HttpResponse#NONE} if the request fails, waits too long for a connection or gets no response
     * in time.
     *
     * @param timeoutMillis the maximum wait for a connection, and again, once the request is sent,
     *     for its response
     */
    public void call(Request request, long timeoutMillis, ResponseHandler handler) {
        PendingRequest pending = new PendingRequest(request, timeoutMillis, handler);
        Connection idle = idleConnections.pollLast();
        if (idle != null) {
            idle.send(pending);
        } else if (openConnections < maxConnections) {
            connect(pending);
        } else if (queue.size() < maxConnections * QUEUED_REQUESTS_PER_CONNECTION) {
            enqueue(pending);
        } else {
            // The queue is bounded: while the server hangs, it would otherwise fill memory with
            // requests that time out.
            loop.execute(() -> handler.onResponse(HttpResponse.NONE));
        }
    }

    /**
     * Queues a request; after its timeout it fails without being sent, rather than be sent late.
     */
    private void enqueue(PendingRequest pending) {
        queue.add(pending);
        loop.schedule(
                () -> {
                    if (queue.remove(pending)) {
                        pending.handler.onResponse(HttpResponse.NONE);
                    }
                },
                pending.timeoutMillis,
                TimeUnit.MILLISECONDS);
    }

    private void connect(PendingRequest pending) {
        openConnections++;
        int connectMillis = (int) Math.min(pending.timeoutMillis, MAX_CONNECT_MILLIS);
        ChannelFuture connecting =
                bootstrap
                        .clone()
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
                        .connect(address);
        connecting.addListener(
                result -> {
                    if (result.isSuccess()) {
                        onConnected(connecting.channel(), pending);
                    } else {
                        openConnections--;
                        pending.handler.onResponse(HttpResponse.NONE);
                        sendQueued();
                    }
                });
    }

    private void onConnected(Channel channel, PendingRequest pending) {
        channel.closeFuture()
                .addListener(
                        closed -> {
                            openConnections--;
                            sendQueued();
                        });
        channel.pipeline().get(Connection.class).send(pending);
    }

    /** Sends queued requests while connections are available. */
    private void sendQueued() {
        while (openConnections - idleConnections.size() < maxConnections && !queue.isEmpty()) {
            PendingRequest pending = queue.poll();
            Connection idle = idleConnections.pollLast();
            if (idle != null) {
                idle.send(pending);
            } else {
                connect(pending);
            }
        }
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        private final int maxBodyBytes;

        ConnectionInitializer(int maxBodyBytes) {
            this.maxBodyBytes = maxBodyBytes;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(
                            new HttpClientCodec(
                                    MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                            new HttpObjectAggregator(maxBodyBytes, true),
                            new Connection());
        }
    }

    /** A connection and its request in flight, if any. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Optional<PendingRequest> inFlight = Optional.empty();
        private Optional<ScheduledFuture<?>> timeout = Optional.empty();

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void send(PendingRequest pending) {
            inFlight = Optional.of(pending);
            timeout =
                    Optional.of(
                            loop.schedule(
                                    () -> channel.close(),
                                    pending.timeoutMillis,
                                    TimeUnit.MILLISECONDS));
            channel.writeAndFlush(toNetty(pending.request));
        }

        private FullHttpRequest toNetty(Request request) {
            FullHttpRequest message =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.valueOf(request.method),
                            request.path,
                            request.body
                                    .map(Unpooled::wrappedBuffer)
                                    .orElse(Unpooled.EMPTY_BUFFER));
            message.headers().set(HttpHeaderNames.HOST, hostHeader);
            request.body.ifPresent(
                    body -> {
                        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
                        message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/msgpack");
                    });
            return message;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse message) {
            boolean isWellFormed = message.decoderResult().isSuccess();
            byte[] body = ByteBufUtil.getBytes(message.content());
            HttpResponse response =
                    new HttpResponse(isWellFormed ? message.status().code() : 0, body);
            Optional<PendingRequest> completed = takeInFlight();
            if (keepAlive && isWellFormed && HttpUtil.isKeepAlive(message)) {
                idleConnections.addLast(this);
                sendQueued();
                completed.ifPresent(pending -> notifyHandler(pending, response));
            } else {
                completed.ifPresent(pending -> notifyHandler(pending, response));
                context.close();
            }
        }

        /**
         * Removes and returns the request in flight and cancels its timeout; empty if there is
         * none.
         */
        private Optional<PendingRequest> takeInFlight() {
            Optional<PendingRequest> taken = inFlight;
            inFlight = Optional.empty();
            timeout.ifPresent(running -> running.cancel(false));
            return taken;
        }

        /**
         * Passes the response to the handler. Guards against a handler that throws on an unexpected
         * response, which would leave the bookkeeping of connections incomplete.
         */
        private void notifyHandler(PendingRequest pending, HttpResponse response) {
            try {
                pending.handler.onResponse(response);
            } catch (RuntimeException e) {
                LOG.error(
                        "response handler failed: status={} method={} path={}",
                        response.status(),
                        pending.request.method,
                        pending.request.path,
                        e);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idleConnections.remove(this);
            takeInFlight().ifPresent(pending -> notifyHandler(pending, HttpResponse.NONE));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
