package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.kitepath.core.Controller;
import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.Redirect;
import io.kitepath.core.model.CellMessage.RequestKind;
import io.kitepath.core.model.CellMessage.UserRequest;
import io.kitepath.core.model.CellMessage.UserResponse;
import io.kitepath.core.model.ClusterSettings;
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
        Map<String, ClusterSettings.Team> none = Map.of();
        CellDirectory directory =
                new CellDirectory(
                        1,
                        "west",
                        Map.of(
                                "west",
                                new CellDirectory.Cell(
                                        "west", true, false, List.of("a"), Map.of("w0", "x"), none),
                                "east",
                                new CellDirectory.Cell(
                                        "east",
                                        true,
                                        false,
                                        List.of("b"),
                                        Map.of("e0", "y"),
                                        none)));
        ClusterSettings settings =
                new ClusterSettings(
                        "w0",
                        "a",
                        List.of(),
                        List.of("a"),
                        none,
                        List.of(),
                        new ClusterSettings.WorkerTimings(1, 10, 30, 5, 30),
                        new ClusterSettings.StoreLimits(100, 100, 8, 40),
                        new ClusterSettings.CloudLimits(1, 1),
                        new ClusterSettings.ProcessLimits(1, 200, 1000),
                        5);
        Peers peers = new Peers(group, "w0", Map.of(), true);
        loop.submit(
                        () -> {
                            Controller c =
                                    new Controller(
                                            settings,
                                            new RefusingStore(),
                                            null,
                                            null,
                                            new LoopTimers(loop),
                                            peers,
                                            new Random(1),
                                            directory,
                                            (cell, node, message, answer) -> answer.accept(null));
                            return peers.start(c, at);
                        })
                .get()
                .sync();
    }

    private CellMessage ask(CellLinks links, String node, CellMessage message) throws Exception {
        CompletableFuture<CellMessage> got = new CompletableFuture<>();
        loop.execute(() -> links.ask("west", node, message, got::complete));
        return got.get(5, TimeUnit.SECONDS);
    }

    @Test
    void aNodeAnswersWhatItCanAndSendsTheRestToItsHolder() throws Exception {
        InetSocketAddress at = free();
        west(at);
        CellLinks links = new CellLinks(group, Map.of("west", Map.of("w0", at)), new Random(1));
        // Nobody leads there; its store has not said by which homes it goes.
        assertEquals(
                new Redirect(null),
                ask(links, null, new CellMessage.LoanRecall("east", 7, 7, true)));
        assertEquals(
                new UserResponse("LATER", null),
                ask(links, "w0", new UserRequest(RequestKind.STATUS, "j-1", null)));
        assertEquals(new Redirect(null), ask(links, "unknown", new CellMessage.LoanSettled(7, 7)));
    }

    @Test
    void whoIsNotThereAnswersNothingInTime() throws Exception {
        CellLinks links = new CellLinks(group, Map.of("west", Map.of("w0", free())), new Random(1));
        assertNull(ask(links, "w0", new CellMessage.LoanSettled(7, 7)));
        CompletableFuture<CellMessage> got = new CompletableFuture<>();
        loop.execute(
                () -> links.ask("nowhere", null, new CellMessage.LoanSettled(7, 7), got::complete));
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
            assertNull(ask(links, "w0", new CellMessage.LoanSettled(7, 7)));
        }
    }
}
