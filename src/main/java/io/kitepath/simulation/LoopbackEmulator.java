package io.kitepath.simulation;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.net.HttpClient;
import io.kitepath.net.HttpServer;
import io.kitepath.net.HttpServer.Request;
import io.kitepath.net.HttpServer.Responder;
import io.kitepath.wire.EmulatorCodec;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.ProtocolCodec;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
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

    public final SimulatedCluster world;
    private final EventLoopGroup group;
    private final EventLoop loop;

    /** Whoever is behind a socket. */
    private final EmulatorClient caller;

    private final StoreLink store;
    private final CloudLink cloud;
    private final Map<String, HttpClient> nodes = new HashMap<>();
    private final double offset;

    /** {@code nodes}: where workers reach each node, by its label. */
    public LoopbackEmulator(
            EventLoopGroup group, SimulatedCluster world, Map<String, InetSocketAddress> nodes) {
        this.group = group;
        this.loop = group.next();
        this.world = world;
        this.offset = world.clock.now - System.nanoTime() / 1e9;
        this.caller = world::after;
        this.store = new StoreLink(world, caller);
        this.cloud = new CloudLink(world, caller);
        nodes.forEach((label, at) -> this.nodes.put(label, new HttpClient(loop, at, 64, MAX_BODY)));
        List<String> labels = List.copyOf(nodes.keySet());
        world.reach =
                new SimulatedCluster.Reach() {
                    @Override
                    public List<String> up() {
                        return labels; // Which of them are up, a worker finds out by trying.
                    }

                    @Override
                    public void heartbeat(
                            String node, Heartbeat report, Consumer<HeartbeatResponse> answer) {
                        LoopbackEmulator.this
                                .nodes
                                .get(node)
                                .call(
                                        "POST",
                                        "/checkin",
                                        EmulatorCodec.report(report),
                                        TIMEOUT_MS,
                                        (status, body) -> {
                                            HeartbeatResponse c =
                                                    EmulatorCodec.heartbeat(status, body);
                                            answer.accept(
                                                    c == null
                                                            ? HeartbeatResponse.elsewhere(null)
                                                            : c);
                                        });
                    }
                };
        world.born = this::born;
    }

    /** Runs that on the loop that owns the stand-ins. */
    public void run(Runnable what) {
        loop.submit(what).syncUninterruptibly();
    }

    /** Begins to listen and lets time pass; where the state service and the cloud are. */
    public List<InetSocketAddress> start() {
        List<InetSocketAddress> at = List.of(listen(this::state), listen(this::cloud));
        loop.scheduleAtFixedRate(
                () -> world.run(Math.max(0, System.nanoTime() / 1e9 + offset - world.clock.now)),
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
                            } catch (InvalidInputException e) {
                                out.reply(400, ProtocolCodec.error(e.getMessage()));
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

    private void born(SimulatedWorker w) {
        // On the loop already: to wait for the socket here would wait for itself.
        HttpServer server = new HttpServer((r, out) -> direct(w, r, out), MAX_BODY, 100, 60);
        server.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                InetSocketAddress at =
                                        (InetSocketAddress)
                                                ((io.netty.channel.ChannelFuture) f)
                                                        .channel()
                                                        .localAddress();
                                w.address = "127.0.0.1:" + at.getPort();
                            }
                        });
    }

    private void direct(SimulatedWorker w, Request r, Responder out) {
        try {
            EmulatorCodec.Direct d = EmulatorCodec.direct(MessagePackCodec.value(r.body()));
            Heartbeat report = w.up ? w.directly(d.token(), d.session(), d.orders()) : null;
            out.reply(
                    report == null ? 409 : 200,
                    EmulatorCodec.report(report == null ? w.message() : report));
        } catch (InvalidInputException e) {
            out.reply(400, ProtocolCodec.error(e.getMessage()));
        }
    }

    // ---- state service --------------------------------------------------------------------------

    private static void failed(Outcome o, Responder out) {
        // Without an answer a caller has to find out by itself; the stand-in says so with a status
        // that tells nothing.
        out.reply(o == Outcome.REFUSED ? 503 : 500, null);
    }

    private void state(Request r, Responder out) {
        String path = r.path();
        if (path.startsWith("/keys/")) {
            store.get(
                    path.substring("/keys/".length()),
                    (o, e) -> {
                        if (o == Outcome.OK) {
                            out.reply(200, EmulatorCodec.entry(e));
                        } else if (o == Outcome.NO) {
                            out.reply(
                                    404,
                                    MessagePackCodec.bytes(Map.of("epoch", world.store.revision)));
                        } else {
                            failed(o, out);
                        }
                    });
        } else if (path.equals("/keys")) {
            store.page(
                    query(r, "prefix", ""),
                    query(r, "from", ""),
                    (int) number(r, "limit", 1000),
                    l -> {
                        if (l.outcome() == Outcome.OK) {
                            out.reply(200, EmulatorCodec.listing(l));
                        } else {
                            failed(l.outcome(), out);
                        }
                    });
        } else if (path.equals("/multi")) {
            store.commit(
                    EmulatorCodec.transaction(MessagePackCodec.value(r.body())),
                    c -> committed(c, out));
        } else if (path.equals("/follow")) {
            store.follow(
                    query(r, "prefix", ""),
                    number(r, "from", 0),
                    number(r, "holdMs", 0),
                    c -> out.reply(200, EmulatorCodec.changes(c)));
        } else if (path.equals("/holds")) {
            store.grant(
                    EmulatorCodec.lifeMs(MessagePackCodec.value(r.body())),
                    (o, id) -> {
                        if (o == Outcome.OK) {
                            out.reply(200, EmulatorCodec.lease(id));
                        } else {
                            failed(o, out);
                        }
                    });
        } else if (path.matches("/holds/[0-9]{1,18}/renew")) {
            store.renew(
                    Long.parseLong(path.split("/")[2]),
                    o -> {
                        if (o == Outcome.OK || o == Outcome.NO) {
                            out.reply(o == Outcome.OK ? 200 : 404, null);
                        } else {
                            failed(o, out);
                        }
                    });
        } else if (path.matches("/holds/[0-9]{1,18}") && r.method().equals("DELETE")) {
            store.revoke(Long.parseLong(path.split("/")[2]));
            out.reply(200, null);
        } else {
            out.reply(400, ProtocolCodec.error("no such call"));
        }
    }

    private static void committed(CommitResult c, Responder out) {
        switch (c.outcome()) {
            case OK -> out.reply(200, EmulatorCodec.committed(c));
            case NO ->
                    out.reply(
                            c.leaseGone() ? 400 : 409,
                            c.leaseGone()
                                    ? ProtocolCodec.error(ProtocolCodec.NO_SUCH_LEASE)
                                    : EmulatorCodec.committed(c));
            case INVALID -> out.reply(400, ProtocolCodec.error("over the limits"));
            default -> failed(c.outcome(), out);
        }
    }

    private static String query(Request r, String name, String absent) {
        List<String> values = new QueryStringDecoder("/?" + r.query()).parameters().get(name);
        return values == null ? absent : values.get(0);
    }

    private static long number(Request r, String name, long absent) {
        String s = query(r, name, "" + absent);
        if (!s.matches("[0-9]{1,18}")) {
            throw new InvalidInputException(name + ": must be a number");
        }
        return Long.parseLong(s);
    }

    // ---- cloud ----------------------------------------------------------------------------------

    private void cloud(Request r, Responder out) {
        if (r.path().equals("/machine_types")) {
            cloud.types((o, types) -> out.reply(200, EmulatorCodec.types(types)));
        } else if (r.path().equals("/rentals/release")) {
            cloud.release(
                    ProtocolCodec.machineNames(MessagePackCodec.value(r.body())),
                    o -> answer(o, MessagePackCodec.bytes(Map.of()), out));
        } else if (r.path().equals("/rentals") && r.method().equals("POST")) {
            EmulatorCodec.Rent q = EmulatorCodec.rent(MessagePackCodec.value(r.body()));
            cloud.rent(
                    q.name(),
                    new MachineKind(q.type(), q.zone(), q.spot()),
                    q.count(),
                    (o, names) -> answer(o, ProtocolCodec.machines(names), out));
        } else if (r.path().equals("/rentals")) {
            String from = query(r, "from", "");
            int limit = (int) number(r, "limit", 500);
            cloud.list(
                    (o, all) -> {
                        List<Cloud.Listed> rest =
                                all.stream().filter(m -> m.machine().compareTo(from) > 0).toList();
                        answer(
                                o,
                                EmulatorCodec.machines(
                                        rest.subList(0, Math.min(limit, rest.size())),
                                        rest.size() > limit),
                                out);
                    });
        } else {
            out.reply(400, ProtocolCodec.error("no such call"));
        }
    }

    private static void answer(Outcome o, byte[] body, Responder out) {
        switch (o) {
            case OK -> out.reply(200, body);
            case NO -> out.reply(503, ProtocolCodec.error("no capacity"));
            default -> out.reply(503, ProtocolCodec.error("trouble"));
        }
    }
}
