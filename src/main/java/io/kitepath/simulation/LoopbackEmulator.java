package io.kitepath.simulation;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.net.HttpClient;
import io.kitepath.net.HttpServer;
import io.kitepath.net.HttpServer.Request;
import io.kitepath.net.HttpServer.Responder;
import io.kitepath.wire.CloudCodec;
import io.kitepath.wire.EmulatorCodec;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.SharedCodec;
import io.kitepath.wire.StoreCodec;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The stand-ins of state service, cloud and workers behind real sockets on loopback, for nodes that
 * are real processes. What they do is the {@link SimulatedCluster}'s, as in tests and rehearsals;
 * only its clock follows the real one. All of it lives on one event loop.
 */
public final class LoopbackEmulator {
    private static final int MAX_BODY = 1 << 20;
    private static final long TIMEOUT_MS = 4000;

    /** A worker and a node. */
    private record WorkerLink(String machineId, String node) {}

    public final SimulatedCluster cluster;
    private final EventLoopGroup group;
    private final EventLoop loop;

    /** Whoever is behind a socket. */
    private final EmulatorClient clientIdentity;

    private final SimulatedStoreClient store;
    private final SimulatedCloudClient cloud;
    private final Map<String, InetSocketAddress> nodes;

    /** Each worker's connection to each node that it has reported to. */
    private final Map<WorkerLink, HttpClient> workerClients = new HashMap<>();

    private final double offset;

    /** {@code nodes}: where workers reach each node, by its label. */
    public LoopbackEmulator(
            EventLoopGroup group, SimulatedCluster cluster, Map<String, InetSocketAddress> nodes) {
        this.group = group;
        this.loop = group.next();
        this.cluster = cluster;
        this.offset = cluster.clock.now - System.nanoTime() / 1e9;
        this.clientIdentity = cluster::after;
        this.store = new SimulatedStoreClient(cluster, clientIdentity);
        this.cloud = new SimulatedCloudClient(cluster, clientIdentity);
        this.nodes = Map.copyOf(nodes);
        List<String> labels = List.copyOf(nodes.keySet());
        cluster.workerNetwork =
                new SimulatedCluster.WorkerNetwork() {
                    @Override
                    public List<String> aliveNodes() {
                        return labels; // Which of them are up, a worker finds out by trying.
                    }

                    @Override
                    public void heartbeat(
                            String node, Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
                        double duplicateDelay = cluster.duplicateDelaySeconds.getAsDouble();
                        if (duplicateDelay > 0) {
                            cluster.after(
                                    duplicateDelay,
                                    () ->
                                            labels.forEach(
                                                    label ->
                                                            sendHeartbeat(
                                                                    label, heartbeat, late -> {})));
                        }
                        sendHeartbeat(node, heartbeat, answer);
                    }
                };
        cluster.onWorkerCreated = this::workerCreated;
    }

    private void sendHeartbeat(
            String node, Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        workerClients
                .computeIfAbsent(
                        new WorkerLink(heartbeat.machineId(), node),
                        link -> new HttpClient(loop, nodes.get(node), 1, MAX_BODY))
                .call(
                        HttpClient.Request.post(
                                "/checkin", EmulatorCodec.encodeHeartbeat(heartbeat)),
                        TIMEOUT_MS,
                        reply -> {
                            HeartbeatResponse response =
                                    EmulatorCodec.decodeHeartbeatResponse(
                                            reply.status(), reply.body());
                            answer.accept(
                                    response == null
                                            ? HeartbeatResponse.redirectTo(null)
                                            : response);
                        });
    }

    /** Returns the cluster's time, as an answer to a request that is sent now is checked by it. */
    public double nowSeconds() {
        double[] now = new double[1];
        run(() -> now[0] = cluster.clock.now);
        return now[0];
    }

    /** Returns every rule that was broken so far, by what the stand-ins saw. */
    public List<String> violations() {
        List<String> violations = new ArrayList<>();
        run(
                () -> {
                    violations.addAll(cluster.violations);
                    int overLimits = cluster.store.transactionsOverLimits;
                    if (overLimits > 0) {
                        violations.add(
                                overLimits + " transactions over the state service's limits");
                    }
                });
        return violations;
    }

    /** Returns whether all machines went back and no request to the cloud is still on record. */
    public boolean isEverythingReleased() {
        boolean[] isReleased = new boolean[1];
        run(
                () ->
                        isReleased[0] =
                                cluster.cloud.machines.isEmpty()
                                        && cluster.store.entries.keySet().stream()
                                                .noneMatch(
                                                        key ->
                                                                key.startsWith(
                                                                        StoreKeys.CLOUD_INTENTS)));
        return isReleased[0];
    }

    /** Runs that on the loop that owns the stand-ins. */
    public void run(Runnable what) {
        loop.submit(what).syncUninterruptibly();
    }

    /** Begins to listen and lets time pass; where the state service and the cloud are. */
    public List<InetSocketAddress> start() {
        List<InetSocketAddress> at = List.of(listen(this::state), listen(this::cloud));
        loop.scheduleAtFixedRate(
                () ->
                        cluster.run(
                                Math.max(0, System.nanoTime() / 1e9 + offset - cluster.clock.now)),
                0,
                5,
                TimeUnit.MILLISECONDS);
        return at;
    }

    private InetSocketAddress listen(HttpServer.Handler handler) {
        HttpServer server =
                new HttpServer(
                        (request, out) -> {
                            try {
                                handler.handle(request, out);
                            } catch (InvalidInputException invalid) {
                                out.reply(400, SharedCodec.encodeError(invalid.getMessage()));
                            }
                        },
                        MAX_BODY,
                        10_000,
                        600);
        ServerSocketChannel ch =
                (ServerSocketChannel)
                        server.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                                .syncUninterruptibly()
                                .channel();
        return ch.localAddress();
    }

    // ---- workers --------------------------------------------------------------------------------

    private void workerCreated(SimulatedWorker worker) {
        // On the loop already: to wait for the socket here would wait for itself.
        HttpServer server =
                new HttpServer((request, out) -> direct(worker, request, out), MAX_BODY, 100, 60);
        server.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                InetSocketAddress at =
                                        (InetSocketAddress)
                                                ((io.netty.channel.ChannelFuture) f)
                                                        .channel()
                                                        .localAddress();
                                worker.address = "127.0.0.1:" + at.getPort();
                            }
                        });
    }

    private void direct(SimulatedWorker worker, Request request, Responder out) {
        try {
            EmulatorCodec.DirectCommandsRequest d =
                    EmulatorCodec.decodeDirectCommands(MessagePackCodec.decode(request.body()));
            double heldSeconds = cluster.directCommandHoldSeconds.getAsDouble();
            if (cluster.refusesDirectCommands || worker.receivesNothing || worker.isCutOff) {
                return; // Lost on its way: the sender gets no response.
            }
            if (heldSeconds > 0 || worker.isHanging()) {
                cluster.after(
                        heldSeconds, () -> worker.onResume(() -> executeDirectCommands(worker, d)));
                return;
            }
            Heartbeat heartbeat = executeDirectCommands(worker, d);
            out.reply(
                    heartbeat == null ? 409 : 200,
                    EmulatorCodec.encodeHeartbeat(
                            heartbeat == null ? worker.currentHeartbeat() : heartbeat));
        } catch (InvalidInputException invalid) {
            out.reply(400, SharedCodec.encodeError(invalid.getMessage()));
        }
    }

    /** Returns the heartbeat after the commands, null if the worker executes none of them. */
    private static Heartbeat executeDirectCommands(
            SimulatedWorker worker, EmulatorCodec.DirectCommandsRequest request) {
        return worker.up
                ? worker.executeDirectCommands(
                        request.fencingToken(), request.agentIncarnation(), request.commands())
                : null;
    }

    // ---- state service --------------------------------------------------------------------------

    private static void replyFailure(Outcome outcome, Responder out) {
        // Without an answer a caller has to find out by itself; the stand-in says so with a status
        // that tells nothing.
        out.reply(outcome == Outcome.NOT_EXECUTED ? 503 : 500, null);
    }

    private void state(Request request, Responder out) {
        String path = request.path();
        if (path.startsWith("/keys/")) {
            store.get(
                    path.substring("/keys/".length()),
                    (outcome, entry) -> {
                        if (outcome == Outcome.OK) {
                            out.reply(200, EmulatorCodec.encodeEntry(entry));
                        } else if (outcome == Outcome.REJECTED) {
                            out.reply(
                                    404,
                                    MessagePackCodec.encode(
                                            Map.of("epoch", cluster.store.revision)));
                        } else {
                            replyFailure(outcome, out);
                        }
                    });
        } else if (path.equals("/keys")) {
            store.list(
                    query(request, "prefix", ""),
                    query(request, "from", ""),
                    (int) number(request, "limit", 1000),
                    listing -> {
                        if (listing.outcome() == Outcome.OK) {
                            out.reply(200, EmulatorCodec.encodeListing(listing));
                        } else {
                            replyFailure(listing.outcome(), out);
                        }
                    });
        } else if (path.equals("/multi")) {
            store.commit(
                    EmulatorCodec.decodeTransaction(MessagePackCodec.decode(request.body())),
                    result -> committed(result, out));
        } else if (path.equals("/follow")) {
            store.watch(
                    query(request, "prefix", ""),
                    number(request, "from", 0),
                    number(request, "holdMs", 0),
                    changes -> out.reply(200, EmulatorCodec.encodeWatchResult(changes)));
        } else {
            lease(request, out);
        }
    }

    /** Grants, renews and revokes leases. */
    private void lease(Request request, Responder out) {
        String path = request.path();
        if (path.equals("/holds")) {
            store.grantLease(
                    EmulatorCodec.decodeLeaseMillis(MessagePackCodec.decode(request.body())),
                    (outcome, id) -> {
                        if (outcome == Outcome.OK) {
                            out.reply(200, EmulatorCodec.encodeLease(id));
                        } else {
                            replyFailure(outcome, out);
                        }
                    });
        } else if (path.matches("/holds/[0-9]{1,18}/renew")) {
            store.renewLease(
                    Long.parseLong(path.split("/")[2]),
                    outcome -> {
                        if (outcome == Outcome.OK || outcome == Outcome.REJECTED) {
                            out.reply(outcome == Outcome.OK ? 200 : 404, null);
                        } else {
                            replyFailure(outcome, out);
                        }
                    });
        } else if (path.matches("/holds/[0-9]{1,18}") && request.method().equals("DELETE")) {
            store.revokeLease(Long.parseLong(path.split("/")[2]));
            out.reply(200, null);
        } else {
            out.reply(400, SharedCodec.encodeError("no such call"));
        }
    }

    private static void committed(CommitResult result, Responder out) {
        switch (result.outcome()) {
            case OK -> out.reply(200, EmulatorCodec.encodeCommitResult(result));
            case REJECTED ->
                    out.reply(
                            result.isLeaseExpired() ? 400 : 409,
                            result.isLeaseExpired()
                                    ? SharedCodec.encodeError(StoreCodec.NO_SUCH_LEASE)
                                    : EmulatorCodec.encodeCommitResult(result));
            case INVALID -> out.reply(400, SharedCodec.encodeError("over the limits"));
            default -> replyFailure(result.outcome(), out);
        }
    }

    private static String query(Request request, String name, String absent) {
        List<String> values = new QueryStringDecoder("/?" + request.query()).parameters().get(name);
        return values == null ? absent : values.get(0);
    }

    private static long number(Request request, String name, long absent) {
        String s = query(request, name, "" + absent);
        if (!s.matches("[0-9]{1,18}")) {
            throw new InvalidInputException(name + ": must be a number");
        }
        return Long.parseLong(s);
    }

    // ---- cloud ----------------------------------------------------------------------------------

    private void cloud(Request request, Responder out) {
        if (request.path().equals("/machine_types")) {
            cloud.listMachineTypes(
                    (outcome, types) -> out.reply(200, EmulatorCodec.encodeMachineTypes(types)));
        } else if (request.path().equals("/rentals/release")) {
            cloud.release(
                    CloudCodec.decodeMachineIds(MessagePackCodec.decode(request.body())),
                    outcome -> answer(outcome, MessagePackCodec.encode(Map.of()), out));
        } else if (request.path().equals("/rentals") && request.method().equals("POST")) {
            EmulatorCodec.RentalRequest q =
                    EmulatorCodec.decodeRental(MessagePackCodec.decode(request.body()));
            cloud.rent(
                    q.name(),
                    new MachineKind(q.machineType(), q.zone(), q.spot()),
                    q.count(),
                    (outcome, names) -> answer(outcome, CloudCodec.encodeMachineIds(names), out));
        } else if (request.path().equals("/rentals")) {
            String from = query(request, "from", "");
            int limit = (int) number(request, "limit", 500);
            cloud.listMachines(
                    (outcome, all) -> {
                        List<Cloud.ListedMachine> rest =
                                all.stream()
                                        .filter(listed -> listed.machineId().compareTo(from) > 0)
                                        .toList();
                        answer(
                                outcome,
                                EmulatorCodec.encodeMachines(
                                        rest.subList(0, Math.min(limit, rest.size())),
                                        rest.size() > limit),
                                out);
                    });
        } else {
            out.reply(400, SharedCodec.encodeError("no such call"));
        }
    }

    private static void answer(Outcome outcome, byte[] body, Responder out) {
        switch (outcome) {
            case OK -> out.reply(200, body);
            case REJECTED -> out.reply(503, SharedCodec.encodeError("no capacity"));
            default -> out.reply(503, SharedCodec.encodeError("trouble"));
        }
    }
}
