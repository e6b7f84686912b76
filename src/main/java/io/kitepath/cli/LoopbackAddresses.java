package io.kitepath.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Addresses on this machine's loopback interface. */
final class LoopbackAddresses {
    private static final String LOOPBACK = "127.0.0.1";

    private LoopbackAddresses() {}

    /** An address whose port is free at the moment; another process may still take it. */
    static InetSocketAddress free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return new InetSocketAddress(LOOPBACK, socket.getLocalPort());
        }
    }

    /** {@code host:port}, as settings and commands take it. */
    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
