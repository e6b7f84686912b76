package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.kitepath.core.Controller;
import io.kitepath.core.model.CancellationDigest;
import io.kitepath.net.LoopTimers;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The nodes' own channel, where connections break. */
class PeersTest {
    private static final CancellationDigest DIGEST =
            new CancellationDigest("k0", 1, 2, List.of("j-1", "j-2"));

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();

    @AfterEach
    void stopLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void oneConnectionThatClosesAsItIsWrittenToDoesNotKeepTheOthersFromBeingTold() {
        Map<String, Channel> channels = new HashMap<>();
        for (String peer : List.of("k1", "k2", "k3")) {
            EmbeddedChannel channel = new EmbeddedChannel();
            channels.put(peer, channel);
            channel.closeFuture().addListener(closed -> channels.remove(peer));
        }
        List<Channel> told = new ArrayList<>();
        Peers.forEachChannel(
                channels.values(),
                channel -> {
                    told.add(channel);
                    if (told.size() == 1) {
                        channel.close();
                    }
                });
        assertEquals(3, told.size());
        assertEquals(2, channels.size());
    }

    /** The other end of a connection to or from the node under test. */
    private static final class FakePeer implements AutoCloseable {
        private static final int READ_TIMEOUT_MILLIS = 5000;

        private final Socket socket;
        private final PeerMessageCodec codec = PeerMessageCodec.withinCell();

        FakePeer(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        }

        void send(PeerMessage message) throws IOException {
            byte[] frame = codec.encode(message);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(frame.length);
            out.write(frame);
        }

        PeerMessage receive() throws IOException {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            byte[] frame = new byte[in.readInt()];
            in.readFully(frame);
            return codec.decode(frame);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Starts a node that announces its state and its digest every 20 ms. */
    private void startNode(InetSocketAddress address, ServerSocket oldPeer, ServerSocket newPeer)
            throws Exception {
        Map<String, InetSocketAddress> peerAddresses =
                Map.of(
                        "old", TestNodes.addressOf(oldPeer),
                        "new", TestNodes.addressOf(newPeer));
        Peers peers = new Peers(group, "k0", peerAddresses, false);
        loop.submit(() -> peers.start(controller(peers), address)).get().sync();
        loop.scheduleAtFixedRate(
                () -> {
                    peers.announceState(7, null, true);
                    peers.sendCancellationDigest(DIGEST);
                    peers.announceImpliedCancellations(List.of("j-7", "j-8"));
                },
                0,
                20,
                TimeUnit.MILLISECONDS);
    }

    private Controller controller(Peers peers) {
        return new Controller(
                TestNodes.settings("k0", List.of("old", "new")),
                new RefusingStore(),
                null,
                null,
                new LoopTimers(loop),
                peers,
                new Random(1));
    }

    /**
     * An older version closes a connection at a message that it does not know, so that nothing
     * would be said any more at all.
     */
    @Test
    void digestsGoOnlyToThoseThatSaidThatTheyReadThem() throws Exception {
        withPeers(
                (oldPeer, newPeer, connecting) -> {
                    newPeer.send(PeerMessage.ProgressReply.readsCancelledJobs());
                    assertEquals(
                            new PeerMessage.CancelledJobs("k0", 1, 2, DIGEST.jobIds()),
                            firstDigest(newPeer));
                    for (int i = 0; i < 20; i++) {
                        assertInstanceOf(PeerMessage.NodeState.class, oldPeer.receive());
                    }
                    // Whoever announces its state is told what is read here, in the form of a reply
                    // which an older version drops.
                    connecting.send(new PeerMessage.NodeState("old", 7, false, true));
                    assertInstanceOf(PeerMessage.NodeState.class, connecting.receive());
                    assertEquals(
                            PeerMessage.ProgressReply.readsCancelledJobs(), connecting.receive());
                });
    }

    /** Guards against a message that closes the connection to a peer of an earlier version. */
    @Test
    void impliedCancellationsGoOnlyToThoseThatSaidThatTheyReadThem() throws Exception {
        withPeers(
                (oldPeer, newPeer, connecting) -> {
                    oldPeer.send(PeerMessage.ProgressReply.readsCancelledJobs());
                    newPeer.send(PeerMessage.ProgressReply.readsImpliedCancellations());
                    PeerMessage message = newPeer.receive();
                    while (message instanceof PeerMessage.NodeState) {
                        message = newPeer.receive();
                    }
                    assertEquals(
                            new PeerMessage.ImpliedCancellations(List.of("j-7", "j-8")), message);
                    for (int i = 0; i < 20; i++) {
                        assertFalse(oldPeer.receive() instanceof PeerMessage.ImpliedCancellations);
                    }
                    connecting.send(new PeerMessage.NodeState("old", 7, false, true));
                    assertInstanceOf(PeerMessage.NodeState.class, connecting.receive());
                    connecting.receive();
                    assertEquals(
                            PeerMessage.ProgressReply.readsImpliedCancellations(),
                            connecting.receive());
                });
    }

    /**
     * What a test does with a peer of an older and one of this version, and a further connection.
     */
    private interface PeerScenario {
        void play(FakePeer oldPeer, FakePeer newPeer, FakePeer connecting) throws Exception;
    }

    private void withPeers(PeerScenario scenario) throws Exception {
        InetSocketAddress address = TestNodes.freeAddress();
        try (ServerSocket oldSocket = TestNodes.listen();
                ServerSocket newSocket = TestNodes.listen()) {
            startNode(address, oldSocket, newSocket);
            try (FakePeer oldPeer = new FakePeer(oldSocket.accept());
                    FakePeer newPeer = new FakePeer(newSocket.accept());
                    FakePeer connecting =
                            new FakePeer(new Socket(address.getAddress(), address.getPort()))) {
                scenario.play(oldPeer, newPeer, connecting);
            }
        }
    }

    private static PeerMessage firstDigest(FakePeer peer) throws IOException {
        PeerMessage message = peer.receive();
        while (!(message instanceof PeerMessage.CancelledJobs)) {
            message = peer.receive();
        }
        return message;
    }
}
