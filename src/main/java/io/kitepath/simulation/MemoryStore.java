package io.kitepath.simulation;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.JsonSize;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Store;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** The state service: keys, leases, follows; can refuse, or lose an answer, or execute late. */
public final class MemoryStore {
    public MemoryStore(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    public final TreeMap<String, Store.Entry> keys = new TreeMap<>();
    public final Map<String, Long> lease = new HashMap<>();
    public final Map<Long, Double> leases = new HashMap<>();
    public final Map<Long, Double> life = new HashMap<>();
    public final List<Store.Entry> log = new ArrayList<>();
    public long revision = 1;
    public long nextLease = 1;
    public boolean out;

    /**
     * Whether it refuses what comes above the settings' rates; it allows bursts of one second's
     * worth.
     */
    public boolean limited;

    public int overRate;
    private TokenBucket requests;
    private TokenBucket writes;

    /** What every request takes longer to get there than usual. */
    public double slowS;

    private final SimulatedCluster cluster;

    /** Watches that wait for changes. */
    private final List<Watch> watches = new ArrayList<>();

    /** Pages asked for, and which of them are refused. */
    public int pages;

    public IntPredicate refusePage = n -> false;

    /** Prefixes under which no page is to be had. */
    public Predicate<String> refusePrefix = p -> false;

    /** The next transactions are executed, but nobody hears of it. */
    public int swallow;

    /** The next transactions get no answer, and are kept to be executed late. */
    public int hold;

    public final List<Store.Transaction> heldBack = new ArrayList<>();

    /**
     * Transactions that get no answer and are kept, as by a network that delivers them some other
     * time.
     */
    public Predicate<Store.Transaction> withheld = transaction -> false;

    /** Transactions that are executed, but nobody hears of it. */
    public Predicate<Store.Transaction> unheard = transaction -> false;

    /**
     * How late a transaction that gets no answer is carried out, after newer ones of the same node;
     * 0: it is not late.
     */
    public ToDoubleFunction<Store.Transaction> late = transaction -> 0;

    /**
     * Nodes whose watches hang: they see nothing, and end without having seen anything, while all
     * else is served.
     */
    public Predicate<EmulatorClient> hangs = client -> false;

    /** Sees every transaction that was executed and changed something, and by whom. */
    public BiConsumer<EmulatorClient, Store.Transaction> written = (client, transaction) -> {};

    public long changes;

    /** Whether a request with so many changes is over the rates; counts it if not. */
    boolean tooMany(int itsWrites) {
        if (!limited) {
            return false;
        }
        if (requests == null) {
            requests = new TokenBucket(cluster.rps);
            writes = new TokenBucket(cluster.writeRps);
        }
        if (writes.available(cluster.clock.now) < itsWrites
                || !requests.tryTake(1, cluster.clock.now)) {
            overRate++;
            return true;
        }
        writes.tryTake(itsWrites, cluster.clock.now);
        return false;
    }

    /** Whether there ever was a record of a job with that id, open or over. */
    boolean everHad(String id) {
        return keys.containsKey(StoreKeys.OPEN_JOBS + id)
                || keys.containsKey(StoreKeys.ENDED_JOBS + id)
                || log.stream()
                        .anyMatch(
                                entry ->
                                        entry.key().equals(StoreKeys.OPEN_JOBS + id)
                                                || entry.key().equals(StoreKeys.ENDED_JOBS + id));
    }

    public long token() {
        Store.Entry entry = keys.get(StoreKeys.FENCING_TOKEN);
        return entry == null ? 0 : DocumentReader.of(entry.value()).count("token");
    }

    public void expire() {
        for (Long id : new ArrayList<>(leases.keySet())) {
            if (!out && leases.get(id) < cluster.clock.now) {
                end(id);
            }
        }
    }

    public void end(long id) {
        leases.remove(id);
        for (String key : new ArrayList<>(lease.keySet())) {
            if (lease.get(key) == id) {
                put(key, null, 0, ++revision);
            }
        }
    }

    public void outage(double seconds) {
        out = true;
        cluster.after(
                seconds,
                () -> {
                    out = false;
                    leases.replaceAll((id, t) -> cluster.clock.now + life.get(id));
                });
    }

    public void put(String key, Object v, long l, long r) {
        Store.Entry entry = new Store.Entry(key, v, r);
        lease.remove(key);
        if (v == null) {
            keys.remove(key);
        } else {
            keys.put(key, entry);
            if (l != 0) {
                lease.put(key, l);
            }
        }
        log.add(entry);
        for (Watch x : watches) {
            x.touched |= key.startsWith(x.prefix);
        }
    }

    /** One that waits for changes under a prefix. */
    private final class Watch {
        private final EmulatorClient node;
        private final String prefix;
        private final long after;
        private final Consumer<Store.WatchResult> answer;
        private boolean touched;

        Watch(EmulatorClient node, String prefix, long after, Consumer<Store.WatchResult> answer) {
            this.node = node;
            this.prefix = prefix;
            this.after = after;
            this.answer = answer;
        }

        /** Looks after some changes; while the store does not serve the node, nothing is seen. */
        private boolean served(boolean last) {
            boolean no = out || node.refused() || hangs.test(node);
            List<Store.Entry> events = new ArrayList<>();
            if (!no && (touched || last)) {
                for (int i = log.size() - 1; i >= 0 && log.get(i).revision() > after; i--) {
                    if (log.get(i).key().startsWith(prefix)) {
                        events.add(0, log.get(i));
                    }
                }
            }
            touched &= no;
            if (events.isEmpty() && !last) {
                return !node.there();
            }
            long r = no ? after : revision;
            node.schedule(
                    0.002, () -> answer.accept(new Store.WatchResult(Store.Outcome.OK, r, events)));
            return true;
        }
    }

    private boolean looking;

    /** Watches are looked through every few milliseconds, as long as there are any. */
    private void look() {
        looking = !watches.isEmpty();
        if (looking) {
            cluster.after(
                    0.01,
                    () -> {
                        expire();
                        watches.removeIf(x -> x.touched && x.served(false));
                        look();
                    });
        }
    }

    public void follow(
            EmulatorClient node,
            String prefix,
            long after,
            double holdS,
            Consumer<Store.WatchResult> answer) {
        Watch x = new Watch(node, prefix, after, answer);
        x.touched = true;
        watches.add(x);
        cluster.after(
                holdS,
                () -> {
                    if (watches.remove(x)) {
                        x.served(true);
                    }
                });
        if (!looking) {
            look();
        }
    }

    /**
     * The limits that it has from now on: bytes of a value, changes of a transaction; none at
     * first.
     */
    public int valueBytes = Integer.MAX_VALUE;

    public int txnOps = Integer.MAX_VALUE;

    /** Transactions that were over them. */
    public int overLimits;

    public Store.CommitResult execute(Store.Transaction transaction) {
        expire();
        if (transaction.writes().size() > txnOps
                || transaction.conditions().size() > 4L * txnOps
                || transaction.writes().stream()
                        .anyMatch(
                                x -> x.value() != null && JsonSize.sizeInBytes(x.value()) > valueBytes)) {
            overLimits++;
            return new Store.CommitResult(Store.Outcome.INVALID, 0, List.of(), false);
        }
        if (transaction.writes().stream()
                .anyMatch(x -> x.leaseId() != 0 && !leases.containsKey(x.leaseId()))) {
            return new Store.CommitResult(Store.Outcome.REJECTED, 0, List.of(), true);
        }
        List<String> failed = new ArrayList<>();
        for (Store.Condition condition : transaction.conditions()) {
            Store.Entry entry = keys.get(condition.key());
            if ((entry == null ? 0 : entry.revision()) != condition.revision()) {
                failed.add(condition.key());
            }
        }
        if (!failed.isEmpty()) {
            return new Store.CommitResult(Store.Outcome.REJECTED, 0, failed, false);
        }
        long r = transaction.writes().isEmpty() ? revision : ++revision;
        transaction.writes().forEach(w -> put(w.key(), w.value(), w.leaseId(), r));
        return new Store.CommitResult(Store.Outcome.OK, r, List.of(), false);
    }
}
