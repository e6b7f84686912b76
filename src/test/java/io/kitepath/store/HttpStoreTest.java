package io.kitepath.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.ListResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Store.WatchResult;
import io.kitepath.net.HttpClient;
import io.kitepath.net.ScriptedServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which requests the state service client sends and how it interprets the responses. */
class HttpStoreTest {
    private static final Map<String, Object> EMPTY = Map.of();
    private static final byte[] MALFORMED = {(byte) 0xc1};
    private static final long TIMEOUT_MILLIS = 300;

    private final ScriptedServer server;
    private final HttpStore store;

    HttpStoreTest() throws Exception {
        server = new ScriptedServer();
        HttpClient client = server.client();
        store = new HttpStore(client, client, client, TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() {
        server.close();
    }

    private record CallResult(Outcome outcome, Object value) {}

    private CallResult get() throws Exception {
        return server.call(
                callback ->
                        store.get(
                                "a/b",
                                (outcome, entry) ->
                                        callback.accept(new CallResult(outcome, entry))));
    }

    @Test
    void getReturnsEntryOrOutcomeOfFailure() throws Exception {
        server.reply(200, Map.of("path", "a/b", "value", "v", "stamp", 7L));
        assertEquals(new CallResult(Outcome.OK, new Entry("a/b", "v", 7)), get());
        assertEquals(List.of("GET /keys/a/b"), server.received());
        server.reply(404, EMPTY);
        assertEquals(new CallResult(Outcome.REJECTED, null), get());
        server.reply(429, EMPTY);
        assertEquals(new CallResult(Outcome.NOT_EXECUTED, null), get());
        server.reply(503, EMPTY);
        assertEquals(new CallResult(Outcome.NOT_EXECUTED, null), get());
        server.reply(500, EMPTY);
        assertEquals(new CallResult(Outcome.UNKNOWN, null), get());
        server.reply(200, EMPTY);
        assertEquals(new CallResult(Outcome.UNKNOWN, null), get());
        server.reply(200, MALFORMED);
        assertEquals(new CallResult(Outcome.UNKNOWN, null), get());
        assertEquals(new CallResult(Outcome.UNKNOWN, null), get()); // No response in time.
    }

    private ListResult list(String from) throws Exception {
        return server.call(callback -> store.list("jobs/ä", from, 50, callback));
    }

    @Test
    void listReturnsPageOrOutcomeOfFailure() throws Exception {
        Map<String, Object> entry = Map.of("path", "k", "value", 3L, "stamp", 7L);
        server.reply(200, Map.of("entries", List.of(entry), "epoch", 9L, "truncated", true));
        assertEquals(
                new ListResult(Outcome.OK, List.of(new Entry("k", 3L, 7)), 9, true), list("a b"));
        server.reply(200, Map.of("entries", List.of(), "epoch", 9L));
        assertEquals(new ListResult(Outcome.OK, List.of(), 9, false), list(""));
        assertEquals(
                List.of(
                        "GET /keys?prefix=jobs%2F%C3%A4&from=a+b&limit=50",
                        "GET /keys?prefix=jobs%2F%C3%A4&limit=50"),
                server.received());
        server.reply(503, EMPTY);
        assertEquals(new ListResult(Outcome.NOT_EXECUTED, List.of(), 0, false), list(""));
        server.reply(404, EMPTY);
        assertEquals(new ListResult(Outcome.UNKNOWN, List.of(), 0, false), list(""));
        server.reply(200, Map.of("entries", List.of()));
        assertEquals(new ListResult(Outcome.UNKNOWN, List.of(), 0, false), list(""));
        assertEquals(new ListResult(Outcome.UNKNOWN, List.of(), 0, false), list(""));
    }

    private CommitResult commit() throws Exception {
        Transaction transaction =
                new Transaction().requireRevision("k", 3).put("k", "v", 5).remove("l");
        return server.call(callback -> store.commit(transaction, callback));
    }

    @Test
    void commitReturnsRevisionOrOutcomeOfFailure() throws Exception {
        server.reply(200, Map.of("epoch", 9L));
        assertEquals(new CommitResult(Outcome.OK, 9, List.of(), false), commit());
        assertEquals(
                List.of(
                        "POST /multi {when=[{path=k, stamp=3}],"
                                + " then=[{write=k, value=v, tether=5}, {remove=l}]}"),
                server.received());
        server.reply(409, Map.of("failed", List.of("k")));
        assertEquals(new CommitResult(Outcome.REJECTED, 0, List.of("k"), false), commit());
        server.reply(409, MALFORMED);
        assertEquals(new CommitResult(Outcome.REJECTED, 0, List.of(), false), commit());
        server.reply(400, Map.of("error", "no such lease"));
        assertEquals(new CommitResult(Outcome.REJECTED, 0, List.of(), true), commit());
        server.reply(400, Map.of("error", "too large"));
        assertEquals(new CommitResult(Outcome.INVALID, 0, List.of(), false), commit());
        server.reply(400, MALFORMED);
        assertEquals(new CommitResult(Outcome.INVALID, 0, List.of(), false), commit());
        server.reply(429, EMPTY);
        assertEquals(new CommitResult(Outcome.NOT_EXECUTED, 0, List.of(), false), commit());
        for (int status : new int[] {200, 404, 500}) {
            server.reply(status, EMPTY);
            assertEquals(new CommitResult(Outcome.UNKNOWN, 0, List.of(), false), commit());
        }
        assertEquals(new CommitResult(Outcome.UNKNOWN, 0, List.of(), false), commit());
    }

    private CallResult grant() throws Exception {
        return server.call(
                callback ->
                        store.grantLease(
                                2500,
                                (outcome, id) -> callback.accept(new CallResult(outcome, id))));
    }

    private Outcome renew() throws Exception {
        return server.call(callback -> store.renewLease(12, callback));
    }

    @Test
    void grantsRenewsAndRevokesLeases() throws Exception {
        server.reply(200, Map.of("tether", 12L));
        assertEquals(new CallResult(Outcome.OK, 12L), grant());
        server.reply(200, EMPTY);
        assertEquals(Outcome.OK, renew());
        server.reply(404, EMPTY);
        assertEquals(Outcome.REJECTED, renew());
        server.reply(200, EMPTY);
        assertNull(
                server.call(
                        callback -> {
                            store.revokeLease(12);
                            callback.accept(null);
                        }));
        assertEquals(Outcome.UNKNOWN, renew()); // After the revocation, without a response.
        assertEquals(
                List.of(
                        "POST /holds {lifeMs=2500}",
                        "POST /holds/12/renew",
                        "POST /holds/12/renew",
                        "DELETE /holds/12",
                        "POST /holds/12/renew"),
                server.received());
        server.reply(200, EMPTY);
        assertEquals(new CallResult(Outcome.UNKNOWN, null), grant());
        server.reply(404, EMPTY);
        assertEquals(new CallResult(Outcome.UNKNOWN, null), grant());
        for (int status : new int[] {429, 503}) {
            server.reply(status, EMPTY);
            assertEquals(new CallResult(Outcome.NOT_EXECUTED, null), grant());
            server.reply(status, EMPTY);
            assertEquals(Outcome.NOT_EXECUTED, renew());
        }
    }

    private WatchResult watch() throws Exception {
        return server.call(callback -> store.watch("p/", 4, 100, callback));
    }

    @Test
    void watchReturnsChangesOrOutcomeOfFailure() throws Exception {
        List<Object> events =
                List.of(
                        Map.of("write", "p/a", "value", "v", "stamp", 5L),
                        Map.of("remove", "p/b", "stamp", 6L));
        server.reply(200, Map.of("epoch", 6L, "events", events));
        assertEquals(
                new WatchResult(
                        Outcome.OK,
                        6,
                        Arrays.asList(new Entry("p/a", "v", 5), new Entry("p/b", null, 6))),
                watch());
        assertEquals(List.of("GET /follow?prefix=p%2F&from=4&holdMs=100"), server.received());
        server.reply(410, EMPTY);
        assertEquals(new WatchResult(Outcome.REJECTED, 0, List.of()), watch());
        server.reply(503, EMPTY);
        assertEquals(new WatchResult(Outcome.NOT_EXECUTED, 0, List.of()), watch());
        for (int status : new int[] {200, 404, 500}) {
            server.reply(status, EMPTY);
            assertEquals(new WatchResult(Outcome.UNKNOWN, 0, List.of()), watch());
        }
        assertEquals(new WatchResult(Outcome.UNKNOWN, 0, List.of()), watch());
    }

    /** Reads a request without a body or with an empty one, responds to it and returns its text. */
    private static String serve(Socket connection) throws IOException {
        StringBuilder request = new StringBuilder();
        while (request.indexOf("\r\n\r\n") < 0) {
            request.append((char) connection.getInputStream().read());
        }
        String response = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
        connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        return request.toString();
    }

    @Test
    void sendsExpectedBytesOnPersistentConnection() throws Exception {
        try (ServerSocket serverSocket =
                new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            serverSocket.setSoTimeout(5000);
            String host = "127.0.0.1:" + serverSocket.getLocalPort();
            InetSocketAddress address =
                    new InetSocketAddress("127.0.0.1", serverSocket.getLocalPort());
            HttpClient client = server.clientOf(address);
            HttpStore rawStore = new HttpStore(client, client, client, 5000);
            CompletableFuture<List<String>> requests =
                    CompletableFuture.supplyAsync(() -> serveThree(serverSocket));
            assertEquals(
                    Outcome.REJECTED,
                    server.<Outcome>call(
                            callback ->
                                    rawStore.get(
                                            "k", (outcome, entry) -> callback.accept(outcome))));
            assertEquals(
                    Outcome.REJECTED,
                    server.<Outcome>call(callback -> rawStore.renewLease(3, callback)));
            server.call(
                    callback -> {
                        rawStore.revokeLease(3);
                        callback.accept(null);
                    });
            String hostLine = "host: " + host + "\r\n";
            assertEquals(
                    List.of(
                            "GET /keys/k HTTP/1.1\r\n" + hostLine + "\r\n",
                            "POST /holds/3/renew HTTP/1.1\r\n"
                                    + hostLine
                                    + "content-length: 0\r\n"
                                    + "content-type: application/msgpack\r\n\r\n",
                            "DELETE /holds/3 HTTP/1.1\r\n" + hostLine + "\r\n"),
                    requests.get(10, TimeUnit.SECONDS));
        }
    }

    private static List<String> serveThree(ServerSocket serverSocket) {
        try (Socket connection = serverSocket.accept()) {
            connection.setSoTimeout(5000);
            return List.of(serve(connection), serve(connection), serve(connection));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
