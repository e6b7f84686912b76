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
 * Serves HTTP/1.1, one request at a time on each connection. All of it runs on the event loop, so a
 * handler must not block.
 */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    private static final int MAX_INITIAL_LINE_BYTES = 4096;
    private static final int MAX_HEADER_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 8192;
    private static final int LISTEN_BACKLOG = 256;
    private static final int NO_RETRY_AFTER = 0;
    private static final byte[] EMPTY_BODY = new byte[0];

    /** Acts on requests. */
    @FunctionalInterface
    public interface Handler {
        /** Takes a request and answers it once, now or later, on the event loop. */
        void handle(Request request, Responder out);
    }

    /**
     * A request that was received.
     *
     * @param path as sent, without the query
     * @param query what follows the question mark, empty if there is none
     * @param body the content, maybe empty
     */
    public record Request(String method, String path, String query, byte[] body) {
        private static Request of(FullHttpRequest message) {
            String uri = message.uri();
            int mark = uri.indexOf('?');
            return new Request(
                    message.method().name(),
                    mark < 0 ? uri : uri.substring(0, mark),
                    mark < 0 ? "" : uri.substring(mark + 1),
                    ByteBufUtil.getBytes(message.content()));
        }
    }

    /** Sends the single response to a request; all calls but the first one are ignored. */
    @FunctionalInterface
    public interface Responder {
        /** Responds without a body. */
        default void reply(int status) {
            reply(status, EMPTY_BODY);
        }

        /** Responds with a body, where null is an empty one. */
        default void reply(int status, byte[] body) {
            reply(status, body, NO_RETRY_AFTER);
        }

        /**
         * Responds with a body and says when to try again.
         *
         * @param body the content; null is an empty one
         * @param retryAfterSeconds goes into the header Retry-After, unless it is 0
         */
        void reply(int status, byte[] body, int retryAfterSeconds);
    }

    private final Handler handler;
    private final int maxBodyBytes;
    private final int maxConnections;
    private final int idleSeconds;
    private int openConnections;

    /**
     * @param maxBodyBytes the largest request body; one that is larger gets the status 400
     * @param maxConnections how many connections may be open at a time
     * @param idleSeconds a connection without a request for so long is closed, so that abandoned
     *     ones don't pile up
     */
    public HttpServer(Handler handler, int maxBodyBytes, int maxConnections, int idleSeconds) {
        this.handler = handler;
        this.maxBodyBytes = maxBodyBytes;
        this.maxConnections = maxConnections;
        this.idleSeconds = idleSeconds;
    }

    /** Begins to listen; the future fails if the address can't be bound. */
    public ChannelFuture listen(EventLoopGroup loop, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ConnectionInitializer())
                .bind(address);
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            // The operating system limits the sockets of a process: past the limit it fails new
            // connections, also the outgoing ones.
            if (openConnections >= maxConnections) {
                channel.close();
                return;
            }
            openConnections++;
            channel.closeFuture().addListener(closed -> openConnections--);
            channel.pipeline()
                    .addLast(
                            new HttpServerCodec(
                                    MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                            new BodyAggregator(maxBodyBytes),
                            new IdleStateHandler(0, 0, idleSeconds),
                            new Connection());
        }
    }

    /** Collects a body; one that is too large gets the status 400, and the connection is closed. */
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

    private static final class ChannelResponder implements Responder {
        private final Channel channel;
        private final Connection connection;
        private final boolean keepAlive;
        private boolean isAnswered;

        ChannelResponder(Channel channel, Connection connection, boolean keepAlive) {
            this.channel = channel;
            this.connection = connection;
            this.keepAlive = keepAlive;
        }

        @Override
        public void reply(int status, byte[] body, int retryAfterSeconds) {
            if (isAnswered) {
                return;
            }
            isAnswered = true;
            connection.isBusy = false;
            byte[] content = body == null ? EMPTY_BODY : body;
            ChannelFuture sent =
                    channel.writeAndFlush(response(status, content, retryAfterSeconds, keepAlive));
            if (!keepAlive) {
                sent.addListener(ChannelFutureListener.CLOSE);
            }
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        /** Whether a request has not been answered yet. */
        private boolean isBusy;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
            // Nobody pipelines: a second request before the response is as broken as one that can't
            // be parsed.
            if (isBusy || message.decoderResult().isFailure()) {
                refuseAndClose(context);
                return;
            }
            isBusy = true;
            boolean keepAlive = HttpUtil.isKeepAlive(message);
            Responder out = new ChannelResponder(context.channel(), this, keepAlive);
            try {
                handler.handle(Request.of(message), out);
            } catch (RuntimeException e) {
                LOG.error("request {} {} failed", message.method(), message.uri(), e);
                out.reply(HttpStatus.INTERNAL_SERVER_ERROR);
            }
        }

        /** The only event is that the connection is idle. */
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (!isBusy) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug(
                    "connection {} failed: {}",
                    context.channel().remoteAddress(),
                    cause.toString());
            context.close();
        }
    }
}
