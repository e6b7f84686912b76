package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.kitepath.core.CellNetwork;
import io.kitepath.core.Controller;
import io.kitepath.core.NodeEnvironment;
import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.Redirect;
import io.kitepath.core.model.CellMessage.RequestKind;
import io.kitepath.core.model.CellMessage.UserRequest;
import io.kitepath.core.model.CellMessage.UserResponse;
import io.kitepath.net.LoopTimers;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    void stopLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static CellDirectory directory() {
        return new CellDirectory(
                1,
                "west",
                Map.of("west", cell("west", "a", "w0"), "east", cell("east", "b", "e0")));
    }

    private static CellDirectory.Cell cell(String name, String zone, String node) {
        return new CellDirectory.Cell(
                name, true, false, List.of(zone), Map.of(node, "unused"), Map.of());
    }

    /** Starts a node of the cell west, whose store refuses everything. */
    private void startWest(InetSocketAddress address) throws Exception {
        Peers peers = new Peers(group, "w0", Map.of(), true);
        loop.submit(() -> peers.start(controllerOfWest(peers), address)).get().sync();
    }

    private Controller controllerOfWest(Peers peers) {
        return new Controller(
                TestNodes.settings("w0", List.of()),
                new NodeEnvironment(
                        new RefusingStore(),
                        null,
                        null,
                        new LoopTimers(loop),
                        peers,
                        new Random(1)),
                Optional.of(
                        new CellNetwork(
                                directory(),
                                (cell, node, message, answer) -> answer.accept(null))));
    }

    private CellLinks linksToWest(InetSocketAddress address) {
        return new CellLinks(group, Map.of("west", Map.of("w0", address)), new Random(1));
    }

    private CellMessage ask(CellLinks links, String node, CellMessage message) throws Exception {
        CompletableFuture<CellMessage> answer = new CompletableFuture<>();
        loop.execute(() -> links.ask("west", node, message, answer::complete));
        return answer.get(5, TimeUnit.SECONDS);
    }

    @Test
    void aNodeAnswersWhatItCanAndSendsTheRestToItsHolder() throws Exception {
        InetSocketAddress address = TestNodes.freeAddress();
        startWest(address);
        CellLinks links = linksToWest(address);
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
        CellLinks links = linksToWest(TestNodes.freeAddress());
        assertNull(ask(links, "w0", new CellMessage.LoanSettled(7, 7)));
        CompletableFuture<CellMessage> answer = new CompletableFuture<>();
        loop.execute(
                () ->
                        links.ask(
                                "nowhere",
                                null,
                                new CellMessage.LoanSettled(7, 7),
                                answer::complete));
        assertNull(answer.get(5, TimeUnit.SECONDS));
    }

    @Test
    void oneThatListensAndNeverAnswersIsGivenUp() throws Exception {
        try (ServerSocket silent = TestNodes.listen()) {
            CellLinks links = linksToWest(TestNodes.addressOf(silent));
            assertNull(ask(links, "w0", new CellMessage.LoanSettled(7, 7)));
        }
    }
}
