package io.kitepath.cli;

import io.kitepath.net.HttpClient;
import io.kitepath.net.HttpServer;
import io.kitepath.settings.SettingsFile;
import io.kitepath.wire.MessagePackCodec;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs a node for a moment on loopback, against stand-ins that answer by the published protocols,
 * so that the JVM can archive the classes that a start needs (see deploy/service.toml). The smoke
 * test uses it too.
 */
public final class ArchiveTraining {
    private static final long NO_LEASE = 0;

    private final Map<String, Object> keys = new LinkedHashMap<>();
    private long revision = 1;
    private long lastLeaseId;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    /** Runs the node once and exits, with status 0 if it started and answered. */
    public static void main(String[] args) throws Exception {
        Main.properties();
        ArchiveTraining t = new ArchiveTraining();
        t.start();
        System.err.println("trained with " + t.play().size() + " requests");
        System.exit(0);
    }

    private InetSocketAddress node;

    /** Starts the stand-ins and a node. */
    void start() throws IOException, InterruptedException {
        InetSocketAddress outside = LoopbackAddresses.free();
        new HttpServer(this::standIn, 1 << 20, 100, 60).listen(group, outside).sync();
        node = LoopbackAddresses.free();
        String json =
                """
                {"label":"kite-0","domain":"a","listen":"%s","internal_addr":"%s","siblings":[],
                 "endpoints":{"cloud":"%s","state":"%s"},
                 "facts":{"nodes":1,"zones":["a"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}],
                  "objectives":[],"workers":{"report_s":0.5,"lease_s":5,"gang_wait_s":9,"gang_peer_s":5,"cancel_s":9},
                  "state":{"rps":200,"write_rps":100,"value_kb":8,"txn_ops":40},"cloud":{"rps":9,"list_lag_s":1},
                  "limits":{"cpu":1,"ram_mb":200,"sockets":1000},"clock_error_ms":5}}
                """
                        .formatted(
                                LoopbackAddresses.text(node),
                                LoopbackAddresses.text(LoopbackAddresses.free()),
                                LoopbackAddresses.text(outside),
                                LoopbackAddresses.text(outside));
        new Node(SettingsFile.parse(json.getBytes(StandardCharsets.UTF_8)), null).start();
    }

    /** A user's and a worker's requests; returns the answers' status codes. */
    List<Integer> play() throws Exception {
        EventLoop loop = group.next();
        HttpClient client = new HttpClient(loop, node, 2, 1 << 20);
        List<Integer> statuses = new ArrayList<>();
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("nameId", "j-1");
        job.put("lane", "work");
        job.put("crew", "t");
        job.put("shape", "array");
        job.put("urgency", "high");
        job.put("sheets", 2L);
        job.put("vcpus", 1.0);
        job.put("cards", 0.0);
        job.put("ramGb", 1.0);
        job.put("kit", "img");
        job.put("sizeGb", 1.0);
        job.put("oneZone", false);
        job.put("spread", false);
        job.put("loaners", true);
        job.put("expectS", 1.0);
        job.put("markEveryS", 0.0);
        job.put("markCostS", 0.0);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        int submitted;
        do {
            TimeUnit.MILLISECONDS.sleep(100);
            submitted = call(loop, client, "POST", "/submissions", MessagePackCodec.encode(job));
        } while (submitted == 503 && System.nanoTime() < end);
        statuses.add(submitted);
        statuses.add(call(loop, client, "GET", "/submissions/j-1", null));
        statuses.add(call(loop, client, "GET", "/submissions/j-2", null));
        statuses.add(call(loop, client, "GET", "/healthz", null));
        long first = 1;
        while (call(loop, client, "POST", "/checkin", report(first, 0)) == 421
                && System.nanoTime() < end) {
            first++;
            TimeUnit.MILLISECONDS.sleep(100);
        }
        for (long tick = first + 1; tick <= first + 6; tick++) {
            statuses.add(
                    call(loop, client, "POST", "/checkin", report(tick, tick < first + 4 ? 1 : 2)));
        }
        statuses.add(
                call(
                        loop,
                        client,
                        "POST",
                        "/submissions/j-1/withdraw",
                        MessagePackCodec.encode(Map.of())));
        statuses.add(call(loop, client, "POST", "/submissions", new byte[] {1}));
        statuses.add(call(loop, client, "GET", "/metrics", null));
        statuses.add(call(loop, client, "GET", "/nowhere", null));
        return statuses;
    }

    /** A worker's report: phase 0 before it knows the token, 1 idle, 2 with a task. */
    private static byte[] report(long tick, int phase) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("host", "i-000001");
        report.put("addr", "127.0.0.1:1");
        report.put("frame", "m");
        report.put("field", "a");
        report.put("loaners", true);
        report.put("tenure", 1L);
        report.put("tick", tick);
        report.put("baton", phase == 0 ? 0L : 1L);
        report.put(
                "sheets",
                phase < 2
                        ? List.of()
                        : List.of(Map.of("sheet", "j-1/0", "try", 1L, "status", "running")));
        return MessagePackCodec.encode(report);
    }

    private static int call(
            EventLoop loop, HttpClient client, String method, String path, byte[] body)
            throws Exception {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        HttpClient.Request request =
                new HttpClient.Request(method, path, Optional.ofNullable(body));
        loop.execute(
                () -> client.call(request, 5000, response -> status.complete(response.status())));
        return status.get(6, TimeUnit.SECONDS);
    }

    /** Just enough of the state service and the cloud for one node. */
    private void standIn(HttpServer.Request request, HttpServer.Responder out) {
        String path = request.path();
        if (path.equals("/holds")) {
            out.reply(200, MessagePackCodec.encode(Map.of("tether", ++lastLeaseId)));
        } else if (path.startsWith("/holds/")) {
            if (request.method().equals("DELETE")) {
                revokeLease(Long.parseLong(path.substring("/holds/".length())));
            }
            out.reply(200, MessagePackCodec.encode(Map.of()));
        } else if (path.equals("/multi")) {
            multi(MessagePackCodec.decode(request.body()), out);
        } else if (path.equals("/keys")) {
            List<Object> entries = new ArrayList<>();
            String prefix =
                    new QueryStringDecoder(request.query(), false)
                            .parameters()
                            .get("prefix")
                            .get(0);
            keys.forEach(
                    (key, v) -> {
                        if (key.startsWith(prefix)) {
                            entries.add(v);
                        }
                    });
            out.reply(
                    200,
                    MessagePackCodec.encode(
                            Map.of("entries", entries, "truncated", false, "epoch", revision)));
        } else if (path.startsWith("/keys/")) {
            Object v = keys.get(path.substring("/keys/".length()));
            out.reply(
                    v == null ? 404 : 200,
                    MessagePackCodec.encode(v == null ? Map.of("epoch", revision) : v));
        } else if (path.equals("/follow")) {
            long now = revision;
            group.schedule(
                    () ->
                            out.reply(
                                    200,
                                    MessagePackCodec.encode(
                                            Map.of("epoch", now, "events", List.of()))),
                    200,
                    TimeUnit.MILLISECONDS);
        } else if (path.equals("/machine_types")) {
            out.reply(200, machineTypes());
        } else if (path.equals("/rentals") && request.method().equals("GET")) {
            out.reply(200, MessagePackCodec.encode(Map.of("hosts", List.of(), "truncated", false)));
        } else {
            out.reply(503, MessagePackCodec.encode(Map.of("error", "no capacity")));
        }
    }

    /** Removes the keys that are attached to the lease. */
    private void revokeLease(long leaseId) {
        revision++;
        keys.values().removeIf(entry -> ((Map<?, ?>) entry).get("tether").equals(leaseId));
    }

    /** A single small machine type in one zone. */
    private static byte[] machineTypes() {
        Map<String, Object> type =
                Map.of(
                        "name",
                        "m",
                        "vcpus",
                        4.0,
                        "ramGb",
                        16.0,
                        "rate",
                        1.0,
                        "spotPrice",
                        0.5,
                        "readyS",
                        5.0,
                        "fields",
                        List.of("a"));
        return MessagePackCodec.encode(Map.of("frames", List.of(type)));
    }

    private void multi(Object body, HttpServer.Responder out) {
        Map<?, ?> m = (Map<?, ?>) body;
        List<String> failed = new ArrayList<>();
        for (Object o : (List<?>) m.get("when")) {
            Map<?, ?> c = (Map<?, ?>) o;
            Map<?, ?> entry = (Map<?, ?>) keys.get(c.get("path"));
            long stamp = entry == null ? 0 : (Long) entry.get("stamp");
            if (stamp != (Long) c.get("stamp")) {
                failed.add((String) c.get("path"));
            }
        }
        if (!failed.isEmpty()) {
            out.reply(409, MessagePackCodec.encode(Map.of("failed", failed, "epoch", revision)));
            return;
        }
        List<?> then = m.containsKey("then") ? (List<?>) m.get("then") : List.of();
        revision += then.isEmpty() ? 0 : 1;
        for (Object o : then) {
            Map<?, ?> w = (Map<?, ?>) o;
            if (w.containsKey("remove")) {
                keys.remove(w.get("remove"));
            } else {
                keys.put(
                        (String) w.get("write"),
                        Map.of(
                                "path",
                                w.get("write"),
                                "value",
                                w.get("value"),
                                "stamp",
                                revision,
                                "tether",
                                w.containsKey("tether") ? w.get("tether") : NO_LEASE));
            }
        }
        out.reply(200, MessagePackCodec.encode(Map.of("epoch", revision)));
    }
}
