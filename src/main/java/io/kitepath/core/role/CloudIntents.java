package io.kitepath.core.role;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the block's holder wants of the cloud. The cloud knows no tokens: a request of a node that
 * was replaced may run minutes after its successor acted. So every wish is on record first, under
 * the block's revision; whoever has the duty ({@link CloudIntentExecutor}) asks for what is on
 * record and puts down what came of it; and the holder, this one or the next, strikes it off when
 * it need not be known any more:
 *
 * <ul>
 *   <li>a rental whose outcome is not known is asked for again under the very same name, for which
 *       the cloud rents nothing twice, and nothing else is rented before it is settled;
 *   <li>a rental whose machines may not be on the cloud's list yet says which they are, so that
 *       nothing is rented again for a need that they meet;
 *   <li>a machine that goes takes no work from anybody, until the cloud has confirmed that it is
 *       gone.
 * </ul>
 */
public final class CloudIntents {
    private static final Logger LOG = LoggerFactory.getLogger(CloudIntents.class);

    /** Machines in one request. */
    private static final int MOST_RENTED = 50;

    private static final int MOST_RETURNED = 100;

    private final ShardState shard;
    private final ClusterSettings settings;
    private final Timers timers;
    private final Consumer<StateWriter.BatchContributor> ride;
    private Consumer<RentalIntent> rented = rental -> {};
    private Consumer<List<String>> gone = m -> {};
    private final Map<String, RentalIntent> rentals = new LinkedHashMap<>();
    private final Map<String, ReleaseIntent> goings = new LinkedHashMap<>();

    /** Machines of the goings. */
    private final Set<String> going = new HashSet<>();

    private String names = "";
    private int named;
    private long asked;
    private long takenOver;

    /** {@code ride} has something written along with what the holder writes. */
    public CloudIntents(
            ShardState shard, Timers timers, Consumer<StateWriter.BatchContributor> ride) {
        this.shard = shard;
        this.settings = shard.settings();
        this.timers = timers;
        this.ride = ride;
    }

    /**
     * This node holds the machines now; the store never gives out that lease's id again, hence no
     * name twice.
     */
    public void hold(long lease) {
        names = lease + "-";
        named = 0;
        forget();
    }

    private void forget() {
        rentals.clear();
        goings.clear();
        going.clear();
    }

    /** Who is told what came of rentals, and which machines are gone for certain. */
    public void listeners(Consumer<RentalIntent> whenRented, Consumer<List<String>> whenGone) {
        rented = whenRented;
        gone = whenGone;
    }

    /** Takes over what earlier holders put down, or this one before it read everything again. */
    public void adopt(List<Entry> records) {
        forget();
        for (Entry entry : records) {
            CloudIntent intent = read(entry);
            if (intent instanceof ReleaseIntent release) {
                goings.put(release.key, release);
                going.addAll(release.machines);
                release.machines.forEach(shard::markForRelease);
            } else if (intent instanceof RentalIntent rental) {
                rentals.put(rental.key, rental);
                known(rental);
            }
        }
        takenOver += rentals.size() + goings.size();
        if (!rentals.isEmpty() || !goings.isEmpty()) {
            LOG.info(
                    "takes over {} rentals, {} of them not settled, and {} returns of {} machines",
                    rentals.size(),
                    unsettled().size(),
                    goings.size(),
                    going.size());
        }
        goings().stream().filter(ReleaseIntent::settled).forEach(this::confirmed);
    }

    private static CloudIntent read(Entry entry) {
        try {
            return CloudIntent.read(entry);
        } catch (InvalidInputException | ClassCastException bad) {
            LOG.error("record {} is unreadable: {}", entry.key(), bad.getMessage());
            return null;
        }
    }

    private void known(RentalIntent rental) {
        double now = timers.nowSeconds();
        double since = now - Math.max(0, timers.wallClockMillis() - rental.askedMs()) / 1000;
        rental.machines().forEach(m -> shard.addRentedMachine(m, rental.kind, now, since));
    }

    /**
     * A record has changed: what this node wrote itself says nothing new, what came of it does.
     * That may be heard of before the answer to the write that put it down, or when that write was
     * done once more after nobody had heard its answer; so it is taken in whatever the books say.
     */
    public void changed(Entry entry) {
        if (entry.value() == null) {
            RentalIntent asked = rentals.get(entry.key());
            if (asked != null && !asked.settled()) {
                rentals.remove(entry.key());
                asked.settle(List.of());
                rented.accept(asked);
            }
            return;
        }
        CloudIntent intent = read(entry);
        if (intent == null || !intent.settled()) {
            return;
        }
        if (intent instanceof RentalIntent rental) {
            RentalIntent asked = rentals.put(rental.key, rental);
            if (asked == null || !asked.settled()) {
                known(rental);
                rented.accept(rental);
            }
        } else if (intent instanceof ReleaseIntent release) {
            goings.put(release.key, release);
            confirmed(release);
        }
    }

    // ---- renting --------------------------------------------------------------------------------

    /** Puts down that so many machines, or as many as one request may ask for, are to be rented. */
    public void rent(MachineKind kind, int count) {
        RentalIntent rental =
                new RentalIntent(
                        "r-" + names + ++named,
                        kind,
                        Math.min(MOST_RENTED, count),
                        shard.fencingToken(),
                        timers.wallClockMillis());
        rentals.put(rental.key, rental);
        asked++;
        write(rental, rentals);
    }

    /** Rentals of which nobody knows yet what came of them, the oldest first. */
    public List<RentalIntent> unsettled() {
        return rentals.values().stream().filter(rental -> !rental.settled()).toList();
    }

    /**
     * A list of the cloud has been read: rentals whose machines every list shows need no record.
     * That they have reported here does not do: their workers told this holder, and its successor
     * would know of them neither from a report nor from a list, and rent again. Lists lag by up to
     * twice what the settings say, and may be older than the one before.
     */
    public void listed() {
        double wallMs = timers.wallClockMillis();
        double lagMs = 1000 * settings.cloud().listLagSeconds();
        for (RentalIntent rental : new ArrayList<>(rentals.values())) {
            double age = wallMs - rental.askedMs();
            // Guards against a record kept for ever because a machine went before any list showed
            // it.
            boolean old = age > 8 * lagMs;
            if (rental.settled()
                    && rental.recorded()
                    && age > 2.5 * lagMs
                    && (old || rental.machines().stream().allMatch(this::seen))) {
                drop(rental, rentals);
            }
        }
    }

    private boolean seen(String machine) {
        Machine m = shard.machines().get(machine);
        return m == null || m.isListed();
    }

    // ---- giving back ----------------------------------------------------------------------------

    /** Whether the machine is put down as going. */
    public boolean goes(String machine) {
        return going.contains(machine);
    }

    /** Puts down that these machines go; no decision about them is taken back. */
    public void giveBack(Collection<String> machines) {
        List<String> batch = new ArrayList<>();
        // Bytes of a name with its quotes, in a value of limited size.
        double left = settings.store().maxValueKibibytes() * 1024 * 0.8;
        for (String m : machines) {
            left -= m.length() + 4;
            if (batch.size() < MOST_RETURNED && left > 0 && !going.contains(m)) {
                batch.add(m);
            }
        }
        if (batch.isEmpty()) {
            return;
        }
        ReleaseIntent release = new ReleaseIntent(names + ++named, batch, shard.fencingToken());
        goings.put(release.key, release);
        going.addAll(batch);
        batch.forEach(shard::markForRelease);
        asked++;
        write(release, goings);
    }

    /** Returns that the cloud has not confirmed, the oldest first. */
    public List<ReleaseIntent> goings() {
        return List.copyOf(goings.values());
    }

    /** The cloud has confirmed it: the machines and all on them are gone. */
    private void confirmed(ReleaseIntent release) {
        going.removeAll(release.machines);
        drop(release, goings);
        gone.accept(release.machines);
    }

    // ---- writing --------------------------------------------------------------------------------

    private <T extends CloudIntent> void write(T intent, Map<String, T> books) {
        ride.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean isStillWanted() {
                        return books.get(intent.key) == intent;
                    }

                    @Override
                    public void contributeTo(Transaction transaction) {
                        transaction
                                .requireRevision(intent.key, intent.revision())
                                .put(intent.key, intent.record());
                    }

                    @Override
                    public void onCommitted(long revision) {
                        // Unless what came of it has been heard of already.
                        intent.recorded(Math.max(intent.revision(), revision));
                    }
                });
    }

    private <T extends CloudIntent> void drop(T intent, Map<String, T> books) {
        books.remove(intent.key, intent);
        ride.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean isUrgent() {
                        return false;
                    }

                    @Override
                    public boolean isStillWanted() {
                        return intent.recorded();
                    }

                    @Override
                    public void contributeTo(Transaction transaction) {
                        transaction.requireRevision(intent.key, intent.revision()).remove(intent.key);
                    }

                    @Override
                    public void onCommitted(long revision) {
                        intent.recorded(0);
                    }
                });
    }

    // ---- for operators --------------------------------------------------------------------------

    /** Acts put down by this node so far, and those that it took over from earlier holders. */
    public long asked() {
        return asked;
    }

    public long takenOver() {
        return takenOver;
    }

    /** Rentals and returns on the books now, and of them those not settled. */
    public int open() {
        return rentals.size() + goings.size();
    }

    public int backlog() {
        return unsettled().size() + goings.size();
    }
}
