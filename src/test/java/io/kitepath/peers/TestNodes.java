package io.kitepath.peers;

import io.kitepath.core.model.ClusterSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;

/** What the tests with real sockets need for a node on the loopback address. */
final class TestNodes {
    private TestNodes() {}

    /** Settings of a node in the zone {@code a}, without teams and machine types. */
    static ClusterSettings settings(String node, List<String> peers) {
        return new ClusterSettings(
                node,
                "a",
                peers,
                List.of("a"),
                Map.of(),
                List.of(),
                new ClusterSettings.WorkerTimings(1, 10, 30, 5, 30),
                new ClusterSettings.StoreLimits(100, 100, 8, 40),
                new ClusterSettings.CloudLimits(1, 1),
                new ClusterSettings.ProcessLimits(1, 200, 1000),
                5);
    }

    /** A server socket on a port that the system chooses. */
    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 4, InetAddress.getLoopbackAddress());
    }

    /** The address of a listening socket. */
    static InetSocketAddress addressOf(ServerSocket socket) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }

    /** An address that nobody listens on. */
    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = listen()) {
            return addressOf(socket);
        }
    }
}
