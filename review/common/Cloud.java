import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/** A stand-in of the cloud, by its section of PROTOCOL, with one machine type. */
final class Cloud {
    static final class Host {
        String id;
        String zone;
        boolean spot;
        String status = "running";
        double rentedAt;
        Worker worker;
    }

    final int port;
    final TreeMap<String, Host> hosts = new TreeMap<>();

    /** How many machines of each zone and kind (spot or not) there can be. */
    volatile int capacityPerZone;

    volatile int spotCapacityPerZone;
    volatile double bootSeconds = 2;

    /** When the list of machines was last asked for. */
    volatile double listedAt;

    /** How many rentals were asked for. */
    volatile int rentalsAsked;

    private final Set<String> zonesAsked = ConcurrentHashMap.newKeySet();
    private final Map<String, List<String>> granted = new LinkedHashMap<>();
    private final Env env;
    private final HttpServer server;
    private int count;

    Cloud(Env env) throws IOException {
        this.env = env;
        server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(Env::daemon));
        server.createContext("/", this::serve);
        server.start();
        port = server.getAddress().getPort();
    }

    void close() {
        server.stop(0);
    }

    /** A machine that is rented already, and up. */
    synchronized Host add(String zone, boolean spot) {
        Host host = newHost(zone, spot);
        up(host);
        return host;
    }

    private Host newHost(String zone, boolean spot) {
        Host host = new Host();
        host.id = String.format("i-%06d", ++count);
        host.zone = zone;
        host.spot = spot;
        host.status = "starting";
        host.rentedAt = Env.now();
        hosts.put(host.id, host);
        return host;
    }

    private synchronized void up(Host host) {
        if (hosts.get(host.id) == host) {
            host.status = "running";
            host.worker = new Worker(env, host);
            env.workers.put(host.id, host.worker);
            host.worker.start();
        }
    }

    /** Whether a rental in that zone was ever asked for. */
    boolean rentedIn(String zone) {
        return zonesAsked.contains(zone);
    }

    /** The machine stops with all that is on it; it stays listed as running for 30 s more. */
    void die(Host host) {
        host.worker.end("died");
        Env.later(30, () -> {
            synchronized (this) {
                hosts.remove(host.id);
            }
        });
    }

    private void serve(HttpExchange exchange) throws IOException {
        Map<String, Object> body = Pack.map(exchange.getRequestBody().readAllBytes());
        String path = exchange.getRequestURI().getRawPath();
        Map<String, String> query = StateService.query(exchange.getRequestURI().getRawQuery());
        Env.sleep(100);
        if (path.equals("/machine_types")) {
            Env.reply(exchange, 200, Map.of("frames", List.of(env.frame())));
        } else if (path.equals("/rentals/release")) {
            release(body);
            Env.reply(exchange, 200, Map.of());
        } else if (exchange.getRequestMethod().equals("POST")) {
            List<String> hosts = rent(body);
            if (hosts.isEmpty()) {
                Env.reply(exchange, 503, Map.of("error", "no capacity"));
            } else {
                Env.reply(exchange, 200, Map.of("hosts", hosts));
            }
        } else {
            listedAt = Env.now();
            Env.reply(exchange, 200, list(query));
        }
    }

    private synchronized List<String> rent(Map<String, Object> body) {
        String name = (String) body.get("hire");
        List<String> rented = granted.get(name);
        if (rented != null) {
            return rented;
        }
        String zone = (String) body.get("field");
        boolean spot = (Boolean) body.get("loaners");
        zonesAsked.add(zone);
        rentalsAsked++;
        int asked = ((Number) body.get("count")).intValue();
        rented = new ArrayList<>();
        for (int i = 0; i < Math.min(50, asked); i++) {
            long there =
                    hosts.values().stream()
                            .filter(host -> host.zone.equals(zone) && host.spot == spot)
                            .count();
            if (there >= (spot ? spotCapacityPerZone : capacityPerZone)) {
                break;
            }
            Host host = newHost(zone, spot);
            rented.add(host.id);
            Env.later(bootSeconds, () -> up(host));
        }
        env.record("cloud: rental " + name + " asked " + asked + " in " + zone
                + (spot ? " (spot)" : "") + ", got " + rented);
        if (!rented.isEmpty()) {
            granted.put(name, rented);
        }
        return rented;
    }

    @SuppressWarnings("unchecked")
    private synchronized void release(Map<String, Object> body) {
        List<String> names = (List<String>) body.get("hosts");
        env.record("cloud: returned " + names);
        for (String name : names) {
            Host host = hosts.remove(name);
            if (host != null && host.worker != null) {
                host.worker.end("released");
            }
        }
    }

    private synchronized Map<String, Object> list(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Object> listed = new ArrayList<>();
        boolean isTruncated = false;
        for (Host host : hosts.values()) {
            if (host.id.compareTo(from) <= 0 || Env.now() - host.rentedAt < env.site.listLagSeconds) {
                continue;
            }
            if (listed.size() == limit) {
                isTruncated = true;
                break;
            }
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("nameId", host.id);
            fields.put("addr", host.worker == null ? "127.0.0.1:1" : host.worker.address());
            fields.put("frame", env.site.frame);
            fields.put("field", host.zone);
            fields.put("loaners", host.spot);
            fields.put("status", host.status);
            fields.put("heldS", Env.now() - host.rentedAt);
            listed.add(fields);
        }
        return Map.of("hosts", listed, "truncated", isTruncated);
    }
}
