package io.kitepath.cli;

import io.kitepath.cloud.HttpCloud;
import io.kitepath.core.CellNetwork;
import io.kitepath.core.Controller;
import io.kitepath.core.NodeEnvironment;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.role.LeasedRoles;
import io.kitepath.net.ConnectionPolicy;
import io.kitepath.net.HttpClient;
import io.kitepath.net.HttpServer;
import io.kitepath.net.HttpServer.Request;
import io.kitepath.net.HttpServer.Responder;
import io.kitepath.net.LoopTimers;
import io.kitepath.peers.CellLinks;
import io.kitepath.peers.Peers;
import io.kitepath.settings.CellsFile;
import io.kitepath.settings.SettingsFile;
import io.kitepath.store.HttpStore;
import io.kitepath.users.UsersApi;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.workers.HttpDirectCommands;
import io.kitepath.workers.WorkersApi;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.Optional;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running controller node: the core with its sockets and timers round it, all on one event loop.
 */
final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);

    /** Requests: 64 KiB as JSON; as MessagePack, decimal numbers can take more. */
    private static final int MAX_BODY = 160 * 1024;

    private static final int MAX_ANSWER = 2 * 1024 * 1024;

    /**
     * The leader's key, duties, open jobs, acts twice where holder and duty are one node, and
     * wishes to leave.
     */
    private static final int WATCHES = 6;

    private static final long HAND_OVER_MS = 200;

    private final SettingsFile settings;

    /** Null without other cells. */
    private final CellsFile cells;

    private HttpServer server;
    private PrometheusMetrics metrics;

    Node(SettingsFile settings, CellsFile cells) {
        this.settings = settings;
        this.cells = cells;
    }

    /** Starts to listen and returns; the event loop's thread keeps the process alive. */
    void start() throws InterruptedException {
        ClusterSettings facts = settings.settings();
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        EventLoop loop = group.next();
        LoopTimers timers = new LoopTimers(loop);
        long timeoutMs =
                Math.round(Math.min(1000, facts.workers().heartbeatIntervalSeconds() * 500));
        HttpStore store =
                new HttpStore(
                        new HttpClient(loop, settings.storeAddress(), 8, MAX_ANSWER),
                        new HttpClient(loop, settings.storeAddress(), 2, MAX_ANSWER),
                        new HttpClient(loop, settings.storeAddress(), WATCHES, MAX_ANSWER),
                        timeoutMs);
        HttpCloud cloud =
                new HttpCloud(new HttpClient(loop, settings.cloudAddress(), 3, MAX_ANSWER), 3000);
        Peers peers = new Peers(group, facts.node(), settings.siblingAddresses(), cells != null);
        // The seed only spreads probes and retries of different nodes and runs.
        Random random = new Random(facts.node().hashCode() ^ System.nanoTime());
        HttpDirectCommands direct = new HttpDirectCommands(loop, MAX_ANSWER, timeoutMs);
        Controller controller =
                new Controller(
                        facts,
                        new NodeEnvironment(store, cloud, direct, timers, peers, random),
                        Optional.ofNullable(cells).map(file -> cellNetwork(file, loop, random)));
        UsersApi users = new UsersApi(controller);
        WorkersApi workers = new WorkersApi(controller);
        server =
                new HttpServer(
                        (request, out) -> route(controller, users, workers, request, out),
                        MAX_BODY,
                        new ConnectionPolicy(
                                facts.limits().maxSockets() * 3 / 4,
                                60,
                                request -> request.path().equals(WorkersApi.CHECK_IN)));
        // Guards the leader's lease against a second process started by mistake: one whose
        // addresses are taken must end before it says in the store that it is this node now.
        loop.submit(() -> peers.start(controller, settings.internalAddress()))
                .sync()
                .getNow()
                .sync();
        server.listen(group, settings.listenAddress()).sync();
        loop.submit(controller::start).sync();
        LOG.info("{} listens on {}", facts.node(), settings.listenAddress());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> handOver(loop, controller)));
    }

    private static CellNetwork cellNetwork(CellsFile file, EventLoop loop, Random random) {
        return new CellNetwork(file.directory(), new CellLinks(loop, file.addresses(), random));
    }

    /**
     * Stopped on purpose: the others need not wait for leases to run out. A little time for it to
     * go out.
     */
    private static void handOver(EventLoop loop, Controller controller) {
        try {
            loop.submit(controller::stop).await(HAND_OVER_MS);
            loop.terminationFuture().await(HAND_OVER_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void route(
            Controller controller,
            UsersApi users,
            WorkersApi workers,
            Request request,
            Responder out) {
        String path = request.path();
        if (path.equals(WorkersApi.CHECK_IN)) {
            workers.handle(request, out);
        } else if (path.equals(UsersApi.JOBS) || path.startsWith(UsersApi.JOBS + "/")) {
            users.handle(request, out);
        } else if (path.equals("/healthz") || path.equals("/metrics") || path.equals("/duties")) {
            if (!request.method().equals("GET")) {
                out.reply(405, null);
            } else if (path.equals("/healthz")) {
                out.reply(controller.isHealthy() ? 200 : 503, null);
            } else if (path.equals("/duties")) {
                out.reply(
                        200,
                        MessagePackCodec.encode(
                                controller.roles().stream()
                                        .map(LeasedRoles.Role::describe)
                                        .toList()));
            } else {
                if (metrics == null) {
                    metrics = new PrometheusMetrics(controller, server);
                }
                out.reply(200, metrics.scrape());
            }
        } else {
            out.reply(404, null);
        }
    }
}
