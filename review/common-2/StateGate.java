package review2;

import io.kitepath.net.HttpClient;
import io.kitepath.net.HttpServer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The way of one controller to the state service. While it refuses, the controller alone gets 503,
 * and its open watches wait, as PROTOCOL says of a node that alone is refused.
 */
final class StateGate {
    private static final int MAX_BYTES = 4 << 20;
    private static final long TIMEOUT_MILLIS = 70_000;

    private final HttpClient client;
    private final EventLoop loop;
    private final List<Runnable> waiting = new ArrayList<>();
    private boolean refuses;

    StateGate(EventLoopGroup group, InetSocketAddress state) {
        this.loop = group.next();
        this.client = new HttpClient(loop, state, 32, MAX_BYTES);
    }

    /** Starts to listen on a free port; returns where. */
    InetSocketAddress start() {
        HttpServer server = new HttpServer(this::handle, MAX_BYTES, 1000, 600);
        ServerSocketChannel channel =
                (ServerSocketChannel)
                        server.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                                .syncUninterruptibly()
                                .channel();
        return channel.localAddress();
    }

    /** Begins or ends to refuse the controller. */
    void setRefuses(boolean value) {
        loop.submit(
                        () -> {
                            refuses = value;
                            if (!value) {
                                List<Runnable> held = List.copyOf(waiting);
                                waiting.clear();
                                held.forEach(Runnable::run);
                            }
                        })
                .syncUninterruptibly();
    }

    private void handle(HttpServer.Request request, HttpServer.Responder responder) {
        if (refuses) {
            responder.reply(503);
            return;
        }
        String path = request.query().isEmpty() ? request.path() : request.path() + "?" + request.query();
        HttpClient.Request forwarded =
                switch (request.method()) {
                    case "POST" -> HttpClient.Request.post(path, request.body());
                    case "DELETE" -> HttpClient.Request.delete(path);
                    default -> HttpClient.Request.get(path);
                };
        boolean isWatch = request.path().equals("/follow");
        client.call(
                forwarded,
                TIMEOUT_MILLIS,
                response -> {
                    Runnable deliver =
                            () ->
                                    responder.reply(
                                            response.status() == 0 ? 500 : response.status(),
                                            response.body());
                    if (isWatch && refuses) {
                        waiting.add(deliver);
                    } else {
                        deliver.run();
                    }
                });
    }
}
