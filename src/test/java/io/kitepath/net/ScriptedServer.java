package io.kitepath.net;

import io.kitepath.wire.MessagePackCodec;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A server on the loopback address that sends scripted replies, with its event loop. */
public final class ScriptedServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final List<String> received = new ArrayList<>();
    private final Deque<Reply> replies = new ArrayDeque<>();
    private final InetSocketAddress address;

    private record Reply(int status, byte[] body) {}

    /** Starts listening. */
    public ScriptedServer() throws Exception {
        HttpServer server = new HttpServer(this::handle, MAX_BODY_BYTES, 10, 60);
        address =
                (InetSocketAddress)
                        server.listen(group, new InetSocketAddress("127.0.0.1", 0))
                                .sync()
                                .channel()
                                .localAddress();
    }

    private void handle(HttpServer.Request request, HttpServer.Responder responder) {
        String query = request.query().isEmpty() ? "" : "?" + request.query();
        String body = request.body().length == 0 ? "" : " " + text(request.body());
        received.add(request.method() + " " + request.path() + query + body);
        Reply reply = replies.poll();
        if (reply != null) {
            responder.reply(reply.status, reply.body);
        }
    }

    /** Returns a body as text: the decoded document, or the bytes in hex if it can't be decoded. */
    private static String text(byte[] body) {
        try {
            return String.valueOf(MessagePackCodec.decode(body));
        } catch (RuntimeException e) {
            return HexFormat.of().formatHex(body);
        }
    }

    /** Returns a client of this server. */
    public HttpClient client() {
        return clientOf(address);
    }

    /** Returns a client of another server, on the same event loop. */
    public HttpClient clientOf(InetSocketAddress otherAddress) {
        return new HttpClient(loop, otherAddress, 2, MAX_BODY_BYTES);
    }

    /** Queues a document as the reply to the next request without one. */
    public void reply(int status, Object document) {
        reply(status, MessagePackCodec.encode(document));
    }

    /** Queues bytes as the reply to the next request without one. */
    public void reply(int status, byte[] body) {
        loop.submit(() -> replies.add(new Reply(status, body))).syncUninterruptibly();
    }

    /** Makes a call on the event loop and waits for its result. */
    public <T> T call(Consumer<Consumer<T>> call) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> call.accept(result::complete));
        return result.get(10, TimeUnit.SECONDS);
    }

    /** Returns the requests since the last call, as method, path, query and decoded body. */
    public List<String> received() throws Exception {
        return loop.submit(
                        () -> {
                            List<String> requests = List.copyOf(received);
                            received.clear();
                            return requests;
                        })
                .get();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
