package io.kitepath.cli;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.settings.JsonCodec;
import io.kitepath.simulation.LoopbackEmulator;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.wire.MessagePackCodec;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Nodes as real processes on this machine, with stand-ins of all that they need; and a drill that
 * ends them.
 */
@Command(
        name = "local",
        mixinStandardHelpOptions = true,
        description = {
            "Runs nodes as processes of their own on loopback, with stand-ins of state service, cloud and workers, and a first job.",
            "With --drill it ends nodes with SIGKILL and freezes them with SIGSTOP while jobs come, and says passed or FAILED."
        })
final class LocalCommand implements Callable<Integer> {
    private static final double MOST_S = 60;

    @Option(names = "--nodes", description = "How many nodes; ${DEFAULT-VALUE}.")
    int count = 3;

    @Option(
            names = "--machines",
            description = "How many machines the cloud has; ${DEFAULT-VALUE}.")
    int machines = 12;

    @Option(names = "--task-s", description = "How long a task runs, in seconds; ${DEFAULT-VALUE}.")
    double taskS = 2;

    @Option(names = "--once", description = "End when the first job is done.")
    boolean once;

    @Option(names = "--drill", description = "Kill and freeze nodes while jobs come.")
    boolean drill;

    @Option(names = "--for", description = "Seconds of drill; ${DEFAULT-VALUE}.")
    double forS = 60;

    @Option(
            names = "--earlier",
            paramLabel = "JAR",
            description = {
                "A jar of an earlier version: nodes start with it, and with --drill are killed and come back with this one,",
                "one after the other; after that limits of the state service fall and pipelines are handed in."
            })
    Path earlier;

    @Option(names = "--seed", description = "Of the drill's failures; ${DEFAULT-VALUE}.")
    long seed = 1;

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Map<String, Path> settings = new LinkedHashMap<>();

    /** Nodes that come back with this version, and not the earlier one; and those that have. */
    private final Set<String> renewed = ConcurrentHashMap.newKeySet();

    private final Set<String> current = ConcurrentHashMap.newKeySet();
    private final List<InetSocketAddress> listens = new ArrayList<>();
    private volatile boolean ending;
    private Path dir;

    @Override
    public Integer call() throws Exception {
        if (count < 1 || count > 9 || machines < 1 || machines > 500 || taskS < 0) {
            System.err.println("kitepath: 1 to 9 nodes, 1 to 500 machines and no negative times");
            return 2;
        }
        double began = now();
        dir = Files.createTempDirectory("kitepath-local-");
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
        try {
            Map<String, InetSocketAddress> labels = new LinkedHashMap<>();
            List<InetSocketAddress> internal = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                listens.add(free());
                internal.add(free());
                labels.put("node-" + i, listens.get(i));
            }
            SimulatedCluster cluster = new SimulatedCluster();
            cluster.cloud.capacity = machines;
            cluster.cloud.bootSeconds = n -> 0.5;
            cluster.taskSeconds = jobId -> taskS;
            cluster.reportsChangesImmediately = true;
            if (earlier != null) {
                cluster.announcedStoreLimits = new ClusterSettings.StoreLimits(1000, 500, 2, 13);
            }
            LoopbackEmulator outside = new LoopbackEmulator(group, cluster, labels);
            List<InetSocketAddress> services = outside.start();
            for (int i = 0; i < count; i++) {
                Path file = dir.resolve("node-" + i + ".json");
                Files.write(file, JsonCodec.toJson(settings(i, internal, services, cluster)));
                settings.put("node-" + i, file);
                start("node-" + i);
            }
            if (!until(20, () -> listens.stream().allMatch(this::healthy))) {
                System.err.println("kitepath: the nodes did not come up; their logs are in " + dir);
                return 1;
            }
            System.out.printf(
                    Locale.ROOT,
                    "%d nodes are up after %.1f s; state service at %s, logs in %s%n",
                    count,
                    now() - began,
                    text(services.get(0)),
                    dir);
            Path job = dir.resolve("first-job.json");
            Files.write(job, JsonCodec.toJson(job("j-000001", 4)));
            System.out.println("a first job, and how to hand it in and look at it:");
            System.out.println("  kitepath submit --node " + text(listens.get(0)) + " " + job);
            System.out.println("  kitepath status --node " + text(listens.get(0)) + " j-000001");
            boolean done = submit("j-000001", 4);
            if (earlier == null) {
                // A small pipeline: the second one starts when the first one is done.
                done &=
                        submit("j-000002", 2, "j-000001")
                                && until(MOST_S, () -> "done".equals(status("j-000002")));
            }
            done &= until(MOST_S, () -> "done".equals(status("j-000001")));
            System.out.printf(
                    Locale.ROOT,
                    "%s %s after %.1f s%n",
                    earlier == null
                            ? "the first job and the one that waits for it are"
                            : "the first job is",
                    done ? "done" : "NOT done",
                    now() - began);
            if (!done || once) {
                return done ? 0 : 1;
            }
            if (drill) {
                return drill(outside);
            }
            System.out.println("until you end this with Ctrl-C");
            Thread.sleep(Long.MAX_VALUE);
            return 0;
        } finally {
            endAll();
            group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
        }
    }

    // ---- the drill ------------------------------------------------------------------------------

    private int drill(LoopbackEmulator outside) throws Exception {
        Random random = new Random(seed);
        List<String> jobs = new ArrayList<>();
        double until = now() + forS;
        int kills = 0;
        int freezes = 0;
        while (now() < until) {
            String id = String.format("j-%06d", 100 + jobs.size());
            boolean all = earlier == null || current.size() == count;
            // Every other one waits for two before it, once no node runs an earlier version any
            // more.
            boolean waits = all && jobs.size() > 2 && jobs.size() % 2 == 0;
            String[] needs =
                    waits
                            ? new String[] {
                                jobs.get(jobs.size() - 1), jobs.get(random.nextInt(jobs.size()))
                            }
                            : new String[0];
            int tasks = 1 + random.nextInt(12);
            outside.run(
                    () -> {
                        outside.cluster.specs.put(
                                id, SimulatedCluster.job(id, JobSpec.Shape.ARRAY, tasks, 1));
                        outside.cluster.dependencies.put(id, List.of(needs));
                    });
            if (submit(id, tasks, needs)) {
                jobs.add(id);
            }
            String node = "node-" + random.nextInt(count);
            if (earlier != null && random.nextInt(3) == 0) {
                renewed.add(node); // From its next end on.
            }
            if (all && outside.cluster.announcedStoreLimits != null) {
                outside.run(
                        () -> {
                            outside.cluster.store.largestValueBytes =
                                    (int)
                                            (1024
                                                    * outside.cluster.announcedStoreLimits
                                                            .maxValueKibibytes());
                            outside.cluster.store.largestTransactionOperations =
                                    outside.cluster.announcedStoreLimits.maxTransactionOperations();
                        });
            }
            if (random.nextInt(3) == 0) {
                freezes++;
                long stillMs = 500 + random.nextInt(7000);
                Process p = processes.get(node);
                signal(p, "STOP");
                later(stillMs, () -> signal(p, "CONT"));
            } else {
                kills++;
                processes.get(node).destroyForcibly().waitFor();
                later(
                        100 + random.nextInt(400),
                        () -> {
                            if (!processes.get(node).isAlive()) {
                                start(node);
                            }
                        });
            }
            Thread.sleep(1000 + random.nextInt(3000));
        }
        boolean done = until(MOST_S, () -> jobs.stream().allMatch(j -> "done".equals(status(j))));
        List<String> broken = new ArrayList<>();
        outside.run(
                () -> {
                    broken.addAll(outside.cluster.violations);
                    if (outside.cluster.store.transactionsOverLimits > 0) {
                        broken.add(
                                outside.cluster.store.transactionsOverLimits
                                        + " transactions over the state service's limits");
                    }
                });
        // What is idle goes back, and nothing asked of the cloud stays on record.
        boolean clean =
                until(
                        2 * MOST_S,
                        () -> {
                            boolean[] none = new boolean[1];
                            outside.run(
                                    () ->
                                            none[0] =
                                                    outside.cluster.cloud.machines.isEmpty()
                                                            && outside
                                                                    .cluster
                                                                    .store
                                                                    .entries
                                                                    .keySet()
                                                                    .stream()
                                                                    .noneMatch(
                                                                            key ->
                                                                                    key.startsWith(
                                                                                            StoreKeys
                                                                                                    .CLOUD_INTENTS)));
                            return none[0];
                        });
        System.out.printf(
                "%d jobs, %d kills, %d freezes: %s%n",
                jobs.size(),
                kills,
                freezes,
                done && clean && broken.isEmpty() ? "passed" : "FAILED");
        broken.forEach(b -> System.out.println("  broken: " + b));
        if (!done) {
            System.out.println(
                    "  not done: " + jobs.stream().filter(j -> !"done".equals(status(j))).toList());
        }
        if (!clean) {
            System.out.println("  machines or acts were left");
        }
        return done && clean && broken.isEmpty() ? 0 : 1;
    }

    private static void signal(Process p, String name) {
        try {
            new ProcessBuilder("kill", "-" + name, "" + p.pid()).start().waitFor();
        } catch (IOException | InterruptedException e) {
            System.err.println("kitepath: can't send SIG" + name + ": " + e);
        }
    }

    private void later(long ms, Runnable what) {
        Thread t =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(ms);
                                if (!ending) {
                                    what.run();
                                }
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        t.setDaemon(true);
        t.start();
    }

    // ---- nodes ----------------------------------------------------------------------------------

    private void start(String node) {
        try {
            boolean now = earlier == null || renewed.contains(node);
            String version = now ? System.getProperty("java.class.path") : earlier.toString();
            if (now) {
                current.add(node);
            }
            processes.put(
                    node,
                    new ProcessBuilder(
                                    ProcessHandle.current().info().command().orElse("java"),
                                    "-Xmx64m",
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    version,
                                    Main.class.getName(),
                                    "--config",
                                    settings.get(node).toString())
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            dir.resolve(node + ".log").toFile()))
                            .start());
        } catch (IOException e) {
            System.err.println("kitepath: " + node + " can't be started: " + e);
        }
    }

    private void endAll() {
        ending = true;
        processes.values().forEach(Process::destroyForcibly);
    }

    private Map<String, Object> settings(
            int i,
            List<InetSocketAddress> internal,
            List<InetSocketAddress> services,
            SimulatedCluster cluster) {
        List<Object> siblings = new ArrayList<>();
        for (int j = 0; j < count; j++) {
            if (j != i) {
                siblings.add(
                        Map.of(
                                "label",
                                "node-" + j,
                                "domain",
                                cluster.zones.get(j % cluster.zones.size()),
                                "addr",
                                text(internal.get(j))));
            }
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("label", "node-" + i);
        m.put("domain", cluster.zones.get(i % cluster.zones.size()));
        m.put("listen", text(listens.get(i)));
        m.put("internal_addr", text(internal.get(i)));
        m.put("siblings", siblings);
        m.put("endpoints", Map.of("state", text(services.get(0)), "cloud", text(services.get(1))));
        m.put(
                "facts",
                Map.of(
                        "zones",
                        cluster.zones,
                        "teams",
                        List.of(Map.of("name", "red")),
                        "workers",
                        Map.of(
                                "report_s",
                                cluster.heartbeatIntervalSeconds,
                                "lease_s",
                                cluster.leaseSeconds,
                                "gang_wait_s",
                                30,
                                "gang_peer_s",
                                5,
                                "cancel_s",
                                30),
                        "state",
                        Map.of(
                                "rps",
                                1000,
                                "write_rps",
                                500,
                                "value_kb",
                                8,
                                "txn_ops",
                                40,
                                "next",
                                cluster.announcedStoreLimits == null
                                        ? Map.of()
                                        : Map.of(
                                                "value_kb",
                                                cluster.announcedStoreLimits.maxValueKibibytes(),
                                                "txn_ops",
                                                cluster.announcedStoreLimits
                                                        .maxTransactionOperations())),
                        "cloud",
                        Map.of("rps", 10, "list_lag_s", 2),
                        "limits",
                        Map.of("cpu", 1, "ram_mb", 200, "sockets", 1000)));
        return m;
    }

    // ---- as a user ------------------------------------------------------------------------------

    private static Map<String, Object> job(String id, int tasks, String... needs) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("nameId", id);
        m.put("lane", "first");
        m.put("crew", "red");
        m.put("shape", "array");
        m.put("urgency", "standard");
        m.put("sheets", tasks);
        m.put("vcpus", 1.0);
        m.put("cards", 0.0);
        m.put("ramGb", 1.0);
        m.put("frames", null);
        m.put("field", null);
        m.put("oneZone", false);
        m.put("spread", false);
        m.put("loaners", false);
        m.put("kit", "img-01");
        m.put("sizeGb", 0.5);
        m.put("expectS", 2.0);
        m.put("markEveryS", 0.0);
        m.put("markCostS", 0.0);
        m.put("dueS", null);
        m.put("awaits", List.of(needs));
        return m;
    }

    private byte[] ask(
            InetSocketAddress node, String method, String path, byte[] body, int... good) {
        try {
            HttpResponse<byte[]> r =
                    http.send(
                            HttpRequest.newBuilder(URI.create("http://" + text(node) + path))
                                    .timeout(Duration.ofSeconds(2))
                                    .method(
                                            method,
                                            body == null
                                                    ? HttpRequest.BodyPublishers.noBody()
                                                    : HttpRequest.BodyPublishers.ofByteArray(body))
                                    .build(),
                            HttpResponse.BodyHandlers.ofByteArray());
            for (int g : good) {
                if (r.statusCode() == g) {
                    return r.body();
                }
            }
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return null;
    }

    private boolean healthy(InetSocketAddress node) {
        return ask(node, "GET", "/healthz", null, 200) != null;
    }

    /** Asks one node after the other, as users do who got no answer. */
    private boolean submit(String id, int tasks, String... needs) throws InterruptedException {
        return until(
                MOST_S,
                () ->
                        listens.stream()
                                .anyMatch(
                                        n ->
                                                ask(
                                                                n,
                                                                "POST",
                                                                "/submissions",
                                                                MessagePackCodec.encode(
                                                                        job(id, tasks, needs)),
                                                                200,
                                                                201)
                                                        != null));
    }

    private String status(String id) {
        for (InetSocketAddress n : listens) {
            byte[] b = ask(n, "GET", "/submissions/" + id, null, 200);
            if (b != null) {
                return (String) ((Map<?, ?>) MessagePackCodec.decode(b)).get("status");
            }
        }
        return null;
    }

    // ---- this and that --------------------------------------------------------------------------

    private static double now() {
        return System.nanoTime() / 1e9;
    }

    private static boolean until(double most, BooleanSupplier so) throws InterruptedException {
        double from = now();
        while (!so.getAsBoolean()) {
            if (now() - from > most) {
                return false;
            }
            Thread.sleep(50);
        }
        return true;
    }

    private static String text(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", s.getLocalPort());
        }
    }
}
