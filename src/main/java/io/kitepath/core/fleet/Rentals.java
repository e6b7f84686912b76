package io.kitepath.core.fleet;

import io.kitepath.core.block.Block;
import io.kitepath.core.model.Bucket;
import io.kitepath.core.model.Facts;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.model.Tree;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.Keys;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The calls to the cloud, within its rate: machine types for every node; the list, rentals and returns for the one that
 * holds the machines. Only the cloud's word that a machine was released proves it gone.
 */
public final class Rentals {
    private static final Logger LOG = LoggerFactory.getLogger(Rentals.class);
    /** Of the cloud's call rate; the rest is for the other nodes. */
    private static final double RATE_SHARE = 0.6;
    private static final int MOST_RENTED = 50;
    private static final int MOST_RELEASED = 100;

    private final Facts facts;
    private final Block block;
    private final Fleet fleet;
    private final Store store;
    private final Cloud cloud;
    private final Timers timers;
    private final BooleanSupplier leading;
    private final Runnable changed;
    private final Bucket calls;
    private final Deque<Rental> unsettled = new ArrayDeque<>();
    private double leadingSince;
    private long lease;
    private int rentals;
    private boolean typesStored;
    private boolean listing;
    private double listedAt = Double.NEGATIVE_INFINITY;
    private double typesAt = Double.NEGATIVE_INFINITY;
    private boolean releasing;
    private boolean renting;
    private double plannedAt = Double.NEGATIVE_INFINITY;

    private record Rental(String name, MachineKind kind, int count) {}

    /**
     * @param leading whether this node holds the machines now
     * @param changed runs when a machine is gone, so that its work may be placed
     */
    public Rentals(Block block, Fleet fleet, Store store, Cloud cloud, Timers timers, BooleanSupplier leading,
            Runnable changed) {
        this.facts = block.facts();
        this.block = block;
        this.fleet = fleet;
        this.store = store;
        this.cloud = cloud;
        this.timers = timers;
        this.leading = leading;
        this.changed = changed;
        this.calls = new Bucket(facts.cloud().rps() * RATE_SHARE);
    }

    /** This node holds the machines now; the store never gives out the lease's id again. */
    public void hold(long newLease) {
        lease = newLease;
        rentals = 0;
        unsettled.clear();
        leadingSince = timers.now();
    }

    // ---- machine types --------------------------------------------------------------------------

    /** Until the machine types are known: from the record of a node that knew them, or from the cloud. */
    public void learnTypes() {
        if (!block.types().isEmpty()) {
            return;
        }
        store.get(Keys.TYPES, (outcome, entry) -> {
            if (outcome == Outcome.OK) {
                List<MachineType> known = new ArrayList<>();
                for (Tree t : Tree.of(entry.value()).children("types")) {
                    known.add(MachineType.fromRecord(t));
                }
                if (block.types().isEmpty()) {
                    block.learn(known);
                }
                typesStored = true;
            } else {
                fetchTypes();
                timers.after(1, this::learnTypes);
            }
        });
    }

    private void fetchTypes() {
        if (!calls.take(1, timers.now())) {
            return;
        }
        cloud.types((outcome, list) -> {
            if (outcome == Outcome.OK && !list.isEmpty()) {
                block.learn(list);
                typesAt = timers.now();
                storeTypes(list);
            }
        });
    }

    private void storeTypes(List<MachineType> list) {
        if (typesStored) {
            return;
        }
        typesStored = true;
        store.commit(new Store.Transaction().put(Keys.TYPES,
                Map.of("types", list.stream().map(MachineType::toRecord).toList())), c -> {
            if (c.outcome() != Outcome.OK) {
                typesStored = false;
            }
        });
    }

    // ---- machines -------------------------------------------------------------------------------

    /** What is due now; {@code mayPlan}: the jobs are known and the store answers. */
    public void tend(boolean mayPlan) {
        double now = timers.now();
        if (!listing && now - listedAt > facts.cloud().listLagS() / 2 && calls.take(1, now)) {
            list();
        }
        if (now - typesAt > 20 * facts.workers().reportS()) {
            typesAt = now;
            fetchTypes();
        }
        if (!mayPlan || block.types().isEmpty() || listedAt < leadingSince) {
            return;
        }
        if (calls.available(now) < 1 || releasing && renting || now - plannedAt < facts.workers().reportS() / 8) {
            return; // Nothing could be done about a plan now, or hardly anything has changed since the last.
        }
        plannedAt = now;
        carryOut(fleet.plan(now, timers.wallMs(), leadingSince), now);
    }

    private void carryOut(Fleet.Plan plan, double now) {
        if (!plan.release().isEmpty() && !releasing && calls.take(1, now)) {
            release(plan.release().subList(0, Math.min(MOST_RELEASED, plan.release().size())));
        }
        if (renting || calls.available(now) < 1) {
            return;
        }
        Rental next = unsettled.poll();
        if (next == null && !plan.rent().isEmpty()) {
            Map.Entry<MachineKind, Integer> e = plan.rent().entrySet().iterator().next();
            // The lease is ours alone, and the store never gives out its id again: so is the name.
            next = new Rental("r-" + lease + "-" + ++rentals, e.getKey(), Math.min(MOST_RENTED, e.getValue()));
        }
        if (next != null && calls.take(1, now)) {
            rent(next);
        }
    }

    private boolean holds(long token) {
        return leading.getAsBoolean() && block.token() == token;
    }

    private void list() {
        listing = true;
        long mine = block.token();
        cloud.list((outcome, list) -> {
            listing = false;
            listedAt = timers.now();
            if (outcome == Outcome.OK && holds(mine)) {
                block.listed(list, timers.now());
            }
        });
    }

    private void release(List<String> machines) {
        releasing = true;
        long mine = block.token();
        cloud.release(machines, outcome -> {
            releasing = false;
            if (outcome == Outcome.OK && holds(mine)) {
                machines.forEach(m -> block.machineGone(m, timers.now()));
                changed.run();
            }
        });
    }

    private void rent(Rental r) {
        renting = true;
        long mine = block.token();
        MachineKind k = r.kind;
        cloud.rent(r.name, k, r.count, (outcome, machines) -> {
            renting = false;
            if (!holds(mine)) {
                return; // Whoever leads now finds the machines in the list.
            }
            switch (outcome) {
                case OK -> {
                    LOG.info("rented {} of {} {} in {}{}", machines.size(), r.count, k.type(), k.zone(),
                            k.spot() ? ", spot" : "");
                    machines.forEach(m -> block.rented(m, k, timers.now()));
                    if (machines.size() < r.count) {
                        fleet.refused(k, timers.now());
                    } else {
                        fleet.granted(k);
                    }
                }
                case NO -> fleet.refused(k, timers.now());
                // The same name again, until it is settled.
                default -> unsettled.add(r);
            }
        });
    }
}
