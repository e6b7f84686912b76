package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.kitepath.core.Controller;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.Elsewhere;
import io.kitepath.core.model.CellMessage.UserAnswer;
import io.kitepath.core.model.CellMessage.UserAsk;
import io.kitepath.core.model.CellMessage.Wish;
import io.kitepath.core.model.Directory;
import io.kitepath.core.model.Facts;
import io.kitepath.net.LoopTimers;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Questions between cells over real sockets on loopback. */
class CellLinksTest {
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static InetSocketAddress free() throws Exception {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), s.getLocalPort());
        }
    }

    /** A node of the cell west that listens, and whose store refuses everything. */
    private void west(InetSocketAddress at) throws Exception {
        Map<String, Facts.Team> none = Map.of();
        Directory d =
                new Directory(
                        1,
                        "west",
                        Map.of(
                                "west",
                                new Directory.Cell(
                                        "west", true, false, List.of("a"), Map.of("w0", "x"), none),
                                "east",
                                new Directory.Cell(
                                        "east",
                                        true,
                                        false,
                                        List.of("b"),
                                        Map.of("e0", "y"),
                                        none)));
        Facts facts =
                new Facts(
                        "w0",
                        "a",
                        List.of(),
                        List.of("a"),
                        none,
                        List.of(),
                        new Facts.Workers(1, 10, 30, 5, 30),
                        new Facts.StoreLimits(100, 100, 8, 40),
                        new Facts.CloudLimits(1, 1),
                        new Facts.Limits(1, 200, 1000),
                        5);
        Peers peers = new Peers(group, "w0", Map.of(), true);
        loop.submit(
                        () -> {
                            Controller c =
                                    new Controller(
                                            facts,
                                            new RefusingStore(),
                                            null,
                                            null,
                                            new LoopTimers(loop),
                                            peers,
                                            new Random(1),
                                            d,
                                            (cell, node, m, answer) -> answer.accept(null));
                            return peers.start(c, at);
                        })
                .get()
                .sync();
    }

    private CellMessage ask(CellLinks links, String node, CellMessage m) throws Exception {
        CompletableFuture<CellMessage> got = new CompletableFuture<>();
        loop.execute(() -> links.ask("west", node, m, got::complete));
        return got.get(5, TimeUnit.SECONDS);
    }

    @Test
    void aNodeAnswersWhatItCanAndSendsTheRestToItsHolder() throws Exception {
        InetSocketAddress at = free();
        west(at);
        CellLinks links = new CellLinks(group, Map.of("west", Map.of("w0", at)), new Random(1));
        // Nobody leads there; its store has not said by which homes it goes.
        assertEquals(
                new Elsewhere(null), ask(links, null, new CellMessage.Recall("east", 7, 7, true)));
        assertEquals(
                new UserAnswer("LATER", null),
                ask(links, "w0", new UserAsk(Wish.STATUS, "j-1", null)));
        assertEquals(new Elsewhere(null), ask(links, "unknown", new CellMessage.Settled(7, 7)));
    }

    @Test
    void whoIsNotThereAnswersNothingInTime() throws Exception {
        CellLinks links = new CellLinks(group, Map.of("west", Map.of("w0", free())), new Random(1));
        assertNull(ask(links, "w0", new CellMessage.Settled(7, 7)));
        CompletableFuture<CellMessage> got = new CompletableFuture<>();
        loop.execute(
                () -> links.ask("nowhere", null, new CellMessage.Settled(7, 7), got::complete));
        assertNull(got.get(5, TimeUnit.SECONDS));
    }

    @Test
    void oneThatListensAndNeverAnswersIsGivenUp() throws Exception {
        try (ServerSocket mute = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
            CellLinks links =
                    new CellLinks(
                            group,
                            Map.of(
                                    "west",
                                    Map.of(
                                            "w0",
                                            new InetSocketAddress(
                                                    InetAddress.getLoopbackAddress(),
                                                    mute.getLocalPort()))),
                            new Random(1));
            assertNull(ask(links, "w0", new CellMessage.Settled(7, 7)));
        }
    }
}
