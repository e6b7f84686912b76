import com.sun.net.httpserver.HttpExchange;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: three controllers as processes of their own, started with the run
 * line of the deploy file, and stand-ins of state service, cloud, workers and users. The settings
 * are those of a site file.
 */
final class Env implements AutoCloseable {
    /** A longer run is for use by hand only. */
    static final int SECONDS_LIMIT =
            Integer.parseInt(System.getenv().getOrDefault("LIMIT_S", "120"));

    /** The figures of a site's file that the settings and the stand-ins need. */
    static final class Site {
        List<String> zones = List.of("kalamaria", "pylaia", "sindos");
        String frame = "rip-node";
        double hostCpus = 16;
        double rate = 0.68;
        double spotRate = 0.16;
        double bootSeconds = 35;
        double reportSeconds = 1.5;
        double leaseSeconds = 10;
        double gangWaitSeconds = 50;
        double cancelSeconds = 30;
        double rps = 150;
        double writeRps = 50;
        int txnOps = 40;
        double cloudRps = 3;
        double listLagSeconds = 8;
        double cpuShare = 0.255;
        double ramMb = 205;
        int sockets = 1000;
        String team = "prepress";
        double cpus;
        double cpusMax;
        List<Object> objectives =
                List.of(
                        objective("wait", "plate-ripping", 8.0, 0.82),
                        objective("wait", "plate-ripping", 60.0, 0.94),
                        objective("finished", "plate-ripping", 150.0, 0.94),
                        objective("finished", "preflight-check", 150.0, 0.85),
                        objective("finished", "preflight-check", 250.0, 0.88));

        static Map<String, Object> objective(String kind, String job, double within, double share) {
            Map<String, Object> objective = new LinkedHashMap<>();
            objective.put("kind", kind);
            objective.put("class", job);
            if (within > 0) {
                objective.put("within_s", within);
            }
            objective.put("share", share);
            return objective;
        }

        static Site etiketaPress() {
            return new Site();
        }

        static Site arsipBersama() {
            Site site = new Site();
            site.zones = List.of("kotagede", "sleman", "bantul", "magelang");
            site.frame = "scan-worker";
            site.hostCpus = 32;
            site.rate = 1.55;
            site.spotRate = 0.38;
            site.bootSeconds = 50;
            site.reportSeconds = 3;
            site.leaseSeconds = 30;
            site.cancelSeconds = 60;
            site.rps = 250;
            site.writeRps = 60;
            site.txnOps = 48;
            site.cloudRps = 5;
            site.listLagSeconds = 5;
            site.cpuShare = 0.136;
            site.ramMb = 176;
            site.sockets = 800;
            site.team = "digitisation";
            site.cpus = 60;
            site.cpusMax = 216;
            site.objectives =
                    List.of(
                            objective("wait", "panorama-stitch", 40.0, 0.82),
                            objective("wait", "panorama-stitch", 60.0, 0.9),
                            objective("finished", "panorama-stitch", 250.0, 0.9),
                            objective("deadline", "colour-calibrate", 0, 0.85),
                            objective("finished", "label-ocr", 150.0, 0.82));
            return site;
        }
    }

    /** What the stand-ins have to know of a job that a user submits. */
    static final class Job {
        String id;
        double vcpus = 1;
        int sheets = 1;
        double runSeconds = 5;
        Map<String, Object> body;
    }

    /** What a user was answered; status 0 is no response. */
    record Answer(int status, Map<String, Object> body, double askedAt, double at, String node) {
        String state() {
            return status == 200 || status == 201 ? (String) body.get("status") : "";
        }
    }

    private static final double START = System.nanoTime() / 1e9;
    private static final ScheduledExecutorService TIMERS =
            Executors.newScheduledThreadPool(4, Env::daemon);
    private static final Random RANDOM = new Random();

    final List<String> nodes = List.of("kite-0", "kite-1", "kite-2");
    final Site site;
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final Map<String, Worker> workers = new ConcurrentHashMap<>();
    final Set<String> done = ConcurrentHashMap.newKeySet();

    /** How often each task has started, and where it is now. */
    final Map<String, Integer> starts = new ConcurrentHashMap<>();

    final Map<String, Set<String>> machinesOf = new ConcurrentHashMap<>();
    final List<String> broken = new ArrayList<>();

    double imageSeconds = 0.3;
    StateService state;
    Cloud cloud;

    private final Path root;
    private final Path folder;
    private final Path temporary;
    private final List<String> run;
    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, Integer> peerPorts = new LinkedHashMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final List<String> lines = new ArrayList<>();
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    Env(Path root, Path folder, Site site) throws IOException {
        this.site = site;
        this.root = root;
        this.folder = folder;
        this.temporary = Files.createTempDirectory("kitepath-review-");
        String line =
                Files.readAllLines(root.resolve("deploy/service.toml")).stream()
                        .filter(text -> text.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        run = List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Starts the stand-ins and writes the settings; no controller runs yet. */
    void prepare() throws IOException {
        state = new StateService(nodes, site.rps, site.writeRps, 8, site.txnOps);
        cloud = new Cloud(this);
        for (String node : nodes) {
            ports.put(node, freePort());
            peerPorts.put(node, freePort());
        }
        for (String node : nodes) {
            Files.writeString(temporary.resolve(node + ".json"), Pack.json(settings(node)));
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private Map<String, Object> settings(String node) {
        List<Object> siblings = new ArrayList<>();
        for (String other : nodes) {
            if (!other.equals(node)) {
                siblings.add(
                        Map.of(
                                "label", other,
                                "domain", site.zones.get(nodes.indexOf(other)),
                                "addr", "127.0.0.1:" + peerPorts.get(other)));
            }
        }
        Map<String, Object> facts = new LinkedHashMap<>();
        facts.put("nodes", 3L);
        facts.put("zones", site.zones);
        facts.put(
                "teams",
                List.of(
                        Map.of(
                                "name", site.team, "cpus", site.cpus, "cpus_max", site.cpusMax,
                                "gpus", 0.0, "gpus_max", 0.0)));
        facts.put("objectives", site.objectives);
        facts.put(
                "workers",
                Map.of(
                        "report_s", site.reportSeconds, "lease_s", site.leaseSeconds,
                        "gang_wait_s", site.gangWaitSeconds, "gang_peer_s", 5.0,
                        "cancel_s", site.cancelSeconds));
        facts.put(
                "state",
                Map.of(
                        "rps", site.rps, "write_rps", site.writeRps, "value_kb", 8.0,
                        "txn_ops", (long) site.txnOps));
        facts.put("cloud", Map.of("rps", site.cloudRps, "list_lag_s", site.listLagSeconds));
        facts.put("limits", Map.of("cpu", site.cpuShare, "ram_mb", site.ramMb, "sockets", (long) site.sockets));
        facts.put("clock_error_ms", 5.0);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("label", node);
        settings.put("domain", site.zones.get(nodes.indexOf(node)));
        settings.put("listen", "127.0.0.1:" + ports.get(node));
        settings.put("internal_addr", "127.0.0.1:" + peerPorts.get(node));
        settings.put("siblings", siblings);
        settings.put(
                "endpoints",
                Map.of(
                        "cloud", "127.0.0.1:" + cloud.port,
                        "state", "127.0.0.1:" + state.ports.get(node)));
        settings.put("facts", facts);
        return settings;
    }

    Map<String, Object> frame() {
        Map<String, Object> frame = new LinkedHashMap<>();
        frame.put("name", site.frame);
        frame.put("vcpus", site.hostCpus);
        frame.put("cards", 0.0);
        frame.put("ramGb", 64.0);
        frame.put("localGb", 50.0);
        frame.put("pullGbPerS", 0.25);
        frame.put("rate", site.rate);
        frame.put("spotPrice", site.spotRate);
        frame.put("readyS", site.bootSeconds);
        frame.put("fields", site.zones);
        return frame;
    }

    // ---- controllers ----------------------------------------------------------------------------

    /** Starts a controller with the run line of the deploy file. */
    void start(String node) throws IOException {
        List<String> command = new ArrayList<>(run);
        command.add(temporary.resolve(node + ".json").toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("KITE_LOG", "info"));
        builder.redirectErrorStream(true);
        File log = temporary.resolve(node + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(node, builder.start());
        record("controller " + node + ": started");
    }

    void startAll() throws IOException {
        for (String node : nodes) {
            start(node);
        }
        double until = now() + 20;
        while (now() < until) {
            if (nodes.stream().allMatch(node -> get(node, "/healthz", 1).status == 200)
                    && leader() != null) {
                return;
            }
            sleep(200);
        }
        throw new IllegalStateException("the controllers did not come up");
    }

    void kill(String node) throws InterruptedException {
        record("controller " + node + ": killed");
        processes.get(node).destroyForcibly().waitFor();
    }

    /** Sends a signal to a controller's process. */
    void signal(String node, String name) throws Exception {
        record("controller " + node + ": SIG" + name);
        new ProcessBuilder("kill", "-" + name, "" + processes.get(node).pid()).start().waitFor();
    }

    boolean isAlive(String node) {
        return processes.get(node).isAlive();
    }

    /** The controller that the state service has as leader, null if there is none. */
    String leader() {
        Object record = state.value("kitepath/leader");
        return record instanceof Map<?, ?> map ? (String) map.get("node") : null;
    }

    String workerAddress(String node) {
        return "127.0.0.1:" + ports.get(node);
    }

    List<String> log(String node) throws IOException {
        Path log = temporary.resolve(node + ".log");
        return Files.exists(log) ? Files.readAllLines(log) : List.of();
    }

    // ---- users ----------------------------------------------------------------------------------

    /** A submission, with the form of the users' page. */
    Job job(String id, int sheets, double vcpus, double runSeconds, double expectS) {
        Job job = new Job();
        job.id = id;
        job.sheets = sheets;
        job.vcpus = vcpus;
        job.runSeconds = runSeconds;
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("nameId", id);
        body.put("lane", "preflight-check");
        body.put("crew", site.team);
        body.put("shape", "array");
        body.put("urgency", "standard");
        body.put("sheets", (long) sheets);
        body.put("vcpus", vcpus);
        body.put("cards", 0.0);
        body.put("ramGb", 1.0);
        body.put("frames", null);
        body.put("field", null);
        body.put("oneZone", false);
        body.put("spread", false);
        body.put("loaners", false);
        body.put("kit", "img-01");
        body.put("sizeGb", 0.1);
        body.put("expectS", expectS);
        body.put("markEveryS", 0.0);
        body.put("markCostS", 0.0);
        body.put("dueS", null);
        job.body = body;
        jobs.put(id, job);
        return job;
    }

    Answer submitOnce(String node, Job job) {
        Answer answer = send(node, "POST", "/submissions", Pack.encode(job.body), 5);
        record("user: submits " + job.id + " (" + job.sheets + " tasks) at " + node + ": "
                + answer.status + " " + answer.body);
        return answer;
    }

    /** Submits as the users' page says: again after a second for up to 60 s. */
    boolean submit(Job job) {
        double until = now() + 60;
        for (int i = 0; now() < until; i++) {
            Answer answer = submitOnce(nodes.get(i % nodes.size()), job);
            if (answer.status == 200 || answer.status == 201) {
                return true;
            }
            if (answer.status == 400 || answer.status == 422) {
                return false;
            }
            sleep(1000);
        }
        return false;
    }

    Answer poll(String node, String id) {
        return get(node, "/submissions/" + id, 2);
    }

    /** Polls all controllers in turn until one says that the job is in that state. */
    boolean await(String id, String wanted, double seconds) {
        double until = now() + seconds;
        String last = "";
        while (now() < until) {
            for (String node : nodes) {
                Answer answer = poll(node, id);
                String text = answer.status + " " + answer.body;
                if (!text.equals(last)) {
                    record("user: asks " + node + " about " + id + ": " + text);
                    last = text;
                }
                if (answer.state().equals(wanted)) {
                    return true;
                }
            }
            sleep(1000);
        }
        return false;
    }

    Answer withdrawOnce(String node, String id) {
        Answer answer = send(node, "POST", "/submissions/" + id + "/withdraw", new byte[0], 5);
        record("user: cancels " + id + " at " + node + ": " + answer.status + " " + answer.body);
        return answer;
    }

    boolean withdraw(String id) {
        double until = now() + 60;
        for (int i = 0; now() < until; i++) {
            if (withdrawOnce(nodes.get(i % nodes.size()), id).status == 200) {
                return true;
            }
            sleep(1000);
        }
        return false;
    }

    Answer get(String node, String path, double seconds) {
        return send(node, "GET", path, null, seconds);
    }

    Answer send(String node, String method, String path, byte[] body, double seconds) {
        double asked = now();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + ports.get(node) + path))
                        .timeout(Duration.ofMillis((long) (1000 * seconds)))
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        try {
            HttpResponse<byte[]> response =
                    http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return new Answer(
                    response.statusCode(),
                    path.equals("/metrics") ? Map.of() : Pack.map(response.body()),
                    asked,
                    now(),
                    node);
        } catch (IOException e) {
            return new Answer(0, Map.of(), asked, now(), node);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- what the machines see ------------------------------------------------------------------

    volatile boolean recordsTasks = true;

    /** The limit of the team, 0 for none. */
    volatile double limitCpus;

    private double mostCpus;

    void started(Worker.Task task, Worker worker) {
        Set<String> on = machinesOf.computeIfAbsent(task.sheet, k -> ConcurrentHashMap.newKeySet());
        starts.merge(task.sheet, 1, Integer::sum);
        if (!on.isEmpty()) {
            breakRule("ran_twice: " + task.sheet + " starts on " + worker.host.id
                    + " while it is on " + on);
        }
        on.add(worker.host.id);
        checkLimit();
        if (recordsTasks) {
            record("machine " + worker.host.id + ": " + task.sheet + " try " + task.attempt
                    + " starts");
        }
    }

    private synchronized void checkLimit() {
        double used = usedCpus();
        if (limitCpus > 0 && used > limitCpus + 1e-6 && used > mostCpus) {
            if (mostCpus == 0) {
                breakRule("quota: the team's tasks use " + used + " CPUs of " + limitCpus);
            }
            mostCpus = used;
        }
    }

    void stopped(Worker.Task task, Worker worker, String why) {
        machinesOf.get(task.sheet).remove(worker.host.id);
        if (recordsTasks) {
            record("machine " + worker.host.id + ": " + task.sheet + " try " + task.attempt
                    + " is off: " + why);
        }
    }

    /** How many tasks of the jobs whose ids begin so are on machines. */
    int runningTasks(String job) {
        return (int)
                machinesOf.entrySet().stream()
                        .filter(entry -> entry.getKey().startsWith(job))
                        .filter(entry -> !entry.getValue().isEmpty())
                        .count();
    }

    /** The CPUs of all tasks that are on machines. */
    double usedCpus() {
        double cpus = 0;
        for (Map.Entry<String, Set<String>> entry : machinesOf.entrySet()) {
            String job = entry.getKey().substring(0, entry.getKey().indexOf('/'));
            cpus += entry.getValue().size() * jobs.get(job).vcpus;
        }
        return cpus;
    }

    /** The tasks that are on a machine. */
    List<String> tasksOn(String machine) {
        return machinesOf.entrySet().stream()
                .filter(entry -> entry.getValue().contains(machine))
                .map(Map.Entry::getKey)
                .toList();
    }

    // ---- record and helpers ---------------------------------------------------------------------

    void breakRule(String what) {
        synchronized (broken) {
            broken.add(what);
        }
        record("BROKEN " + what);
    }

    void record(String what) {
        String line = String.format(Locale.ROOT, "%8.3f %s", now(), what);
        synchronized (lines) {
            lines.add(line);
        }
        if (System.getenv("VERBOSE") != null) {
            System.err.println(line);
        }
    }

    /** Ends everything and writes the record. */
    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        try {
            synchronized (lines) {
                Files.write(folder.resolve("record.txt"), lines);
            }
            if (System.getenv("KEEP") != null) {
                System.err.println("kept: " + temporary);
            } else if (Files.exists(temporary)) {
                for (File file : temporary.toFile().listFiles()) {
                    file.delete();
                }
                Files.delete(temporary);
            }
        } catch (IOException e) {
            System.err.println("record not written: " + e);
        }
    }

    static double now() {
        return System.nanoTime() / 1e9 - START;
    }

    static double random(double from, double to) {
        return from + RANDOM.nextDouble() * (to - from);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable run) {
        Thread thread = new Thread(run);
        thread.setDaemon(true);
        return thread;
    }

    static void later(double seconds, Runnable run) {
        TIMERS.schedule(run, (long) (1000 * seconds), TimeUnit.MILLISECONDS);
    }

    static void reply(HttpExchange exchange, int status, Object body) throws IOException {
        byte[] bytes = body == null ? new byte[0] : Pack.encode(body);
        try (exchange) {
            exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) {
                try (OutputStream out = exchange.getResponseBody()) {
                    out.write(bytes);
                }
            }
        }
    }

    /** Whether the disruption is to be left out. */
    static boolean isCalm() {
        return "0".equals(System.getenv("TROUBLE"));
    }

    /** Ends with the script's status: 1 if a rule was broken, 0 if none, 2 if it couldn't run. */
    interface Case {
        void run(Env env) throws Exception;
    }

    static void main(String[] args, Site site, Case body) {
        int status;
        try (Env env = new Env(Path.of(args[0]).toAbsolutePath(), Path.of(args[1]).toAbsolutePath(), site)) {
            daemon(
                            () -> {
                                sleep(1000L * (SECONDS_LIMIT - 4));
                                env.record("out of time");
                                env.close();
                                Runtime.getRuntime().halt(2);
                            })
                    .start();
            try {
                env.prepare();
                body.run(env);
                status = env.broken.isEmpty() ? 0 : 1;
            } catch (Exception e) {
                env.record("could not run: " + e + " " + Arrays.toString(e.getStackTrace()));
                status = 2;
            }
            env.record(status == 1 ? "the rule was broken" : status == 0 ? "the rule held" : "no result");
            env.broken.forEach(System.out::println);
            System.out.println(status == 1 ? "broken" : status == 0 ? "held" : "could not run");
        } catch (IOException e) {
            System.out.println("could not run: " + e);
            status = 2;
        }
        System.exit(status);
    }
}
