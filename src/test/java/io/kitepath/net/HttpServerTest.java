package io.kitepath.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the bytes of responses as a client receives them on its socket. */
class HttpServerTest {
    private static final int MAX_BODY_BYTES = 16;
    private static final int MAX_CONNECTIONS = 2;
    private static final int IDLE_SECONDS = 1;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final InetSocketAddress address;

    HttpServerTest() throws Exception {
        HttpServer server =
                new HttpServer(this::handle, MAX_BODY_BYTES, MAX_CONNECTIONS, IDLE_SECONDS);
        address =
                (InetSocketAddress)
                        server.listen(group, new InetSocketAddress("127.0.0.1", 0))
                                .sync()
                                .channel()
                                .localAddress();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void handle(HttpServer.Request request, HttpServer.Responder responder) {
        switch (request.path()) {
            case "/echo" -> {
                String text = request.method() + " " + request.query() + " ";
                byte[] start = text.getBytes(StandardCharsets.UTF_8);
                byte[] body = new byte[start.length + request.body().length];
                System.arraycopy(start, 0, body, 0, start.length);
                System.arraycopy(request.body(), 0, body, start.length, request.body().length);
                responder.reply(200, body);
                responder.reply(500, null); // Ignored, as the response was already sent.
            }
            case "/empty" -> responder.reply(405, null);
            case "/later" -> responder.reply(503, new byte[] {'x'}, 7);
            case "/fails" -> throw new IllegalStateException("expected by the test");
            default -> {
                // No response.
            }
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(5000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads exactly as many bytes as expected and compares them. */
    private static void assertReceived(String expected, Socket socket) throws IOException {
        byte[] bytes = socket.getInputStream().readNBytes(expected.length());
        assertEquals(expected, new String(bytes, StandardCharsets.UTF_8));
    }

    private static void assertClosed(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        assertEquals(-1, in.read());
    }

    @Test
    void respondsToRequestsOnPersistentConnectionOneByOne() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "POST /echo?a=b HTTP/1.1\r\ncontent-length: 3\r\n\r\nxyz");
            assertReceived("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\nPOST a=b xyz", socket);
            send(socket, "GET /empty HTTP/1.1\r\n\r\n");
            assertReceived("HTTP/1.1 405 Method Not Allowed\r\ncontent-length: 0\r\n\r\n", socket);
            send(socket, "GET /later HTTP/1.1\r\n\r\n");
            assertReceived(
                    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 1\r\nretry-after: 7\r\n\r\nx",
                    socket);
            send(socket, "GET /fails HTTP/1.1\r\n\r\n");
            assertReceived(
                    "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n", socket);
            assertClosed(socket); // By the idle timeout.
        }
    }

    @Test
    void closesConnectionAfterResponseWhenClientRequestsIt() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "GET /echo HTTP/1.1\r\nconnection: close\r\n\r\n");
            assertReceived(
                    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nconnection: close\r\n\r\nGET  ",
                    socket);
            assertClosed(socket);
        }
    }

    @Test
    void refusesMalformedRequestsAndClosesTheirConnections() throws Exception {
        String[] malformedRequests = {
            "POST /echo HTTP/1.1\r\ncontent-length: 17\r\n\r\n01234567890123456",
            "no request\r\n\r\n",
            "GET /never HTTP/1.1\r\n\r\nGET /echo HTTP/1.1\r\n\r\n",
        };
        for (String request : malformedRequests) {
            try (Socket socket = connect()) {
                send(socket, request);
                assertReceived(
                        "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n"
                                + "connection: close\r\n\r\n",
                        socket);
                assertClosed(socket);
            }
        }
    }

    @Test
    void closesConnectionsOverTheLimitImmediately() throws Exception {
        try (Socket first = connect();
                Socket second = connect()) {
            send(first, "GET /empty HTTP/1.1\r\n\r\n");
            send(second, "GET /empty HTTP/1.1\r\n\r\n");
            assertReceived("HTTP/1.1 405", first);
            assertReceived("HTTP/1.1 405", second);
            try (Socket third = connect()) {
                assertClosed(third);
            }
        }
    }
}
