package io.kitepath.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves HTTP/1.1, with one request at a time per connection. All methods and callbacks run on the
 * event loop, so a handler must not block.
 */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    private static final int MAX_INITIAL_LINE_BYTES = 4096;
    private static final int MAX_HEADER_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 8192;
    private static final int MIN_LISTEN_BACKLOG = 256;
    private static final int NO_RETRY_AFTER = 0;
    private static final byte[] EMPTY_BODY = new byte[0];

    /** Handles requests. */
    @FunctionalInterface
    public interface Handler {
        /** Handles a request and responds once, immediately or later, on the event loop. */
        void handle(Request request, Responder responder);
    }

    /**
     * A received request.
     *
     * @param path the path as sent, without the query
     * @param query the text after the question mark, empty if there is none
     * @param body the content, possibly empty
     */
    public record Request(String method, String path, String query, byte[] body) {
        private static Request of(FullHttpRequest message) {
            String uri = message.uri();
            int queryMark = uri.indexOf('?');
            return new Request(
                    message.method().name(),
                    queryMark < 0 ? uri : uri.substring(0, queryMark),
                    queryMark < 0 ? "" : uri.substring(queryMark + 1),
                    ByteBufUtil.getBytes(message.content()));
        }
    }

    /** Sends the single response to a request; calls after the first are ignored. */
    @FunctionalInterface
    public interface Responder {
        /** Responds without a body. */
        default void reply(int status) {
            reply(status, EMPTY_BODY);
        }

        /** Responds with a body; null means an empty one. */
        default void reply(int status, byte[] body) {
            reply(status, body, NO_RETRY_AFTER);
        }

        /**
         * Responds with a body and the time to wait before a retry.
         *
         * @param body the content; null means an empty one
         * @param retryAfterSeconds the value of the header Retry-After; 0 omits the header
         */
        void reply(int status, byte[] body, int retryAfterSeconds);
    }

    private final Handler handler;
    private final int maxBodyBytes;
    private final ConnectionPolicy policy;
    private final OpenConnections connections;
    private long abandonedRequests;

    /**
     * @param maxBodyBytes the size of the largest accepted request body; a larger one gets status
     *     400
     */
    public HttpServer(Handler handler, int maxBodyBytes, ConnectionPolicy policy) {
        this.handler = handler;
        this.maxBodyBytes = maxBodyBytes;
        this.policy = policy;
        this.connections = new OpenConnections(policy);
    }

    /**
     * Creates a server no client's connection of which gives way to others.
     *
     * @param maxConnections the maximum number of open connections; further ones are closed
     * @param idleSeconds the time without a request after which a connection is closed
     */
    public HttpServer(Handler handler, int maxBodyBytes, int maxConnections, int idleSeconds) {
        this(handler, maxBodyBytes, new ConnectionPolicy(maxConnections, idleSeconds));
    }

    /** Starts listening; the future fails if the address can't be bound. */
    public ChannelFuture listen(EventLoopGroup loop, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                // All workers connect at once to a new leader.
                .option(
                        ChannelOption.SO_BACKLOG,
                        Math.max(MIN_LISTEN_BACKLOG, policy.maxConnections()))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ConnectionInitializer())
                .bind(address);
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.openCount();
    }

    /** Returns how many connections were closed at once because too many were open. */
    public long refusedConnections() {
        return connections.refusedCount();
    }

    /** Returns how many idle connections were closed because others needed their places. */
    public long replacedConnections() {
        return connections.replacedCount();
    }

    /** Returns how many requests got their response only after their connection was closed. */
    public long abandonedRequests() {
        return abandonedRequests;
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            // The operating system limits the sockets of a process: beyond the limit all new
            // connections fail, including outgoing ones.
            if (!connections.admit(channel)) {
                return;
            }
            channel.pipeline()
                    .addLast(
                            new HttpServerCodec(
                                    MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                            new BodyAggregator(maxBodyBytes),
                            new IdleStateHandler(0, 0, policy.idleSeconds()),
                            new Connection());
        }
    }

    /** Aggregates a body; one that is too large gets status 400, and the connection is closed. */
    private static final class BodyAggregator extends HttpObjectAggregator {
        BodyAggregator(int maxBodyBytes) {
            super(maxBodyBytes, true);
        }

        @Override
        protected void handleOversizedMessage(
                ChannelHandlerContext context, HttpMessage oversized) {
            refuseAndClose(context);
        }
    }

    private static void refuseAndClose(ChannelHandlerContext context) {
        context.writeAndFlush(response(HttpStatus.BAD_REQUEST, EMPTY_BODY, NO_RETRY_AFTER, false))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private static FullHttpResponse response(
            int status, byte[] body, int retryAfterSeconds, boolean keepAlive) {
        FullHttpResponse message =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (retryAfterSeconds > NO_RETRY_AFTER) {
            message.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds);
        }
        if (!keepAlive) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return message;
    }

    private final class ChannelResponder implements Responder {
        private final Channel channel;
        private final Connection connection;
        private final boolean clientKeepsAlive;
        private final boolean mayGiveWay;
        private boolean isReplied;

        ChannelResponder(
                Channel channel,
                Connection connection,
                boolean clientKeepsAlive,
                boolean mayGiveWay) {
            this.channel = channel;
            this.connection = connection;
            this.clientKeepsAlive = clientKeepsAlive;
            this.mayGiveWay = mayGiveWay;
        }

        @Override
        public void reply(int status, byte[] body, int retryAfterSeconds) {
            if (isReplied) {
                return;
            }
            isReplied = true;
            connection.hasRequestInFlight = false;
            abandonedRequests += channel.isActive() ? 0 : 1;
            boolean keepAlive = clientKeepsAlive && !(mayGiveWay && connections.areScarce());
            if (mayGiveWay && keepAlive) {
                connections.onReplaceable(channel);
            }
            byte[] content = body == null ? EMPTY_BODY : body;
            ChannelFuture write =
                    channel.writeAndFlush(response(status, content, retryAfterSeconds, keepAlive));
            if (!keepAlive) {
                write.addListener(ChannelFutureListener.CLOSE);
            }
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        /** Whether a request has no response yet. */
        private boolean hasRequestInFlight;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
            // Pipelining is not supported: a second request before the response is refused like
            // one that can't be parsed.
            if (hasRequestInFlight || message.decoderResult().isFailure()) {
                refuseAndClose(context);
                return;
            }
            hasRequestInFlight = true;
            connections.onRequest(context.channel());
            Request request = Request.of(message);
            Responder responder =
                    new ChannelResponder(
                            context.channel(),
                            this,
                            HttpUtil.isKeepAlive(message),
                            policy.mayGiveWay().test(request));
            try {
                handler.handle(request, responder);
            } catch (RuntimeException e) {
                LOG.error(
                        "request handler failed: method={} path={}",
                        message.method(),
                        message.uri(),
                        e);
                responder.reply(HttpStatus.INTERNAL_SERVER_ERROR);
            }
        }

        /** Closes an idle connection; idleness is the only event that occurs. */
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (!hasRequestInFlight) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug(
                    "connection failed: address={} reason={}",
                    context.channel().remoteAddress(),
                    cause.toString());
            context.close();
        }
    }
}
