package io.kitepath.core.role;

import io.kitepath.core.leadership.HolderRecord;
import io.kitepath.core.leadership.Incarnation;
import io.kitepath.core.leadership.Incarnation.RecordOwner;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
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
 * Tracks which node holds which role, and claims free roles for this node. A role is work that only
 * one controller may do at a time; a key in the store names its holder. All roles of a node depend
 * on one lease ({@link NodeLease}), and each claim of a role increments the role's fencing token
 * ({@link RoleClaims}). Each role has its own order of preferred nodes, which spreads the roles
 * over the nodes: the first node in the order claims a free role immediately, each further node
 * after a longer delay. A held role does not move to a node that is preferred over its holder.
 *
 * <p>A node verifies by its own clock that it holds a role ({@link #holds}), so a process that was
 * suspended detects the loss before it acts. Requests that it sent before it was suspended may
 * still arrive. They are harmless: its writes depend on the revision of a key that no longer
 * exists, and its requests to the cloud are recorded for the next holder.
 *
 * <p>All methods run on the event loop.
 */
public final class LeasedRoles {
    private static final Logger LOG = LoggerFactory.getLogger(LeasedRoles.class);

    private static final double TICK_SECONDS = 0.25;

    /** Lease times for which this node abstains from a role after it first failed to perform it. */
    private static final double ABSTENTION_LEASE_TIMES = 5;

    /** Maximum number of times that the abstention time doubles. */
    private static final int MAX_ABSTENTION_DOUBLINGS = 5;

    /** Performs the work of a role. Called on the event loop only. */
    public interface RoleWorker {
        /** Returns the role's name, which is part of its key in the store. */
        String name();

        /** Called when this node has acquired the role. */
        void onAcquired(RoleLease lease);

        /** Called when this node no longer holds the role, or can't prove that it does. */
        void onLost();

        /**
         * Called several times a second while this node provably holds the role.
         *
         * @param now seconds on the steady clock
         */
        void tick(double now);

        /**
         * Whether this node can perform the work. If it can't, the role is handed back, and this
         * node abstains from it for some time.
         *
         * @param now seconds on the steady clock
         */
        boolean canPerform(double now);
    }

    /**
     * The lease of a role, as its holder sees it.
     *
     * @param key the role's key: all writes for the role depend on its {@code revision}
     * @param fencingToken incremented by every claim of the role
     * @param isProvablyHeld whether the role is provably held; to be checked immediately before
     *     each action
     */
    public record RoleLease(
            String key, long revision, long fencingToken, BooleanSupplier isProvablyHeld) {}

    /** One role, as this node sees it. */
    public static final class Role {
        final RoleWorker worker;
        final String key;

        /** This node's position in the role's order of preferred nodes, from 0. */
        final int claimRank;

        String holderNode;
        long fencingToken;

        /** The latest revision at which the key is known to have been present or absent. */
        long revision;

        boolean isHeldHere;

        /** Whether a claim is scheduled or in flight. */
        boolean isClaiming;

        /** Until when this node abstains from the role, in seconds on the steady clock. */
        double abstainUntil;

        /** In seconds on the steady clock. */
        private double heldSince;

        private int handBackCount;
        private long handOverCount;

        private Role(RoleWorker worker, int claimRank) {
            this.worker = worker;
            this.key = keyOf(worker.name());
            this.claimRank = claimRank;
        }

        private static String keyOf(String name) {
            return StoreKeys.ROLES + name;
        }

        /** Returns the role's name, which is the last part of its keys in the store. */
        public String name() {
            return worker.name();
        }

        /**
         * Returns the node that holds the role; null if there is none, as far as this node knows.
         */
        public String holderNode() {
            return holderNode;
        }

        /** Returns the fencing token of the last known holder; 0 if there was none. */
        public long fencingToken() {
            return fencingToken;
        }

        /** Whether this node holds the role, provably or not. */
        public boolean isHeldHere() {
            return isHeldHere;
        }

        /** Returns the role, its holder, fencing token and hand-overs, for the status page. */
        public Map<String, Object> describe() {
            Map<String, Object> description = new LinkedHashMap<>();
            description.put("duty", name());
            description.put("node", holderNode);
            description.put("token", fencingToken);
            description.put("handOvers", handOverCount);
            return description;
        }

        /** Returns how many changes of the holder this node has observed since it started. */
        public long handOverCount() {
            return handOverCount;
        }

        private void recordHolder(String node, long token, double now) {
            if (!node.equals(holderNode) || token != fencingToken) {
                handOverCount++;
                heldSince = now;
            }
            holderNode = node;
            fencingToken = token;
        }
    }

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final Incarnation incarnation;
    private final double leaseSeconds;

    /** Roles by key. */
    private final Map<String, Role> roles = new LinkedHashMap<>();

    private final NodeLease lease;
    private final RoleKeyWatcher keyWatcher;
    private final RoleClaims claims;
    private long fencedCount;

    /**
     * Creates the roles; none is claimed before {@link #start}.
     *
     * @param leaseSeconds time to live of the node's lease
     * @param workers one for each role, in the same order on all nodes
     */
    public LeasedRoles(
            ClusterSettings settings,
            Store store,
            Timers timers,
            Random random,
            Incarnation incarnation,
            double leaseSeconds,
            List<RoleWorker> workers) {
        this.settings = settings;
        this.store = store;
        this.timers = timers;
        this.incarnation = incarnation;
        this.leaseSeconds = leaseSeconds;
        List<String> nodes = sortedNodes(settings);
        for (RoleWorker worker : workers) {
            // Each role prefers a different node.
            int preferredIndex = roles.size() + 1;
            int rank = Math.floorMod(nodes.indexOf(settings.node()) - preferredIndex, nodes.size());
            Role role = new Role(worker, rank);
            roles.put(role.key, role);
        }
        RoleContext context =
                new RoleContext(settings, store, timers, random, incarnation, leaseSeconds);
        this.lease = new NodeLease(context, this::onLeaseExpired);
        this.keyWatcher = new RoleKeyWatcher(context, roles.keySet(), new KeyListener());
        this.claims = new RoleClaims(context, lease, keyWatcher, this::onAcquired);
    }

    private static List<String> sortedNodes(ClusterSettings settings) {
        List<String> nodes = new ArrayList<>();
        nodes.add(settings.node());
        settings.peers().stream().filter(peer -> !peer.equals(settings.node())).forEach(nodes::add);
        nodes.sort(null);
        return nodes;
    }

    /** Starts to track the holders of the roles and to claim free roles. */
    public void start() {
        keyWatcher.read();
        tick();
    }

    /** Gives up all roles and claims no more, because the node is being stopped. */
    public void stop() {
        keyWatcher.stop();
        loseAll("the node is being stopped");
        lease.stop();
    }

    /** Returns all roles, in the order of their workers. */
    public List<Role> roles() {
        return List.copyOf(roles.values());
    }

    /** Returns how often no work was done for a role because the lease was not provably valid. */
    public long fencedCount() {
        return fencedCount;
    }

    /** Whether this node provably holds the role of that name, by its own clock. */
    public boolean holds(String name) {
        Role role = roles.get(Role.keyOf(name));
        if (!role.isHeldHere) {
            return false;
        }
        boolean isValid = lease.isProvablyValid();
        fencedCount += isValid ? 0 : 1;
        return isValid;
    }

    // ---- role holders ---------------------------------------------------------------------------

    /** Processes changes of the roles' keys. */
    private final class KeyListener implements RoleKeyWatcher.Listener {
        @Override
        public void onKeyAbsent(String key, long revision) {
            Role role = roles.get(key);
            if (revision < role.revision) {
                return; // The role has been claimed since.
            }
            role.revision = revision;
            if (role.isHeldHere) {
                lose(role, "its key was removed");
            }
            role.holderNode = null;
            claims.schedule(role);
        }

        @Override
        public void onKeyPresent(Entry entry) {
            Role role = roles.get(entry.key());
            if (entry.revision() < role.revision) {
                return; // Older than the known revision.
            }
            try {
                onHolderRecordRead(role, HolderRecord.fromRecord(entry.value()), entry.revision());
            } catch (InvalidInputException invalid) {
                LOG.error("record unreadable: key={} reason={}", entry.key(), invalid.getMessage());
            }
        }
    }

    private void onHolderRecordRead(Role role, HolderRecord record, long revision) {
        String node = record.node();
        long fencingToken = record.fencingToken();
        if (lease.isGranted() && record.isWrittenBy(incarnation, lease.id())) {
            // This node's claim, whose response may not have arrived.
            onAcquired(role, revision, fencingToken);
            return;
        }
        if (revision == role.revision) {
            return;
        }
        if (role.isHeldHere) {
            lose(role, node + " holds it with fencing token " + fencingToken);
        }
        if (record.owner(incarnation) == RecordOwner.ABANDONED) {
            store.revokeLease(record.leaseId());
        }
        role.recordHolder(node, fencingToken, timers.nowSeconds());
        role.revision = revision;
    }

    // ---- acquiring and losing -------------------------------------------------------------------

    private void onAcquired(Role role, long revision, long fencingToken) {
        if (role.isHeldHere && role.revision == revision) {
            return;
        }
        role.isHeldHere = true;
        role.revision = revision;
        role.recordHolder(settings.node(), fencingToken, timers.nowSeconds());
        LOG.info("role acquired: role={} fencingToken={}", role.name(), fencingToken);
        role.worker.onAcquired(
                new RoleLease(role.key, revision, fencingToken, () -> holds(role.name())));
    }

    private void onLeaseExpired() {
        loseAll("the lease expired");
        keyWatcher.read();
    }

    private void loseAll(String reason) {
        roles.values().forEach(role -> lose(role, reason));
    }

    private void lose(Role role, String reason) {
        if (!role.isHeldHere) {
            return;
        }
        role.isHeldHere = false;
        role.holderNode = null;
        LOG.info(
                "role lost: role={} heldSeconds={} reason={}",
                role.name(),
                Math.round(timers.nowSeconds() - role.heldSince),
                reason);
        role.worker.onLost();
    }

    // ---- role work ------------------------------------------------------------------------------

    private void tick() {
        double now = timers.nowSeconds();
        for (Role role : roles.values()) {
            if (holds(role.name())) {
                if (role.worker.canPerform(now)) {
                    role.worker.tick(now);
                } else {
                    handBack(role, now);
                }
            }
        }
        if (!keyWatcher.isStopped()) {
            timers.schedule(TICK_SECONDS, this::tick);
        }
    }

    /**
     * Hands the role back. Guards against a role that is not performed because its holder is the
     * only node that gets no response from the cloud. Each time, this node abstains from the role
     * for longer, so that the role does not move between nodes during an outage that affects all of
     * them.
     */
    private void handBack(Role role, double now) {
        int doublings = Math.min(MAX_ABSTENTION_DOUBLINGS, role.handBackCount++);
        role.abstainUntil = now + leaseSeconds * ABSTENTION_LEASE_TIMES * (1 << doublings);
        long heldRevision = role.revision;
        lose(role, "this node can't perform it");
        store.commit(
                new Transaction().requireRevision(role.key, heldRevision).remove(role.key),
                result -> {});
    }
}
