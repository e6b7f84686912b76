import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/**
 * A stand-in of the state service, by its section of PROTOCOL: one store, with one listening address
 * for each controller, so that it can refuse a single one.
 */
final class StateService {
    private record Entry(Object value, long stamp, long tether) {}

    private record Event(String key, Object value, long stamp) {}

    private static final class Hold {
        long lifeMillis;
        long endsAt;
    }

    /** A limit of so many a second with a burst of one second's worth. */
    private static final class Bucket {
        private final double rate;
        private double tokens;
        private long at = System.nanoTime();

        Bucket(double rate) {
            this.rate = rate;
            this.tokens = rate;
        }

        boolean take(double count) {
            long now = System.nanoTime();
            tokens = Math.min(rate, tokens + (now - at) / 1e9 * rate);
            at = now;
            if (tokens < count) {
                return false;
            }
            tokens -= count;
            return true;
        }
    }

    final Map<String, Integer> ports = new LinkedHashMap<>();

    /** Controllers that get 503 to everything; "*" is an outage for all. */
    final Set<String> refused = ConcurrentHashMap.newKeySet();

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Event> log = new ArrayList<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final Bucket requests;
    private final Bucket writes;
    private final int valueBytes;
    private final int maxOps;
    private long epoch = 1;
    private long lastHold;
    private volatile boolean isClosed;

    StateService(List<String> nodes, double rps, double writeRps, int valueKb, int maxOps)
            throws IOException {
        this.requests = new Bucket(rps);
        this.writes = new Bucket(writeRps);
        this.valueBytes = valueKb * 1024;
        this.maxOps = maxOps;
        for (String node : nodes) {
            HttpServer server =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
            server.setExecutor(Executors.newCachedThreadPool(Env::daemon));
            server.createContext("/", exchange -> serve(node, exchange));
            server.start();
            servers.add(server);
            ports.put(node, server.getAddress().getPort());
        }
        Env.daemon(this::endHolds).start();
    }

    void close() {
        isClosed = true;
        servers.forEach(server -> server.stop(0));
    }

    private boolean isRefused(String node) {
        return refused.contains(node) || refused.contains("*");
    }

    /** After an outage all holds get their full time again. */
    synchronized void endOutage() {
        refused.remove("*");
        long now = System.nanoTime();
        holds.values().forEach(hold -> hold.endsAt = now + hold.lifeMillis * 1_000_000);
        notifyAll();
    }

    synchronized Object value(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.value;
    }

    synchronized List<String> keys(String prefix) {
        return entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private void endHolds() {
        while (!isClosed) {
            synchronized (this) {
                if (!refused.contains("*")) {
                    long now = System.nanoTime();
                    for (Long id : new ArrayList<>(holds.keySet())) {
                        if (holds.get(id).endsAt < now) {
                            endHold(id);
                        }
                    }
                }
            }
            Env.sleep(20);
        }
    }

    private void endHold(long id) {
        if (holds.remove(id) == null) {
            return;
        }
        List<String> attached =
                entries.entrySet().stream()
                        .filter(entry -> entry.getValue().tether == id)
                        .map(Map.Entry::getKey)
                        .toList();
        if (!attached.isEmpty()) {
            epoch++;
            attached.forEach(this::remove);
            notifyAll();
        }
    }

    private void remove(String key) {
        if (entries.remove(key) != null) {
            log.add(new Event(key, null, epoch));
        }
    }

    private void serve(String node, HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getRawPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        if (path.equals("/follow")) {
            follow(node, query, exchange);
            return;
        }
        Object[] answer = answer(node, exchange.getRequestMethod(), path, query, body);
        if (isRefused(node)) {
            Env.reply(exchange, 503, null);
            return;
        }
        Env.reply(exchange, (int) answer[0], answer[1]);
    }

    static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        if (text != null) {
            for (String part : text.split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized Object[] answer(
            String node, String method, String path, Map<String, String> query, byte[] body) {
        if (isRefused(node)) {
            return new Object[] {503, null};
        }
        if (!requests.take(1)) {
            return new Object[] {429, null};
        }
        if (path.startsWith("/keys/")) {
            String key = path.substring("/keys/".length());
            Entry entry = entries.get(key);
            return entry == null
                    ? new Object[] {404, Map.of("epoch", epoch)}
                    : new Object[] {200, fields(key, entry)};
        }
        if (path.equals("/keys")) {
            return list(query);
        }
        if (path.equals("/multi")) {
            return multi(Pack.map(body));
        }
        if (path.equals("/holds")) {
            Hold hold = new Hold();
            hold.lifeMillis = ((Number) Pack.map(body).get("lifeMs")).longValue();
            hold.endsAt = System.nanoTime() + hold.lifeMillis * 1_000_000;
            holds.put(++lastHold, hold);
            return new Object[] {200, Map.of("tether", lastHold)};
        }
        long id = Long.parseLong(path.split("/")[2]);
        if (method.equals("DELETE")) {
            endHold(id);
            return new Object[] {200, null};
        }
        Hold hold = holds.get(id);
        if (hold == null || hold.endsAt < System.nanoTime()) {
            return new Object[] {404, null};
        }
        hold.endsAt = System.nanoTime() + hold.lifeMillis * 1_000_000;
        return new Object[] {200, null};
    }

    private static Map<String, Object> fields(String key, Entry entry) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("path", key);
        fields.put("value", entry.value);
        fields.put("stamp", entry.stamp);
        if (entry.tether != 0) {
            fields.put("tether", entry.tether);
        }
        return fields;
    }

    private Object[] list(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String from = query.getOrDefault("from", "");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        List<Object> page = new ArrayList<>();
        boolean isTruncated = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> entry : entries.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(from) <= 0 && !from.isEmpty()) {
                continue;
            }
            Map<String, Object> fields = fields(entry.getKey(), entry.getValue());
            bytes += Pack.json(fields).length();
            if (page.size() >= limit || bytes > 512 * 1024) {
                isTruncated = true;
                break;
            }
            page.add(fields);
        }
        return new Object[] {
            200, Map.of("entries", page, "truncated", isTruncated, "epoch", epoch)
        };
    }

    @SuppressWarnings("unchecked")
    private Object[] multi(Map<String, Object> body) {
        List<Object> when = (List<Object>) body.getOrDefault("when", List.of());
        List<Object> then =
                body.get("then") == null ? List.of() : (List<Object>) body.get("then");
        if (then.size() > maxOps
                || when.size() > 4 * maxOps
                || Pack.json(body).length() > 64 * 1024) {
            return new Object[] {400, Map.of("error", "over the limits")};
        }
        for (Object item : then) {
            Map<String, Object> change = (Map<String, Object>) item;
            if (change.get("write") != null && Pack.json(change.get("value")).length() > valueBytes) {
                return new Object[] {400, Map.of("error", "over the limits")};
            }
        }
        if (!then.isEmpty() && !writes.take(then.size())) {
            return new Object[] {429, null};
        }
        for (Object item : then) {
            Map<String, Object> change = (Map<String, Object>) item;
            Object tether = change.get("tether");
            if (tether != null && !holds.containsKey(((Number) tether).longValue())) {
                return new Object[] {400, Map.of("error", "no such lease")};
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Object item : when) {
            Map<String, Object> condition = (Map<String, Object>) item;
            Entry entry = entries.get((String) condition.get("path"));
            if ((entry == null ? 0 : entry.stamp) != ((Number) condition.get("stamp")).longValue()) {
                failed.add(condition.get("path"));
            }
        }
        if (!failed.isEmpty()) {
            return new Object[] {409, Map.of("failed", failed, "epoch", epoch)};
        }
        if (!then.isEmpty()) {
            epoch++;
        }
        for (Object item : then) {
            Map<String, Object> change = (Map<String, Object>) item;
            if (change.get("write") != null) {
                String key = (String) change.get("write");
                Object tether = change.get("tether");
                entries.put(
                        key,
                        new Entry(
                                change.get("value"),
                                epoch,
                                tether == null ? 0 : ((Number) tether).longValue()));
                log.add(new Event(key, change.get("value"), epoch));
            } else {
                remove((String) change.get("remove"));
            }
        }
        notifyAll();
        return new Object[] {200, Map.of("epoch", epoch)};
    }

    private void follow(String node, Map<String, String> query, HttpExchange exchange)
            throws IOException {
        String prefix = query.getOrDefault("prefix", "");
        long from = Long.parseLong(query.getOrDefault("from", "0"));
        long until =
                System.nanoTime() + Long.parseLong(query.getOrDefault("holdMs", "0")) * 1_000_000;
        List<Object> events = new ArrayList<>();
        long at;
        synchronized (this) {
            if (isRefused(node)) {
                at = -503;
            } else if (!requests.take(1)) {
                at = -429;
            } else {
                int seen = firstAfter(from);
                while (true) {
                    // A watch that is open when refusals begin waits as in an outage.
                    if (!isRefused(node)) {
                        for (; seen < log.size(); seen++) {
                            Event event = log.get(seen);
                            if (event.key.startsWith(prefix)) {
                                Map<String, Object> fields = new LinkedHashMap<>();
                                fields.put(event.value == null ? "remove" : "write", event.key);
                                if (event.value != null) {
                                    fields.put("value", event.value);
                                }
                                fields.put("stamp", event.stamp);
                                events.add(fields);
                            }
                        }
                    }
                    long left = (until - System.nanoTime()) / 1_000_000;
                    if (!events.isEmpty() || left <= 0 || isClosed) {
                        break;
                    }
                    try {
                        wait(Math.min(left, 100));
                    } catch (InterruptedException e) {
                        break;
                    }
                }
                // No change after the epoch of this answer is left out of the next watch.
                at = isRefused(node) ? from : epoch;
            }
        }
        if (at < 0) {
            Env.reply(exchange, (int) -at, null);
        } else {
            Env.reply(exchange, 200, Map.of("epoch", at, "events", events));
        }
    }

    private int firstAfter(long from) {
        int low = 0;
        int high = log.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (log.get(middle).stamp <= from) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
