package io.kitepath.cli;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Addresses on this machine's loopback interface. */
final class LoopbackAddresses {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int MIN_PORT = 15_000;
    private static final int MAX_PORT = 32_000;
    private static final int MAX_TRIES = 100;

    private LoopbackAddresses() {}

    /**
     * An address whose port is free at the moment. Another process may still listen on it, but no
     * outgoing connection takes it, as it is below the ports that the system gives to those.
     */
    static InetSocketAddress free() throws IOException {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
                return new InetSocketAddress(LOOPBACK, socket.getLocalPort());
            } catch (BindException taken) {
                continue;
            }
        }
        throw new BindException("no free port found from " + MIN_PORT + " to " + MAX_PORT);
    }

    /** {@code host:port}, as settings and commands take it. */
    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
