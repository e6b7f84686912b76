package io.kitepath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.settings.JsonCodec;
import io.kitepath.settings.SettingsFile;
import io.kitepath.simulation.LoopbackEmulator;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.wire.EmulatorCodec;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against workers whose idle connections keep users and other workers out of a node. */
class ManyWorkerConnectionsTest {
    private static final int SOCKET_LIMIT = 48;
    private static final int WORKERS = 3 * SOCKET_LIMIT;
    private static final Duration USER_TIMEOUT = Duration.ofSeconds(2);
    private static final int WORKER_TIMEOUT_MILLIS = 4000;
    private static final double START_TIMEOUT_SECONDS = 20;
    private static final int NO_RESPONSE = 0;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final List<Socket> workerSockets = new ArrayList<>();
    private InetSocketAddress node;

    @BeforeEach
    void startNode() throws Exception {
        SimulatedCluster cluster = new SimulatedCluster();
        node = LoopbackAddresses.free();
        List<InetSocketAddress> services =
                new LoopbackEmulator(group, cluster, Map.of(LocalNodeSettings.label(0), node))
                        .start();
        Map<String, Object> settings =
                new LocalNodeSettings(
                                List.of(node),
                                List.of(LoopbackAddresses.free()),
                                services.get(0),
                                services.get(1),
                                cluster,
                                SOCKET_LIMIT)
                        .document(0);
        new Node(SettingsFile.parse(JsonCodec.toJson(settings)), null).start();
        assertTrue(RealTime.waitUntil(START_TIMEOUT_SECONDS, () -> heartbeat(0) == 200));
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : workerSockets) {
            socket.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void usersAreAnsweredWhileWorkersKeepConnectionsOpen() throws Exception {
        for (int worker = 1; worker <= WORKERS; worker++) {
            heartbeat(worker);
        }
        assertEquals(200, statusOf("/healthz"));
        assertEquals(404, statusOf("/submissions/j-000001"));
    }

    @Test
    void workersBeyondTheConnectionLimitAreAnswered() {
        for (int worker = 1; worker <= WORKERS; worker++) {
            assertEquals(200, heartbeat(worker), "worker " + worker);
        }
    }

    /** Asks as a user whose connection is new, like each one that a load balancer opens. */
    private int statusOf(String path) throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + LoopbackAddresses.text(node) + path))
                        .timeout(USER_TIMEOUT)
                        .build();
        try {
            return HttpClient.newHttpClient()
                    .send(request, HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException refused) {
            return NO_RESPONSE;
        }
    }

    /** Sends a worker's heartbeat on a connection that stays open; returns the status. */
    private int heartbeat(int worker) {
        byte[] body =
                EmulatorCodec.encodeHeartbeat(
                        new Heartbeat(
                                String.format("i-%06d", worker),
                                "127.0.0.1:1",
                                "m",
                                "a",
                                false,
                                1,
                                1,
                                0,
                                null,
                                List.of()));
        try {
            Socket socket = new Socket(node.getAddress(), node.getPort());
            workerSockets.add(socket);
            socket.setSoTimeout(WORKER_TIMEOUT_MILLIS);
            String head = "POST /checkin HTTP/1.1\r\ncontent-length: " + body.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body);
            byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            String line = new String(start, StandardCharsets.US_ASCII);
            return line.isEmpty() ? NO_RESPONSE : Integer.parseInt(line.substring(9));
        } catch (IOException refused) {
            return NO_RESPONSE;
        }
    }
}
