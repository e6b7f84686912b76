package io.kitepath.core.role;

import io.kitepath.core.leadership.Incarnation;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.PagedScan;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which node has which duty. A node has one lease in the store, on which the keys of all its duties
 * hang; each time that one is taken, the duty's stored token rises. Nodes prefer different duties,
 * so that they are spread; the first in a duty's order takes it at once, the others ever later, and
 * whoever has it keeps it: nothing moves for the order's sake.
 *
 * <p>Holding is proven by this node's own clock ({@link #holds}), from the moment at which the last
 * renewal was asked for: a process that stood still finds out before it acts. What it sent before
 * still arrives; that is harmless, since its writes depend on the revision of a key that is gone,
 * and what it asked of the cloud is on record for its successor.
 */
public final class LeasedRoles {
    private static final Logger LOG = LoggerFactory.getLogger(LeasedRoles.class);

    /** Steady clocks of two machines drift apart by up to half of that. */
    private static final double DRIFT = 0.001;

    private static final double TICK_S = 0.25;

    /** What a duty does while it is held here. */
    public interface RoleWorker {
        /** The duty's name, which is part of its key. */
        String name();

        /** It is held from now on. */
        void begin(RoleLease held);

        /** It is held no more, or not for certain. */
        void end();

        /** Called again and again while it is held for certain. */
        void tick(double now);

        /**
         * Whether this node can do it. One that can't gives it away, and leaves it to others for a
         * while.
         */
        boolean fit(double now);
    }

    /**
     * A duty that is held here.
     *
     * @param key on whose {@code revision} all that is written for the duty depends
     * @param certain whether it is held for certain, to be asked right before each act
     */
    public record RoleLease(String key, long revision, long token, BooleanSupplier certain) {}

    /** One duty, as this node sees it. */
    public static final class RoleHolder {
        private final RoleWorker work;
        private final String key;
        private String holder;
        private long token;
        private long revision;
        private double since;
        private boolean mine;
        private boolean claiming;

        /** Until when it is left to others. */
        private double unfitUntil;

        private int givenAway;
        private long handOvers;

        private RoleHolder(RoleWorker work) {
            this.work = work;
            this.key = StoreKeys.ROLES + work.name();
        }

        public String name() {
            return work.name();
        }

        /** The node that has it, or null. */
        public String holder() {
            return holder;
        }

        public long token() {
            return token;
        }

        public boolean mine() {
            return mine;
        }

        /**
         * For people: the duty, who has it, with which token, and how often it was seen to change
         * hands.
         */
        public Map<String, Object> shown() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("duty", name());
            m.put("node", holder);
            m.put("token", token);
            m.put("handOvers", handOvers);
            return m;
        }

        /** How often it changed hands since this node started, as far as it saw. */
        public long handOvers() {
            return handOvers;
        }
    }

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final Random random;
    private final Incarnation incarnation;
    private final double lifeS;
    private final Map<String, RoleHolder> seats = new LinkedHashMap<>();
    private final List<String> nodes = new ArrayList<>();
    private long lease;
    private boolean granting;
    private double renewedAt = Double.NEGATIVE_INFINITY;
    private boolean retired;
    private long looks;
    private long fenced;

    /** {@code lifeS}: of the lease, in seconds. */
    public LeasedRoles(
            ClusterSettings settings,
            Store store,
            Timers timers,
            Random random,
            Incarnation incarnation,
            double lifeS,
            List<RoleWorker> works) {
        this.settings = settings;
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.incarnation = incarnation;
        this.lifeS = lifeS;
        works.forEach(w -> seats.put(StoreKeys.ROLES + w.name(), new RoleHolder(w)));
        nodes.add(settings.node());
        settings.siblings().stream().filter(s -> !s.equals(settings.node())).forEach(nodes::add);
        nodes.sort(null);
    }

    public void start() {
        look();
        tick();
    }

    /** Gives all duties back at once, and takes none any more: the node is being stopped. */
    public void retire() {
        retired = true;
        lose("the node is being stopped");
        if (lease != 0) {
            store.revokeLease(lease);
            lease = 0;
        }
    }

    public List<RoleHolder> seats() {
        return List.copyOf(seats.values());
    }

    /** How often something was not done because the lease could not be proven any more. */
    public long fenced() {
        return fenced;
    }

    /** Whether the duty of that name is held here for certain. */
    public boolean holds(String name) {
        RoleHolder holder = seats.get(StoreKeys.ROLES + name);
        boolean certain = holder.mine && timers.nowSeconds() - renewedAt < lifeS * (1 - DRIFT);
        fenced += holder.mine && !certain ? 1 : 0;
        return certain;
    }

    // ---- who has what ---------------------------------------------------------------------------

    /**
     * Reads all keys and follows them from there. Only the last look counts: one that was asked for
     * earlier and comes later tells what was, and each would follow on, until no connection is left
     * for other watches.
     */
    private void look() {
        long mine = ++looks;
        if (retired) {
            return;
        }
        PagedScan.read(
                store,
                timers,
                StoreKeys.ROLES,
                3,
                listing -> {
                    if (mine != looks) {
                        return;
                    }
                    if (listing.outcome() != Outcome.OK) {
                        lookLater();
                        return;
                    }
                    Map<String, Entry> there = new LinkedHashMap<>();
                    listing.entries().forEach(entry -> there.put(entry.key(), entry));
                    seats.values()
                            .forEach(
                                    holder -> {
                                        Entry entry = there.get(holder.key);
                                        if (entry == null) {
                                            absent(holder, listing.revision());
                                        } else {
                                            heard(holder, entry);
                                        }
                                    });
                    follow(mine, listing.revision());
                });
    }

    private void lookLater() {
        timers.schedule(lifeS / 4 + random.nextDouble() * 0.3, this::look);
    }

    private void follow(long mine, long from) {
        store.watch(
                StoreKeys.ROLES,
                from,
                (long) (lifeS * 2000),
                changes -> {
                    if (mine != looks || retired) {
                        return;
                    }
                    if (changes.outcome() != Outcome.OK) {
                        lookLater();
                        return;
                    }
                    for (Entry entry : changes.events()) {
                        RoleHolder holder = seats.get(entry.key());
                        if (holder != null && entry.value() == null) {
                            absent(holder, entry.revision());
                        } else if (holder != null) {
                            heard(holder, entry);
                        }
                    }
                    if (changes.events().isEmpty()) {
                        // Nothing said for long: what is not heard of may have been missed in an
                        // outage.
                        look();
                    } else {
                        follow(mine, Math.max(from, changes.revision()));
                    }
                });
    }

    /** The key was not there at that revision. */
    private void absent(RoleHolder holder, long at) {
        if (at < holder.revision) {
            return; // It has been taken since.
        }
        holder.revision = at;
        if (holder.mine) {
            lose(holder, "its key is gone");
        }
        holder.holder = null;
        claimLater(holder);
    }

    private void heard(RoleHolder holder, Entry entry) {
        if (entry.revision() < holder.revision) {
            return; // Older than what is known.
        }
        try {
            DocumentReader document = DocumentReader.of(entry.value());
            String node = document.text("node");
            long token = document.count("token");
            if (lease != 0
                    && document.textOr("life", "").equals(incarnation.processId())
                    && document.count("lease") == lease) {
                // Ours, though we heard no answer when we took it.
                won(holder, entry.revision(), token);
                return;
            }
            if (entry.revision() == holder.revision) {
                return;
            }
            if (holder.mine) {
                lose(holder, node + " has it with token " + token);
            }
            if (incarnation.ownerOf(
                            node, document.numberOr("since", 0, 0), document.textOr("life", ""))
                    == Incarnation.Holder.ABANDONED) {
                store.revokeLease(document.count("lease"));
            }
            took(holder, node, token);
            holder.revision = entry.revision();
        } catch (InvalidInputException invalid) {
            LOG.error("record {} is unreadable: {}", entry.key(), invalid.getMessage());
        }
    }

    private void took(RoleHolder holder, String node, long token) {
        if (!node.equals(holder.holder) || token != holder.token) {
            holder.handOvers++;
            holder.since = timers.nowSeconds();
        }
        holder.holder = node;
        holder.token = token;
    }

    // ---- taking and losing ----------------------------------------------------------------------

    /** This node's place in the duty's order: each duty begins with another node. */
    private int place(RoleHolder holder) {
        int ordinal = new ArrayList<>(seats.keySet()).indexOf(holder.key);
        return Math.floorMod(nodes.indexOf(settings.node()) - ordinal - 1, nodes.size());
    }

    private void claimLater(RoleHolder holder) {
        if (holder.claiming || retired) {
            return;
        }
        holder.claiming = true;
        double unfit = Math.max(0, holder.unfitUntil - timers.nowSeconds());
        timers.schedule(
                place(holder) * lifeS / 16 + unfit + random.nextDouble() * 0.05,
                () -> {
                    if (holder.holder != null || holder.mine || retired) {
                        holder.claiming = false;
                        return;
                    }
                    withLease(() -> claim(holder), () -> holder.claiming = false);
                });
    }

    private void withLease(Runnable then, Runnable orElse) {
        if (lease != 0) {
            then.run();
            return;
        }
        if (granting) {
            timers.schedule(0.05, () -> withLease(then, orElse));
            return;
        }
        granting = true;
        double asked = timers.nowSeconds();
        store.grantLease(
                (long) (lifeS * 1000),
                (outcome, id) -> {
                    granting = false;
                    if (outcome == Outcome.OK) {
                        lease = id;
                        renewedAt = asked;
                        renewLater(id);
                        then.run();
                    } else {
                        orElse.run();
                        lookLater();
                    }
                });
    }

    private void claim(RoleHolder holder) {
        String tokenKey = StoreKeys.ROLE_FENCING_TOKENS + holder.name();
        store.get(
                tokenKey,
                (got, entry) -> {
                    if (got != Outcome.OK && got != Outcome.REJECTED
                            || holder.holder != null
                            || lease == 0) {
                        holder.claiming = false;
                        lookLater();
                        return;
                    }
                    long on = lease;
                    long next =
                            Math.max(
                                            holder.token,
                                            got == Outcome.OK
                                                    ? DocumentReader.of(entry.value())
                                                            .count("token")
                                                    : 0)
                                    + 1;
                    Map<String, Object> key = new LinkedHashMap<>();
                    key.put("node", settings.node());
                    key.put("token", next);
                    key.put("lease", lease);
                    key.put("since", incarnation.startedAtMillis());
                    key.put("life", incarnation.processId());
                    store.commit(
                            new Transaction()
                                    .requireRevision(holder.key, 0)
                                    .requireRevision(tokenKey, got == Outcome.OK ? entry.revision() : 0)
                                    .put(holder.key, key, on)
                                    .put(tokenKey, Map.of("token", next)),
                            result -> {
                                holder.claiming = false;
                                if (result.outcome() == Outcome.OK
                                        && lease == on
                                        && result.revision() >= holder.revision) {
                                    won(holder, result.revision(), next);
                                } else {
                                    // Whoever has it, this node too if the answer was lost, is
                                    // heard of.
                                    timers.schedule(random.nextDouble() * 0.1, this::look);
                                }
                            });
                });
    }

    private void won(RoleHolder holder, long revision, long token) {
        if (holder.mine && holder.revision == revision) {
            return;
        }
        holder.mine = true;
        holder.revision = revision;
        took(holder, settings.node(), token);
        LOG.info("duty {} is done here, with token {}", holder.name(), token);
        holder.work.begin(new RoleLease(holder.key, revision, token, () -> holds(holder.name())));
    }

    private void lose(String why) {
        seats.values().forEach(holder -> lose(holder, why));
    }

    private void lose(RoleHolder holder, String why) {
        if (holder.mine) {
            holder.mine = false;
            holder.holder = null;
            LOG.info(
                    "duty {} is not done here any more, after {} s: {}",
                    holder.name(),
                    Math.round(timers.nowSeconds() - holder.since),
                    why);
            holder.work.end();
        }
    }

    private void renewLater(long id) {
        timers.schedule(
                lifeS / 5,
                () -> {
                    if (lease != id) {
                        return;
                    }
                    double asked = timers.nowSeconds();
                    store.renewLease(
                            id,
                            outcome -> {
                                if (lease != id) {
                                    return;
                                }
                                if (outcome == Outcome.REJECTED) {
                                    lease = 0;
                                    lose("the lease ended");
                                    look();
                                    return;
                                }
                                if (outcome == Outcome.OK) {
                                    renewedAt = asked;
                                }
                                renewLater(id);
                            });
                });
    }

    // ---- doing ----------------------------------------------------------------------------------

    private void tick() {
        double now = timers.nowSeconds();
        for (RoleHolder holder : seats.values()) {
            if (holder.mine && holds(holder.name())) {
                if (holder.work.fit(now)) {
                    holder.work.tick(now);
                } else {
                    giveAway(holder, now);
                }
            }
        }
        if (!retired) {
            timers.schedule(TICK_S, this::tick);
        }
    }

    /**
     * Guards against a duty that nobody does because its holder is the one node that the cloud does
     * not answer. Each time that it proves unfit it leaves the duty to others for longer, so that
     * it does not go round in an outage of all.
     */
    private void giveAway(RoleHolder holder, double now) {
        holder.unfitUntil = now + lifeS * 5 * (1 << Math.min(5, holder.givenAway++));
        long at = holder.revision;
        lose(holder, "it can't be done from here");
        store.commit(new Transaction().requireRevision(holder.key, at).remove(holder.key), result -> {});
    }
}
