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
 * Which node holds which role. A role is work that only one controller may do at a time; its holder
 * is named by a key in the store. All of a node's roles hang on one lease ({@link NodeLease}), and
 * each time that a role is claimed its fencing token rises ({@link RoleClaims}). Each role has its
 * own order of preferred nodes, so that roles are spread: the first of the order claims a free role
 * at once, the others ever later. A role that is held stays where it is, whatever the order says.
 *
 * <p>Holding is proven by this node's own clock ({@link #holds}), so a process that was suspended
 * finds out before it acts. What it sent before it was suspended may still arrive. That is
 * harmless: its writes depend on the revision of a key that is gone, and what it asked of the cloud
 * is on record for the next holder.
 *
 * <p>All methods run on the event loop.
 */
public final class LeasedRoles {
    private static final Logger LOG = LoggerFactory.getLogger(LeasedRoles.class);

    private static final double TICK_SECONDS = 0.25;

    /** Lease times for which a role is left to other nodes after this one first failed at it. */
    private static final double ABSTAIN_LEASES = 5;

    /** How often that time doubles. */
    private static final int MAX_ABSTAIN_DOUBLINGS = 5;

    /** The work of a role. Only called on the event loop. */
    public interface RoleWorker {
        /** The role's name, which is part of its key in the store. */
        String name();

        /** This node holds the role from now on. */
        void onAcquired(RoleLease held);

        /** This node does not hold the role any more, or can't prove that it does. */
        void onLost();

        /**
         * Called several times a second while this node provably holds the role.
         *
         * @param now seconds on the steady clock
         */
        void tick(double now);

        /**
         * Whether the work can be done from this node. If it can't, the role is handed back, and
         * this node abstains from it for a while.
         */
        boolean canPerform(double now);
    }

    /**
     * A role as its holder has it.
     *
     * @param key the role's key: all that is written for the role depends on its {@code revision}
     * @param fencingToken rises with every claim of the role
     * @param isCertain whether the role is provably held, to be asked right before each act
     */
    public record RoleLease(
            String key, long revision, long fencingToken, BooleanSupplier isCertain) {}

    /** One role, as this node sees it. */
    public static final class Role {
        final RoleWorker worker;
        final String key;

        /** This node's place in the role's order of preferred nodes, from 0. */
        final int claimRank;

        String holderNode;
        long fencingToken;

        /** The latest revision at which the key is known to have been there, or absent. */
        long revision;

        boolean isHeldHere;

        /** A claim is scheduled or in flight. */
        boolean isClaiming;

        /** Until when this node leaves the role to others, in seconds on the steady clock. */
        double abstainsUntil;

        private double heldSince;
        private int handBacks;
        private long handOvers;

        private Role(RoleWorker worker, int claimRank) {
            this.worker = worker;
            this.key = keyOf(worker.name());
            this.claimRank = claimRank;
        }

        private static String keyOf(String name) {
            return StoreKeys.ROLES + name;
        }

        /** The role's name, which is the last part of its keys in the store. */
        public String name() {
            return worker.name();
        }

        /** The node that holds it; null if none does, as far as this node knows. */
        public String holderNode() {
            return holderNode;
        }

        /** The token of its last known holder; 0 if there was none. */
        public long fencingToken() {
            return fencingToken;
        }

        /** Whether this node holds it, provably or not. */
        public boolean isHeldHere() {
            return isHeldHere;
        }

        /** The role, its holder and fencing token, and its hand-overs, for the status page. */
        public Map<String, Object> describe() {
            Map<String, Object> description = new LinkedHashMap<>();
            description.put("duty", name());
            description.put("node", holderNode);
            description.put("token", fencingToken);
            description.put("handOvers", handOvers);
            return description;
        }

        /** How often its holder changed since this node started, as far as this node saw. */
        public long handOvers() {
            return handOvers;
        }

        private void recordHolder(String node, long token, double now) {
            if (!node.equals(holderNode) || token != fencingToken) {
                handOvers++;
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

    /** By key. */
    private final Map<String, Role> roles = new LinkedHashMap<>();

    private final NodeLease lease;
    private final RoleKeyWatcher keyWatcher;
    private final RoleClaims claims;
    private long fencedCount;

    /**
     * Claims nothing before {@link #start}.
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
            // Each role prefers another node.
            int preferred = roles.size() + 1;
            int rank = Math.floorMod(nodes.indexOf(settings.node()) - preferred, nodes.size());
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
        settings.peers().stream()
                .filter(sibling -> !sibling.equals(settings.node()))
                .forEach(nodes::add);
        nodes.sort(null);
        return nodes;
    }

    /** Begins to follow who holds which role, and to claim roles that nobody holds. */
    public void start() {
        keyWatcher.read();
        tick();
    }

    /** Gives all roles back and claims none any more, since the node is being stopped. */
    public void stop() {
        keyWatcher.stop();
        loseAll("the node is being stopped");
        lease.stop();
    }

    /** All roles, in the order of their workers. */
    public List<Role> roles() {
        return List.copyOf(roles.values());
    }

    /** How often nothing was done for a role since the lease could not be proven any more. */
    public long fencedCount() {
        return fencedCount;
    }

    /** Whether this node provably holds the role of that name, by its own clock. */
    public boolean holds(String name) {
        Role role = roles.get(Role.keyOf(name));
        if (!role.isHeldHere) {
            return false;
        }
        boolean certain = lease.isCertain();
        fencedCount += certain ? 0 : 1;
        return certain;
    }

    // ---- who holds what -------------------------------------------------------------------------

    /** Follows the keys of the roles. */
    private final class KeyListener implements RoleKeyWatcher.Listener {
        @Override
        public void onKeyAbsent(String key, long revision) {
            Role role = roles.get(key);
            if (revision < role.revision) {
                return; // It has been claimed since.
            }
            role.revision = revision;
            if (role.isHeldHere) {
                lose(role, "its key is gone");
            }
            role.holderNode = null;
            claims.schedule(role);
        }

        @Override
        public void onKeyPresent(Entry entry) {
            Role role = roles.get(entry.key());
            if (entry.revision() < role.revision) {
                return; // Older than what is known.
            }
            try {
                onHolderRead(role, HolderRecord.fromRecord(entry.value()), entry.revision());
            } catch (InvalidInputException invalid) {
                LOG.error("record {} is unreadable: {}", entry.key(), invalid.getMessage());
            }
        }
    }

    private void onHolderRead(Role role, HolderRecord record, long revision) {
        String node = record.node();
        long fencingToken = record.fencingToken();
        if (lease.isGranted() && record.isWrittenBy(incarnation, lease.id())) {
            // Our claim, whose answer may not have arrived.
            onAcquired(role, revision, fencingToken);
            return;
        }
        if (revision == role.revision) {
            return;
        }
        if (role.isHeldHere) {
            lose(role, node + " has it with token " + fencingToken);
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
                "role lost: role={} heldSeconds={} reason: {}",
                role.name(),
                Math.round(timers.nowSeconds() - role.heldSince),
                reason);
        role.worker.onLost();
    }

    // ---- working --------------------------------------------------------------------------------

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
     * Guards against a role that nobody performs because its holder is the one node that the cloud
     * does not answer. Each time that this node can't perform it, it leaves the role to others for
     * longer, so that the role is not passed around during an outage that affects all nodes.
     */
    private void handBack(Role role, double now) {
        int doublings = Math.min(MAX_ABSTAIN_DOUBLINGS, role.handBacks++);
        role.abstainsUntil = now + leaseSeconds * ABSTAIN_LEASES * (1 << doublings);
        long heldRevision = role.revision;
        lose(role, "it can't be performed from here");
        store.commit(
                new Transaction().requireRevision(role.key, heldRevision).remove(role.key),
                result -> {});
    }
}
