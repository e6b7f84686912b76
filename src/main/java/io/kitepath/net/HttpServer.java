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

/** HTTP/1.1 requests in, one answer each, on the one event loop that owns everything. */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    /** Takes a request and answers it once, now or later. */
    public interface Handler {
        void handle(Request request, Responder out);
    }

    /** {@code path} is as sent, without the query, which is empty if there is none. */
    public record Request(String method, String path, String query, byte[] body) {}

    private final Handler handler;
    private final int maxBody;
    private final int maxConnections;
    private final int idleSeconds;
    private int connections;

    /**
     * A connection without a request for {@code idleSeconds} is closed, so that abandoned ones
     * don't pile up.
     */
    public HttpServer(Handler handler, int maxBody, int maxConnections, int idleSeconds) {
        this.handler = handler;
        this.maxBody = maxBody;
        this.maxConnections = maxConnections;
        this.idleSeconds = idleSeconds;
    }

    public ChannelFuture listen(EventLoopGroup loop, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 256)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                accept(channel);
                            }
                        })
                .bind(address);
    }

    private void accept(SocketChannel channel) {
        // Guards the socket limit: the platform fails new connections past it, our own outgoing
        // ones too.
        if (connections >= maxConnections) {
            channel.close();
            return;
        }
        connections++;
        channel.closeFuture().addListener(f -> connections--);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(4096, 8192, 8192),
                        new Aggregator(maxBody),
                        new IdleStateHandler(0, 0, idleSeconds),
                        new Connection());
    }

    /** Collects a body; one that is too large gets 400 and loses only its connection. */
    private static final class Aggregator extends HttpObjectAggregator {
        Aggregator(int max) {
            super(max, true);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            ctx.writeAndFlush(response(400, null, 0, false))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }

    private static FullHttpResponse response(
            int status, byte[] body, int retryAfterS, boolean keepAlive) {
        byte[] content = body == null ? new byte[0] : body;
        FullHttpResponse r =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(content));
        r.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        if (retryAfterS > 0) {
            r.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterS);
        }
        if (!keepAlive) {
            r.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        return r;
    }

    /** The single answer to a request. */
    public interface Responder {
        default void reply(int status, byte[] body) {
            reply(status, body, 0);
        }

        void reply(int status, byte[] body, int retryAfterS);
    }

    private static final class ChannelResponder implements Responder {
        private final Channel channel;
        private final Connection connection;
        private final boolean keepAlive;
        private boolean answered;

        ChannelResponder(Channel channel, Connection connection, boolean keepAlive) {
            this.channel = channel;
            this.connection = connection;
            this.keepAlive = keepAlive;
        }

        @Override
        public void reply(int status, byte[] body, int retryAfterS) {
            if (answered) {
                return;
            }
            answered = true;
            connection.busy = false;
            ChannelFuture sent =
                    channel.writeAndFlush(response(status, body, retryAfterS, keepAlive));
            if (!keepAlive) {
                sent.addListener(ChannelFutureListener.CLOSE);
            }
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean busy;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (busy || request.decoderResult().isFailure()) {
                // Nobody pipelines; a second request before the answer, or one that can't be
                // parsed, is broken.
                ctx.writeAndFlush(response(400, null, 0, false))
                        .addListener(ChannelFutureListener.CLOSE);
                return;
            }
            busy = true;
            String uri = request.uri();
            int query = uri.indexOf('?');
            Responder out =
                    new ChannelResponder(ctx.channel(), this, HttpUtil.isKeepAlive(request));
            try {
                handler.handle(
                        new Request(
                                request.method().name(),
                                query < 0 ? uri : uri.substring(0, query),
                                query < 0 ? "" : uri.substring(query + 1),
                                ByteBufUtil.getBytes(request.content())),
                        out);
            } catch (RuntimeException e) {
                LOG.error("request {} {} failed", request.method(), uri, e);
                out.reply(500, null);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (!busy) {
                ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debug("connection {} failed: {}", ctx.channel().remoteAddress(), cause.toString());
            ctx.close();
        }
    }
}
