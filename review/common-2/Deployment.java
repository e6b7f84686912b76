package review2;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.settings.JsonCodec;
import io.kitepath.simulation.LoopbackEmulator;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.UserCodec;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/**
 * Three controllers as processes, started with the run line of the deploy file, and the project's
 * stand-ins of state service, cloud and workers, all on loopback. The settings are those of the
 * first small deployment, etiketa-press. What is sent, answered and run goes to record.txt.
 */
public final class Deployment implements AutoCloseable {
    public static final List<String> ZONES = List.of("kalamaria", "pylaia", "sindos");
    public static final double LEASE_SECONDS = 10;
    public static final double CANCEL_SECONDS = 30;
    private static final int NODES = 3;

    public final SimulatedCluster cluster = new SimulatedCluster();
    public final LoopbackEmulator emulator;
    private final Path root;
    private final Path directory;
    private final PrintWriter record;
    private final Map<String, String> lastSeen = new LinkedHashMap<>();
    private final List<InetSocketAddress> publicAddresses = new ArrayList<>();
    private final List<InetSocketAddress> internalAddresses = new ArrayList<>();
    private final Process[] processes = new Process[NODES];
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final InetSocketAddress state;
    private double guaranteedCpus;
    private final StateGate[] gates = new StateGate[NODES];
    private final InetSocketAddress[] stateAddresses = new InetSocketAddress[NODES];
    private final InetSocketAddress cloud;
    private final long startedNanos = System.nanoTime();
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(500))
                    .build();

    /**
     * Starts the stand-ins.
     *
     * @param machines how many machines the cloud has
     */
    public Deployment(Path root, Path folder, int machines) throws IOException {
        this.root = root;
        this.record = new PrintWriter(folder.resolve("record.txt").toFile(), StandardCharsets.UTF_8);
        this.directory = Files.createTempDirectory("kitepath-review-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Map<String, InetSocketAddress> byLabel = new LinkedHashMap<>();
        for (int node = 0; node < NODES; node++) {
            publicAddresses.add(freeAddress());
            internalAddresses.add(freeAddress());
            byLabel.put(label(node), publicAddresses.get(node));
        }
        cluster.zones = ZONES;
        cluster.type = new MachineType("rip-node", 16, 0, 64, 50, 0.25, 0.68, 0.16, 35, ZONES);
        cluster.heartbeatIntervalSeconds = 1.5;
        cluster.leaseSeconds = LEASE_SECONDS;
        cluster.cancelSeconds = CANCEL_SECONDS;
        cluster.reportsChangesImmediately = true;
        cluster.requestsPerSecond = 150;
        cluster.writesPerSecond = 50;
        cluster.store.enforcesRates = true;
        cluster.store.largestValueBytes = 8 * 1024;
        cluster.store.largestTransactionOperations = 40;
        cluster.cloud.capacity = machines;
        cluster.cloud.bootSeconds = machine -> 2;
        cluster.cloud.listLagSeconds = 4;
        emulator = new LoopbackEmulator(group, cluster, byLabel);
        List<InetSocketAddress> services = emulator.start();
        state = services.get(0);
        cloud = services.get(1);
        java.util.Arrays.fill(stateAddresses, state);
        Thread watcher = new Thread(this::recordRuns);
        watcher.setDaemon(true);
        watcher.start();
    }

    /** Puts a gate between each controller and the state service; before the controllers start. */
    public void gateStateService() {
        for (int node = 0; node < NODES; node++) {
            gates[node] = new StateGate(group, state);
            stateAddresses[node] = gates[node].start();
        }
    }

    /** Guarantees the team that many CPUs; before the controllers start. */
    public void guarantee(double cpus) {
        guaranteedCpus = cpus;
    }

    /** Lets the state service refuse that controller alone, or serve it again. */
    public void refuseAlone(int node, boolean refuses) {
        gates[node].setRefuses(refuses);
        write("the state service " + (refuses ? "refuses" : "serves") + " controller " + node);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        for (int tries = 0; tries < 200; tries++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
            } catch (IOException taken) {
                continue;
            }
        }
        throw new IOException("no free port");
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String label(int node) {
        return "kite-" + node;
    }

    /** Records, ten times a second, what has changed on machines: which tasks run and how they end. */
    private void recordRuns() {
        while (!Thread.currentThread().isInterrupted()) {
            Map<String, String> seen = new LinkedHashMap<>();
            try {
                Thread.sleep(100);
                emulator.run(
                        () ->
                                cluster.workers.values().stream()
                                        .filter(worker -> worker.up)
                                        .forEach(
                                                worker -> {
                                                    seen.put(worker.id, "up, session " + worker.session);
                                                    worker.tasks.forEach(
                                                            (key, task) ->
                                                                    seen.put(
                                                                            key + " on " + worker.id,
                                                                            task.state
                                                                                    + (task.cause == null
                                                                                            ? ""
                                                                                            : " "
                                                                                                    + task.cause)));
                                                }));
            } catch (InterruptedException | RuntimeException ended) {
                return;
            }
            seen.forEach(
                    (what, state) -> {
                        if (!state.equals(lastSeen.get(what))) {
                            write("machine: " + what + ": " + state);
                        }
                    });
            lastSeen.keySet().stream()
                    .filter(what -> !seen.containsKey(what))
                    .forEach(what -> write("machine: " + what + ": gone"));
            lastSeen.clear();
            lastSeen.putAll(seen);
        }
    }

    // ---- controllers ----------------------------------------------------------------------------

    /** Starts all controllers and waits until each is healthy. */
    public void startNodes() throws Exception {
        for (int node = 0; node < NODES; node++) {
            start(node);
        }
        for (int node = 0; node < NODES; node++) {
            int at = node;
            if (!await(30, () -> call(at, "GET", "/healthz", null, 1000).code == 200)) {
                throw new IOException("controller " + node + " did not come up");
            }
        }
        write("all controllers are healthy");
    }

    /** Starts the process of a controller with the run line of the deploy file. */
    public void start(int node) throws IOException {
        Path settings = directory.resolve(label(node) + ".json");
        Files.write(settings, JsonCodec.toJson(settings(node)));
        List<String> command = new ArrayList<>(runLine());
        command.add(settings.toString());
        File log = directory.resolve(label(node) + ".log").toFile();
        processes[node] =
                new ProcessBuilder(command)
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start();
    }

    private List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no run line in deploy/service.toml");
    }

    private Map<String, Object> settings(int node) {
        List<Object> siblings = new ArrayList<>();
        for (int other = 0; other < NODES; other++) {
            if (other != node) {
                siblings.add(
                        Map.of(
                                "label", label(other),
                                "domain", ZONES.get(other),
                                "addr", text(internalAddresses.get(other))));
            }
        }
        Map<String, Object> facts = new LinkedHashMap<>();
        facts.put("nodes", NODES);
        facts.put("zones", ZONES);
        facts.put(
                "teams",
                List.of(
                        Map.of(
                                "name", "prepress",
                                "cpus", guaranteedCpus,
                                "cpus_max", 0.0,
                                "gpus", 0.0,
                                "gpus_max", 0.0)));
        facts.put(
                "objectives",
                List.of(
                        Map.of(
                                "kind", "finished",
                                "class", "preflight-check",
                                "within_s", 250.0,
                                "share", 0.88)));
        facts.put(
                "workers",
                Map.of(
                        "report_s", 1.5,
                        "lease_s", LEASE_SECONDS,
                        "gang_wait_s", 50.0,
                        "gang_peer_s", 5.0,
                        "cancel_s", CANCEL_SECONDS));
        facts.put(
                "state", Map.of("rps", 150.0, "write_rps", 50.0, "value_kb", 8.0, "txn_ops", 40));
        facts.put("cloud", Map.of("rps", 3.0, "list_lag_s", 8.0));
        facts.put("limits", Map.of("cpu", 0.255, "ram_mb", 205.0, "sockets", 1000));
        facts.put("clock_error_ms", 5.0);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("label", label(node));
        settings.put("domain", ZONES.get(node));
        settings.put("listen", text(publicAddresses.get(node)));
        settings.put("internal_addr", text(internalAddresses.get(node)));
        settings.put("siblings", siblings);
        settings.put("endpoints", Map.of("cloud", text(cloud), "state", text(stateAddresses[node])));
        settings.put("facts", facts);
        return settings;
    }

    /** Ends a controller with SIGKILL. */
    public void kill(int node) throws InterruptedException {
        processes[node].destroyForcibly().waitFor();
        write("controller " + node + " killed");
    }

    /** Whether the controller's process is alive. */
    public boolean isAlive(int node) {
        return processes[node].isAlive();
    }

    public int nodes() {
        return NODES;
    }

    /** Returns the lines of a controller's log that contain one of the texts. */
    public List<String> logLines(int node, String... texts) throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(directory.resolve(label(node) + ".log"))) {
            if (Stream.of(texts).anyMatch(line::contains)) {
                found.add(line);
            }
        }
        return found;
    }

    /** The controller whose log says that it leads; -1 if none does. */
    public int leader() throws IOException {
        for (int node = 0; node < NODES; node++) {
            List<String> lines = logLines(node, "leadership won", "leadership lost");
            if (isAlive(node)
                    && !lines.isEmpty()
                    && lines.get(lines.size() - 1).contains("leadership won")) {
                return node;
            }
        }
        return -1;
    }

    // ---- users ----------------------------------------------------------------------------------

    /** An answer; its code is 0 if there was none in time. */
    public static final class Answer {
        public int code;
        public Map<?, ?> body = Map.of();

        public String status() {
            return String.valueOf(body.get("status"));
        }

        @Override
        public String toString() {
            return code == 0 ? "no answer" : code + " " + body;
        }
    }

    /** Sends one request to a controller and waits for the answer. */
    public Answer call(int node, String method, String path, Object body, long millis) {
        Answer answer = new Answer();
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://" + text(publicAddresses.get(node)) + path))
                            .timeout(Duration.ofMillis(millis))
                            .method(
                                    method,
                                    body == null
                                            ? HttpRequest.BodyPublishers.noBody()
                                            : HttpRequest.BodyPublishers.ofByteArray(
                                                    MessagePackCodec.encode(body)))
                            .build();
            HttpResponse<byte[]> response =
                    http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (response.body().length > 0
                    && MessagePackCodec.decode(response.body()) instanceof Map<?, ?> map) {
                answer.body = map;
            }
            answer.code = response.statusCode();
        } catch (IOException noAnswer) {
            answer.code = 0;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        String sent =
                body instanceof Map<?, ?> job
                        ? " " + job.get("nameId")
                                + " (" + job.get("shape")
                                + ", " + job.get("sheets") + " of " + job.get("vcpus") + " CPUs"
                                + ", " + job.get("urgency")
                                + ", dueS " + job.get("dueS")
                                + (job.get("awaits") instanceof List<?> names
                                        ? ", awaits " + names.size()
                                                + (names.isEmpty()
                                                        ? ""
                                                        : " jobs from " + names.get(0)
                                                                + " to " + names.get(names.size() - 1))
                                        : "")
                                + ")"
                        : "";
        write("user: " + method + " " + path + sent + " at " + label(node) + ": " + answer);
        return answer;
    }

    /** A user's question about a job; the user waits 2 s. */
    public Answer ask(int node, String id) {
        return call(node, "GET", "/submissions/" + id, null, 2000);
    }

    /** A user's request to cancel a job; the user waits 5 s. */
    public Answer cancel(int node, String id) {
        return call(node, "POST", "/submissions/" + id + "/withdraw", null, 5000);
    }

    /** Makes the job known to the stand-in workers, as users upload descriptions. */
    public void upload(Map<String, Object> job) {
        JobSpec spec =
                UserCodec.decodeSubmission(MessagePackCodec.decode(MessagePackCodec.encode(job)));
        emulator.run(() -> cluster.specs.put(spec.id(), spec));
    }

    /** Submits a job as a user does: for up to 60 s, until it is accepted. */
    public boolean submit(Map<String, Object> job, int firstNode) throws InterruptedException {
        upload(job);
        long end = System.nanoTime() + 60_000_000_000L;
        for (int tries = 0; System.nanoTime() < end; tries++) {
            int node = (firstNode + tries) % NODES;
            Answer answer = call(node, "POST", "/submissions", job, 5000);
            if (answer.code == 201 || answer.code == 200) {
                return true;
            }
            if (answer.code == 400 || answer.code == 422) {
                return false;
            }
            Thread.sleep(1000);
        }
        return false;
    }

    /** A job of the first small deployment's class of arrays. */
    public static Map<String, Object> job(String id, String shape, int tasks, double cpus) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("nameId", id);
        job.put("lane", "preflight-check");
        job.put("crew", "prepress");
        job.put("shape", shape);
        job.put("urgency", "standard");
        job.put("sheets", tasks);
        job.put("vcpus", cpus);
        job.put("cards", 0.0);
        job.put("ramGb", 3.6);
        job.put("frames", null);
        job.put("field", null);
        job.put("oneZone", false);
        job.put("spread", false);
        job.put("loaners", true);
        job.put("kit", "img-01");
        job.put("sizeGb", 1.5);
        job.put("expectS", 40.0);
        job.put("markEveryS", 0.0);
        job.put("markCostS", 0.0);
        job.put("dueS", null);
        return job;
    }

    // ---- record ---------------------------------------------------------------------------------

    /** Seconds since the start of the test. */
    public double seconds() {
        return (System.nanoTime() - startedNanos) / 1e9;
    }

    /** Writes a line to record.txt and to standard output. */
    public void write(String line) {
        synchronized (record) {
            String stamped = String.format(Locale.ROOT, "%7.2f %s", seconds(), line);
            System.out.println(stamped);
            record.println(stamped);
            record.flush();
        }
    }

    /** What is true or becomes true. */
    public interface Check {
        boolean holds() throws Exception;
    }

    /** Waits until the check holds, for that time at most; returns whether it does. */
    public static boolean await(double seconds, Check check) throws Exception {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (!check.holds()) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(100);
        }
        return true;
    }

    /** Ends all processes that this test started and removes its temporary folder. */
    @Override
    public synchronized void close() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
        if (System.getenv("KEEP_LOGS") == null && Files.exists(directory)) {
            try (Stream<Path> files = Files.walk(directory)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException failure) {
                System.err.println("temporary folder: " + failure);
            }
        }
    }
}
