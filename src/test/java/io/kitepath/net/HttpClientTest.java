package io.kitepath.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HttpClientTest {
    @Test
    void failsCallWithoutSendingItWhenItWaitsForAConnectionLongerThanItsTimeout() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        List<String> receivedPaths = new ArrayList<>();
        // The server never responds, and the client has one connection to it.
        Channel server =
                new HttpServer(
                                (request, responder) -> receivedPaths.add(request.path()),
                                1024,
                                10,
                                60)
                        .listen(group, new InetSocketAddress("127.0.0.1", 0))
                        .sync()
                        .channel();
        EventLoop loop = group.next();
        HttpClient client =
                new HttpClient(loop, (InetSocketAddress) server.localAddress(), 1, 1024);
        CompletableFuture<Integer> first = new CompletableFuture<>();
        CompletableFuture<Integer> second = new CompletableFuture<>();
        loop.execute(
                () -> {
                    client.call(
                            HttpClient.Request.get("/first"),
                            60_000,
                            response -> first.complete(response.status()));
                    client.call(
                            HttpClient.Request.get("/second"),
                            50,
                            response -> second.complete(response.status()));
                });
        assertEquals(0, second.get(30, TimeUnit.SECONDS));
        assertFalse(first.isDone());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        assertFalse(receivedPaths.contains("/second"));
    }
}
