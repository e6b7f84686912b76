package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.kitepath.core.Controller;
import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.net.LoopTimers;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The nodes' own channel, where connections break. */
class PeersTest {
    @Test
    void oneConnectionThatClosesAsItIsWrittenToDoesNotKeepTheOthersFromBeingTold() {
        Map<String, Channel> channels = new HashMap<>();
        for (String s : List.of("k1", "k2", "k3")) {
            EmbeddedChannel ch = new EmbeddedChannel();
            channels.put(s, ch);
            ch.closeFuture().addListener(f -> channels.remove(s));
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

    /** A sibling that is played here, on a connection to it or from it. */
    private static final class Played implements AutoCloseable {
        private final Socket socket;
        private final PeerMessageCodec messages = PeerMessageCodec.withinCell();

        Played(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(5000);
        }

        void says(PeerMessage message) throws IOException {
            byte[] frame = messages.encode(message);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(frame.length);
            out.write(frame);
        }

        PeerMessage hears() throws IOException {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            byte[] frame = new byte[in.readInt()];
            in.readFully(frame);
            return messages.decode(frame);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /**
     * Production ends a connection at a message that it does not know, so that nothing would be
     * said any more at all.
     */
    @Test
    void digestsGoOnlyToThoseThatSaidThatTheyReadThem() throws Exception {
        InetAddress here = InetAddress.getLoopbackAddress();
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket old = new ServerSocket(0, 4, here);
                ServerSocket fresh = new ServerSocket(0, 4, here);
                ServerSocket free = new ServerSocket(0, 1, here)) {
            InetSocketAddress at = new InetSocketAddress(here, free.getLocalPort());
            free.close();
            EventLoop loop = group.next();
            Peers peers =
                    new Peers(
                            group,
                            "k0",
                            Map.of(
                                    "old",
                                    new InetSocketAddress(here, old.getLocalPort()),
                                    "fresh",
                                    new InetSocketAddress(here, fresh.getLocalPort())),
                            false);
            ClusterSettings settings =
                    new ClusterSettings(
                            "k0",
                            "a",
                            List.of("old", "fresh"),
                            List.of("a"),
                            Map.of(),
                            List.of(),
                            new ClusterSettings.WorkerTimings(1, 10, 30, 5, 30),
                            new ClusterSettings.StoreLimits(100, 100, 8, 40),
                            new ClusterSettings.CloudLimits(1, 1),
                            new ClusterSettings.ProcessLimits(1, 200, 1000),
                            5);
            loop.submit(
                            () ->
                                    peers.start(
                                            new Controller(
                                                    settings,
                                                    new RefusingStore(),
                                                    null,
                                                    null,
                                                    new LoopTimers(loop),
                                                    peers,
                                                    new Random(1)),
                                            at))
                    .get()
                    .sync();
            CancellationDigest said = new CancellationDigest("k0", 1, 2, List.of("j-1", "j-2"));
            loop.scheduleAtFixedRate(
                    () -> {
                        peers.announceState(7, null, true);
                        peers.sendCancellationDigest(said);
                    },
                    0,
                    20,
                    TimeUnit.MILLISECONDS);
            try (Played o = new Played(old.accept());
                    Played f = new Played(fresh.accept());
                    Played from = new Played(new Socket(here, at.getPort()))) {
                f.says(PeerMessage.ProgressReply.readsCancelledJobs());
                PeerMessage heard = f.hears();
                while (!(heard instanceof PeerMessage.CancelledJobs)) {
                    heard = f.hears();
                }
                assertEquals(
                        new PeerMessage.CancelledJobs("k0", 1, 2, new ArrayList<>(said.jobIds())),
                        heard);
                for (int i = 0; i < 20; i++) {
                    assertInstanceOf(PeerMessage.NodeState.class, o.hears());
                }
                // Whoever tells its view hears what is read here, in the form of an answer that
                // production drops.
                from.says(new PeerMessage.NodeState("old", 7, false, true));
                assertInstanceOf(PeerMessage.NodeState.class, from.hears());
                assertEquals(PeerMessage.ProgressReply.readsCancelledJobs(), from.hears());
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
