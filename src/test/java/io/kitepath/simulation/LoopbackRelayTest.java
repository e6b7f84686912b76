package io.kitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.kitepath.simulation.LoopbackRelay.Mode;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each mode of a link does to bytes what it says. */
class LoopbackRelayTest {
    private static final int ARRIVES_WITHIN_MILLIS = 5000;
    private static final int STAYS_AWAY_MILLIS = 300;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private ServerSocket server;
    private LoopbackRelay relay;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        relay =
                new LoopbackRelay(
                        group.next(), new InetSocketAddress("127.0.0.1", server.getLocalPort()));
        address = relay.start();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static int read(Socket socket, int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        return socket.getInputStream().read();
    }

    /** Changes the link's mode and waits until it has taken effect. */
    private void setMode(Mode mode) throws InterruptedException {
        relay.setMode(mode);
        group.submit(() -> {}).sync();
    }

    private static void assertPasses(int value, Socket from, Socket to) throws IOException {
        from.getOutputStream().write(value);
        assertEquals(value, read(to, ARRIVES_WITHIN_MILLIS));
    }

    @Test
    void aSilentLinkDeliversInOrderOnceItIsOpen() throws Exception {
        try (Socket client = new Socket(address.getAddress(), address.getPort());
                Socket accepted = server.accept()) {
            assertPasses(1, client, accepted);
            setMode(Mode.SILENT);
            client.getOutputStream().write(2);
            client.getOutputStream().write(3);
            assertThrows(SocketTimeoutException.class, () -> read(accepted, STAYS_AWAY_MILLIS));
            setMode(Mode.OPEN);
            assertEquals(2, read(accepted, ARRIVES_WITHIN_MILLIS));
            assertEquals(3, read(accepted, ARRIVES_WITHIN_MILLIS));
        }
    }

    @Test
    void whatAClosedConnectionSentIsDeliveredLate() throws Exception {
        try (Socket client = new Socket(address.getAddress(), address.getPort());
                Socket accepted = server.accept()) {
            assertPasses(1, client, accepted);
            setMode(Mode.SILENT);
            client.getOutputStream().write(2);
            client.shutdownOutput();
            assertThrows(SocketTimeoutException.class, () -> read(accepted, STAYS_AWAY_MILLIS));
            setMode(Mode.OPEN);
            assertEquals(2, read(accepted, ARRIVES_WITHIN_MILLIS));
            assertEquals(-1, read(accepted, ARRIVES_WITHIN_MILLIS));
        }
    }

    @Test
    void responsesAreHeldWhileRequestsPass() throws Exception {
        try (Socket client = new Socket(address.getAddress(), address.getPort());
                Socket accepted = server.accept()) {
            setMode(Mode.RESPONSES_HELD);
            assertPasses(1, client, accepted);
            accepted.getOutputStream().write(2);
            assertThrows(SocketTimeoutException.class, () -> read(client, STAYS_AWAY_MILLIS));
            setMode(Mode.OPEN);
            assertEquals(2, read(client, ARRIVES_WITHIN_MILLIS));
        }
    }

    @Test
    void aResetLinkEndsConnections() throws Exception {
        try (Socket client = new Socket(address.getAddress(), address.getPort());
                Socket accepted = server.accept()) {
            assertPasses(1, client, accepted);
            setMode(Mode.RESET);
            assertThrows(IOException.class, () -> read(client, ARRIVES_WITHIN_MILLIS));
        }
    }
}
