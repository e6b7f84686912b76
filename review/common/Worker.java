import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** A stand-in of a machine's worker, by the section "Workers" of PROTOCOL. */
final class Worker {
    static final class Task {
        String sheet;
        long attempt;
        String status = "pulling";
        String cause;
        boolean isOn;
    }

    final Cloud.Host host;
    private final Env env;
    private final HttpServer server;
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long tenure = 1;
    private long tick;
    private long baton;
    private double leaseFrom = Env.now();
    private String node;
    private int nodeIndex;
    private boolean isChanged;
    private double sentAt;
    private volatile boolean isUp = true;

    /** Whether every task that it starts fails; what runs already goes on. */
    volatile boolean isSick;

    /** Whether all that is sent to it is lost: answers to reports, and direct commands. */
    volatile boolean isDeaf;

    Worker(Env env, Cloud.Host host) {
        this.env = env;
        this.host = host;
        this.nodeIndex = Math.floorMod(host.id.hashCode(), env.nodes.size());
        this.node = env.nodes.get(nodeIndex);
        try {
            server =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 16);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        server.setExecutor(Executors.newCachedThreadPool(Env::daemon));
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    boolean isUp() {
        return isUp;
    }

    void start() {
        Env.daemon(this::run).start();
    }

    /** The machine is gone, with everything on it. */
    synchronized void end(String why) {
        if (isUp) {
            isUp = false;
            env.record("machine " + host.id + ": " + why);
            tasks.values().forEach(task -> off(task, why));
            tasks.clear();
            server.stop(0);
            notifyAll();
        }
    }

    private void run() {
        double interval = env.site.reportSeconds * Env.random(0.75, 1.25);
        while (isUp) {
            synchronized (this) {
                while (isUp) {
                    double sinceSent = Env.now() - sentAt;
                    double due = isChanged ? 0.5 : interval;
                    if (sinceSent >= due) {
                        break;
                    }
                    pause(due - sinceSent);
                }
            }
            if (isUp) {
                double wait = report();
                interval = wait < 0 ? env.site.reportSeconds * Env.random(0.75, 1.25) : wait;
            }
        }
    }

    private void pause(double seconds) {
        try {
            wait(Math.max(1, (long) (1000 * seconds)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void checkLease() {
        if (isUp && Env.now() - leaseFrom > env.site.leaseSeconds) {
            if (!tasks.isEmpty()) {
                env.record("machine " + host.id + ": lease ran out, tasks killed");
            }
            tasks.values().forEach(task -> off(task, "lease"));
            tasks.clear();
            tenure++;
            leaseFrom = Env.now();
            isChanged = true;
        }
    }

    private synchronized Map<String, Object> body() {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("host", host.id);
        body.put("addr", address());
        body.put("frame", env.site.frame);
        body.put("field", host.zone);
        body.put("loaners", host.spot);
        body.put("tenure", tenure);
        body.put("tick", ++tick);
        body.put("baton", baton);
        body.put("recallS", null);
        List<Object> sheets = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> sheet = new LinkedHashMap<>();
            sheet.put("sheet", task.sheet);
            sheet.put("try", task.attempt);
            sheet.put("status", task.status);
            if (task.cause != null) {
                sheet.put("cause", task.cause);
            }
            sheets.add(sheet);
        }
        body.put("sheets", sheets);
        return body;
    }

    /** Sends a report; the seconds until the next one, negative for the usual interval. */
    private double report() {
        checkLease();
        byte[] body;
        long session;
        double at = Env.now();
        synchronized (this) {
            isChanged = false;
            sentAt = at;
            session = tenure;
            body = Pack.encode(body());
        }
        HttpResponse<byte[]> response = null;
        try {
            response =
                    http.sendAsync(
                                    HttpRequest.newBuilder(
                                                    URI.create(
                                                            "http://"
                                                                    + env.workerAddress(node)
                                                                    + "/checkin"))
                                            .timeout(Duration.ofSeconds(4))
                                            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                                            .build(),
                                    HttpResponse.BodyHandlers.ofByteArray())
                            .get();
        } catch (Exception e) {
            // No response.
        }
        if (!isUp) {
            return -1;
        }
        if (isDeaf) {
            response = null;
            Env.sleep((long) (1000 * (at + 4 - Env.now())));
        }
        checkLeaseIfDue(session);
        int status = response == null ? 0 : response.statusCode();
        if (status == 200) {
            received(Pack.map(response.body()), session, at);
            return -1;
        }
        String anchor = status == 421 ? (String) Pack.map(response.body()).get("anchor") : null;
        if (anchor != null && !anchor.equals(node) && env.nodes.contains(anchor)) {
            node = anchor;
            return Env.random(0, 0.5) + (Env.now() - at);
        }
        nodeIndex = env.nodes.indexOf(node) + 1;
        node = env.nodes.get(nodeIndex % env.nodes.size());
        return 1 + (Env.now() - at);
    }

    private void checkLeaseIfDue(long session) {
        if (session == tenure) {
            checkLease();
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized void received(Map<String, Object> body, long session, double at) {
        Object token = body.get("baton");
        if (session != tenure
                || Env.now() - at > 4
                || token == null
                || ((Number) token).longValue() < baton) {
            return;
        }
        if (((Number) token).longValue() > baton) {
            baton = ((Number) token).longValue();
            isChanged = true;
        }
        leaseFrom = Math.max(leaseFrom, at);
        Env.later(leaseFrom + env.site.leaseSeconds + 0.01 - Env.now(), this::checkLease);
        execute((List<Object>) body.get("orders"));
    }

    @SuppressWarnings("unchecked")
    private synchronized void execute(List<Object> orders) {
        for (Object item : orders) {
            Map<String, Object> order = (Map<String, Object>) item;
            String sheet = (String) order.get("sheet");
            long attempt = ((Number) order.get("try")).longValue();
            String key = sheet + "#" + attempt;
            Task task = tasks.get(key);
            switch ((String) order.get("verb")) {
                case "launch" -> {
                    if (task == null) {
                        launch(sheet, attempt, key);
                    }
                }
                case "halt" -> {
                    if (task != null && !task.status.equals("ended")) {
                        ended(task, "halted");
                    }
                }
                default -> {
                    if (task != null && task.status.equals("ended")) {
                        tasks.remove(key);
                    }
                }
            }
        }
    }

    private void launch(String sheet, long attempt, String key) {
        Task task = new Task();
        task.sheet = sheet;
        task.attempt = attempt;
        String job = sheet.substring(0, sheet.indexOf('/'));
        Env.Job spec = env.jobs.get(job);
        double used = 0;
        boolean isInUse = false;
        for (Task other : tasks.values()) {
            if (!other.status.equals("ended")) {
                used += env.jobs.get(other.sheet.substring(0, other.sheet.indexOf('/'))).vcpus;
                isInUse |= other.sheet.equals(sheet);
            }
        }
        tasks.put(key, task);
        if (spec == null || isInUse || used + spec.vcpus > env.site.hostCpus + 1e-6) {
            ended(task, spec == null ? "unknown" : isInUse ? "in_use" : "full");
            return;
        }
        long session = tenure;
        Env.later(
                env.imageSeconds,
                () -> {
                    synchronized (this) {
                        if (isUp && tasks.get(key) == task && task.status.equals("pulling")) {
                            task.status = "running";
                            task.isOn = true;
                            isChanged = true;
                            env.started(task, this);
                            if (isSick) {
                                Env.later(0.1, () -> failed(task, key));
                                notifyAll();
                                return;
                            }
                            double run = env.done.contains(sheet) ? 0 : spec.runSeconds;
                            Env.later(run, () -> completed(task, key, session));
                            notifyAll();
                        }
                    }
                });
        isChanged = true;
        notifyAll();
    }

    private synchronized void completed(Task task, String key, long session) {
        if (isUp && tenure == session && tasks.get(key) == task && task.status.equals("running")) {
            env.done.add(task.sheet);
            ended(task, "done");
        }
    }

    private synchronized void failed(Task task, String key) {
        if (isUp && tasks.get(key) == task && task.status.equals("running")) {
            ended(task, "error");
        }
    }

    private void ended(Task task, String cause) {
        off(task, cause);
        task.status = "ended";
        task.cause = cause;
        isChanged = true;
        notifyAll();
    }

    private void off(Task task, String why) {
        if (task.isOn) {
            task.isOn = false;
            env.stopped(task, this, why);
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        if (isDeaf) {
            Env.sleep(60_000);
            exchange.close();
            return;
        }
        int status = 200;
        Map<String, Object> answer;
        synchronized (this) {
            if (exchange.getRequestURI().getPath().equals("/do")) {
                status = direct(Pack.map(bytes));
            }
            answer = body();
        }
        Env.reply(exchange, status, answer);
    }

    @SuppressWarnings("unchecked")
    private int direct(Map<String, Object> request) {
        if (request.get("baton") == null || request.get("tenure") == null) {
            return 400;
        }
        long token = ((Number) request.get("baton")).longValue();
        if (token < baton || ((Number) request.get("tenure")).longValue() != tenure) {
            return 409;
        }
        if (token > baton) {
            baton = token;
            isChanged = true;
        }
        execute((List<Object>) request.get("orders"));
        return 200;
    }
}
