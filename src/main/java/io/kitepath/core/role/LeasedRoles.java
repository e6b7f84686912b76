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
    private static final double MAX_CLOCK_DRIFT = 0.001;

    private static final double TICK_SECONDS = 0.25;

    /** What a duty does while it is held here. */
    public interface RoleWorker {
        /** The duty's name, which is part of its key. */
        String name();

        /** It is held from now on. */
        void onAcquired(RoleLease held);

        /** It is held no more, or not for certain. */
        void onLost();

        /** Called again and again while it is held for certain. */
        void tick(double now);

        /**
         * Whether this node can do it. One that can't gives it away, and leaves it to others for a
         * while.
         */
        boolean canPerform(double now);
    }

    /**
     * A duty that is held here.
     *
     * @param key on whose {@code revision} all that is written for the duty depends
     * @param isCertain whether it is held for certain, to be asked right before each act
     */
    public record RoleLease(
            String key, long revision, long fencingToken, BooleanSupplier isCertain) {}

    /** One duty, as this node sees it. */
    public static final class Role {
        private final RoleWorker worker;
        private final String key;
        private String holderNode;
        private long fencingToken;
        private long revision;
        private double heldSince;
        private boolean isHeldHere;
        private boolean isClaiming;

        /** Until when it is left to others. */
        private double abstainsUntil;

        private int handBacks;
        private long handOvers;

        private Role(RoleWorker work) {
            this.worker = work;
            this.key = StoreKeys.ROLES + work.name();
        }

        public String name() {
            return worker.name();
        }

        /** The node that has it, or null. */
        public String holderNode() {
            return holderNode;
        }

        public long fencingToken() {
            return fencingToken;
        }

        public boolean isHeldHere() {
            return isHeldHere;
        }

        /**
         * For people: the duty, who has it, with which token, and how often it was seen to change
         * hands.
         */
        public Map<String, Object> describe() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("duty", name());
            m.put("node", holderNode);
            m.put("token", fencingToken);
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
    private final double leaseSeconds;
    private final Map<String, Role> roles = new LinkedHashMap<>();
    private final List<String> nodes = new ArrayList<>();
    private long leaseId;
    private boolean isGrantInFlight;
    private double renewalRequestedAt = Double.NEGATIVE_INFINITY;
    private boolean isStopped;
    private long currentRead;
    private long fencedCount;

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
        this.leaseSeconds = lifeS;
        works.forEach(worker -> roles.put(StoreKeys.ROLES + worker.name(), new Role(worker)));
        nodes.add(settings.node());
        settings.siblings().stream().filter(s -> !s.equals(settings.node())).forEach(nodes::add);
        nodes.sort(null);
    }

    public void start() {
        readRoleKeys();
        tick();
    }

    /** Gives all duties back at once, and takes none any more: the node is being stopped. */
    public void stop() {
        isStopped = true;
        lose("the node is being stopped");
        if (leaseId != 0) {
            store.revokeLease(leaseId);
            leaseId = 0;
        }
    }

    public List<Role> roles() {
        return List.copyOf(roles.values());
    }

    /** How often something was not done because the lease could not be proven any more. */
    public long fencedCount() {
        return fencedCount;
    }

    /** Whether the duty of that name is held here for certain. */
    public boolean holds(String name) {
        Role role = roles.get(StoreKeys.ROLES + name);
        boolean certain =
                role.isHeldHere
                        && timers.nowSeconds() - renewalRequestedAt
                                < leaseSeconds * (1 - MAX_CLOCK_DRIFT);
        fencedCount += role.isHeldHere && !certain ? 1 : 0;
        return certain;
    }

    // ---- who has what ---------------------------------------------------------------------------

    /**
     * Reads all keys and follows them from there. Only the last look counts: one that was asked for
     * earlier and comes later tells what was, and each would follow on, until no connection is left
     * for other watches.
     */
    private void readRoleKeys() {
        long mine = ++currentRead;
        if (isStopped) {
            return;
        }
        PagedScan.read(
                store,
                timers,
                StoreKeys.ROLES,
                3,
                listing -> {
                    if (mine != currentRead) {
                        return;
                    }
                    if (listing.outcome() != Outcome.OK) {
                        readRoleKeysLater();
                        return;
                    }
                    Map<String, Entry> there = new LinkedHashMap<>();
                    listing.entries().forEach(entry -> there.put(entry.key(), entry));
                    roles.values()
                            .forEach(
                                    role -> {
                                        Entry entry = there.get(role.key);
                                        if (entry == null) {
                                            onKeyAbsent(role, listing.revision());
                                        } else {
                                            onKeyRead(role, entry);
                                        }
                                    });
                    watchRoleKeys(mine, listing.revision());
                });
    }

    private void readRoleKeysLater() {
        timers.schedule(leaseSeconds / 4 + random.nextDouble() * 0.3, this::readRoleKeys);
    }

    private void watchRoleKeys(long mine, long from) {
        store.watch(
                StoreKeys.ROLES,
                from,
                (long) (leaseSeconds * 2000),
                changes -> {
                    if (mine != currentRead || isStopped) {
                        return;
                    }
                    if (changes.outcome() != Outcome.OK) {
                        readRoleKeysLater();
                        return;
                    }
                    for (Entry entry : changes.events()) {
                        Role role = roles.get(entry.key());
                        if (role != null && entry.value() == null) {
                            onKeyAbsent(role, entry.revision());
                        } else if (role != null) {
                            onKeyRead(role, entry);
                        }
                    }
                    if (changes.events().isEmpty()) {
                        // Nothing said for long: what is not heard of may have been missed in an
                        // outage.
                        readRoleKeys();
                    } else {
                        watchRoleKeys(mine, Math.max(from, changes.revision()));
                    }
                });
    }

    /** The key was not there at that revision. */
    private void onKeyAbsent(Role role, long at) {
        if (at < role.revision) {
            return; // It has been taken since.
        }
        role.revision = at;
        if (role.isHeldHere) {
            lose(role, "its key is gone");
        }
        role.holderNode = null;
        scheduleClaim(role);
    }

    private void onKeyRead(Role role, Entry entry) {
        if (entry.revision() < role.revision) {
            return; // Older than what is known.
        }
        try {
            DocumentReader document = DocumentReader.of(entry.value());
            String node = document.text("node");
            long token = document.count("token");
            if (leaseId != 0
                    && document.textOr("life", "").equals(incarnation.processId())
                    && document.count("lease") == leaseId) {
                // Ours, though we heard no answer when we took it.
                onAcquired(role, entry.revision(), token);
                return;
            }
            if (entry.revision() == role.revision) {
                return;
            }
            if (role.isHeldHere) {
                lose(role, node + " has it with token " + token);
            }
            if (incarnation.ownerOf(
                            node, document.numberOr("since", 0, 0), document.textOr("life", ""))
                    == Incarnation.RecordOwner.ABANDONED) {
                store.revokeLease(document.count("lease"));
            }
            recordHolder(role, node, token);
            role.revision = entry.revision();
        } catch (InvalidInputException invalid) {
            LOG.error("record {} is unreadable: {}", entry.key(), invalid.getMessage());
        }
    }

    private void recordHolder(Role role, String node, long token) {
        if (!node.equals(role.holderNode) || token != role.fencingToken) {
            role.handOvers++;
            role.heldSince = timers.nowSeconds();
        }
        role.holderNode = node;
        role.fencingToken = token;
    }

    // ---- taking and losing ----------------------------------------------------------------------

    /** This node's place in the duty's order: each duty begins with another node. */
    private int claimRank(Role role) {
        int ordinal = new ArrayList<>(roles.keySet()).indexOf(role.key);
        return Math.floorMod(nodes.indexOf(settings.node()) - ordinal - 1, nodes.size());
    }

    private void scheduleClaim(Role role) {
        if (role.isClaiming || isStopped) {
            return;
        }
        role.isClaiming = true;
        double unfit = Math.max(0, role.abstainsUntil - timers.nowSeconds());
        timers.schedule(
                claimRank(role) * leaseSeconds / 16 + unfit + random.nextDouble() * 0.05,
                () -> {
                    if (role.holderNode != null || role.isHeldHere || isStopped) {
                        role.isClaiming = false;
                        return;
                    }
                    withLease(() -> claim(role), () -> role.isClaiming = false);
                });
    }

    private void withLease(Runnable then, Runnable orElse) {
        if (leaseId != 0) {
            then.run();
            return;
        }
        if (isGrantInFlight) {
            timers.schedule(0.05, () -> withLease(then, orElse));
            return;
        }
        isGrantInFlight = true;
        double asked = timers.nowSeconds();
        store.grantLease(
                (long) (leaseSeconds * 1000),
                (outcome, id) -> {
                    isGrantInFlight = false;
                    if (outcome == Outcome.OK) {
                        leaseId = id;
                        renewalRequestedAt = asked;
                        scheduleRenewal(id);
                        then.run();
                    } else {
                        orElse.run();
                        readRoleKeysLater();
                    }
                });
    }

    private void claim(Role role) {
        String tokenKey = StoreKeys.ROLE_FENCING_TOKENS + role.name();
        store.get(
                tokenKey,
                (got, entry) -> {
                    if (got != Outcome.OK && got != Outcome.REJECTED
                            || role.holderNode != null
                            || leaseId == 0) {
                        role.isClaiming = false;
                        readRoleKeysLater();
                        return;
                    }
                    long on = leaseId;
                    long next =
                            Math.max(
                                            role.fencingToken,
                                            got == Outcome.OK
                                                    ? DocumentReader.of(entry.value())
                                                            .count("token")
                                                    : 0)
                                    + 1;
                    Map<String, Object> key = new LinkedHashMap<>();
                    key.put("node", settings.node());
                    key.put("token", next);
                    key.put("lease", leaseId);
                    key.put("since", incarnation.startedAtMillis());
                    key.put("life", incarnation.processId());
                    store.commit(
                            new Transaction()
                                    .requireRevision(role.key, 0)
                                    .requireRevision(
                                            tokenKey, got == Outcome.OK ? entry.revision() : 0)
                                    .put(role.key, key, on)
                                    .put(tokenKey, Map.of("token", next)),
                            result -> {
                                role.isClaiming = false;
                                if (result.outcome() == Outcome.OK
                                        && leaseId == on
                                        && result.revision() >= role.revision) {
                                    onAcquired(role, result.revision(), next);
                                } else {
                                    // Whoever has it, this node too if the answer was lost, is
                                    // heard of.
                                    timers.schedule(random.nextDouble() * 0.1, this::readRoleKeys);
                                }
                            });
                });
    }

    private void onAcquired(Role role, long revision, long token) {
        if (role.isHeldHere && role.revision == revision) {
            return;
        }
        role.isHeldHere = true;
        role.revision = revision;
        recordHolder(role, settings.node(), token);
        LOG.info("duty {} is done here, with token {}", role.name(), token);
        role.worker.onAcquired(new RoleLease(role.key, revision, token, () -> holds(role.name())));
    }

    private void lose(String why) {
        roles.values().forEach(role -> lose(role, why));
    }

    private void lose(Role role, String why) {
        if (role.isHeldHere) {
            role.isHeldHere = false;
            role.holderNode = null;
            LOG.info(
                    "duty {} is not done here any more, after {} s: {}",
                    role.name(),
                    Math.round(timers.nowSeconds() - role.heldSince),
                    why);
            role.worker.onLost();
        }
    }

    private void scheduleRenewal(long id) {
        timers.schedule(
                leaseSeconds / 5,
                () -> {
                    if (leaseId != id) {
                        return;
                    }
                    double asked = timers.nowSeconds();
                    store.renewLease(
                            id,
                            outcome -> {
                                if (leaseId != id) {
                                    return;
                                }
                                if (outcome == Outcome.REJECTED) {
                                    leaseId = 0;
                                    lose("the lease ended");
                                    readRoleKeys();
                                    return;
                                }
                                if (outcome == Outcome.OK) {
                                    renewalRequestedAt = asked;
                                }
                                scheduleRenewal(id);
                            });
                });
    }

    // ---- doing ----------------------------------------------------------------------------------

    private void tick() {
        double now = timers.nowSeconds();
        for (Role role : roles.values()) {
            if (role.isHeldHere && holds(role.name())) {
                if (role.worker.canPerform(now)) {
                    role.worker.tick(now);
                } else {
                    handBack(role, now);
                }
            }
        }
        if (!isStopped) {
            timers.schedule(TICK_SECONDS, this::tick);
        }
    }

    /**
     * Guards against a duty that nobody does because its holder is the one node that the cloud does
     * not answer. Each time that it proves unfit it leaves the duty to others for longer, so that
     * it does not go round in an outage of all.
     */
    private void handBack(Role role, double now) {
        role.abstainsUntil = now + leaseSeconds * 5 * (1 << Math.min(5, role.handBacks++));
        long at = role.revision;
        lose(role, "it can't be done from here");
        store.commit(
                new Transaction().requireRevision(role.key, at).remove(role.key), result -> {});
    }
}
