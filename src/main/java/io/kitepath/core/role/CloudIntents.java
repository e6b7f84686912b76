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
    private static final int MAX_MACHINES_PER_RENTAL = 50;

    private static final int MAX_MACHINES_PER_RELEASE = 100;

    private final ShardState shard;
    private final ClusterSettings settings;
    private final Timers timers;
    private final Consumer<StateWriter.BatchContributor> writeWithBatch;
    private Consumer<RentalIntent> onRented = rental -> {};
    private Consumer<List<String>> onGone = m -> {};
    private final Map<String, RentalIntent> rentals = new LinkedHashMap<>();
    private final Map<String, ReleaseIntent> releases = new LinkedHashMap<>();

    /** Machines of the goings. */
    private final Set<String> releasingMachines = new HashSet<>();

    private String namePrefix = "";
    private int lastNameNumber;
    private long requestedCount;
    private long adoptedCount;

    /** {@code ride} has something written along with what the holder writes. */
    public CloudIntents(
            ShardState shard, Timers timers, Consumer<StateWriter.BatchContributor> ride) {
        this.shard = shard;
        this.settings = shard.settings();
        this.timers = timers;
        this.writeWithBatch = ride;
    }

    /**
     * This node holds the machines now; the store never gives out that lease's id again, hence no
     * name twice.
     */
    public void startTerm(long lease) {
        namePrefix = lease + "-";
        lastNameNumber = 0;
        clear();
    }

    private void clear() {
        rentals.clear();
        releases.clear();
        releasingMachines.clear();
    }

    /** Who is told what came of rentals, and which machines are gone for certain. */
    public void setListeners(Consumer<RentalIntent> whenRented, Consumer<List<String>> whenGone) {
        onRented = whenRented;
        onGone = whenGone;
    }

    /** Takes over what earlier holders put down, or this one before it read everything again. */
    public void adopt(List<Entry> records) {
        clear();
        for (Entry entry : records) {
            CloudIntent intent = read(entry);
            if (intent instanceof ReleaseIntent release) {
                releases.put(release.key, release);
                releasingMachines.addAll(release.machines);
                release.machines.forEach(shard::markForRelease);
            } else if (intent instanceof RentalIntent rental) {
                rentals.put(rental.key, rental);
                addToShard(rental);
            }
        }
        adoptedCount += rentals.size() + releases.size();
        if (!rentals.isEmpty() || !releases.isEmpty()) {
            LOG.info(
                    "takes over {} rentals, {} of them not settled, and {} returns of {} machines",
                    rentals.size(),
                    unsettledRentals().size(),
                    releases.size(),
                    releasingMachines.size());
        }
        releases().stream().filter(ReleaseIntent::isSettled).forEach(this::onReleaseConfirmed);
    }

    private static CloudIntent read(Entry entry) {
        try {
            return CloudIntent.read(entry);
        } catch (InvalidInputException | ClassCastException bad) {
            LOG.error("record {} is unreadable: {}", entry.key(), bad.getMessage());
            return null;
        }
    }

    private void addToShard(RentalIntent rental) {
        double now = timers.nowSeconds();
        double since =
                now - Math.max(0, timers.wallClockMillis() - rental.requestedAtMillis()) / 1000;
        rental.machines().forEach(m -> shard.addRentedMachine(m, rental.kind, now, since));
    }

    /**
     * A record has changed: what this node wrote itself says nothing new, what came of it does.
     * That may be heard of before the answer to the write that put it down, or when that write was
     * done once more after nobody had heard its answer; so it is taken in whatever the books say.
     */
    public void onRecordChanged(Entry entry) {
        if (entry.value() == null) {
            RentalIntent asked = rentals.get(entry.key());
            if (asked != null && !asked.isSettled()) {
                rentals.remove(entry.key());
                asked.settle(List.of());
                onRented.accept(asked);
            }
            return;
        }
        CloudIntent intent = read(entry);
        if (intent == null || !intent.isSettled()) {
            return;
        }
        if (intent instanceof RentalIntent rental) {
            RentalIntent asked = rentals.put(rental.key, rental);
            if (asked == null || !asked.isSettled()) {
                addToShard(rental);
                onRented.accept(rental);
            }
        } else if (intent instanceof ReleaseIntent release) {
            releases.put(release.key, release);
            onReleaseConfirmed(release);
        }
    }

    // ---- renting --------------------------------------------------------------------------------

    /** Puts down that so many machines, or as many as one request may ask for, are to be rented. */
    public void requestRental(MachineKind kind, int count) {
        RentalIntent rental =
                new RentalIntent(
                        "r-" + namePrefix + ++lastNameNumber,
                        kind,
                        Math.min(MAX_MACHINES_PER_RENTAL, count),
                        shard.fencingToken(),
                        timers.wallClockMillis());
        rentals.put(rental.key, rental);
        requestedCount++;
        writeRecord(rental, rentals);
    }

    /** Rentals of which nobody knows yet what came of them, the oldest first. */
    public List<RentalIntent> unsettledRentals() {
        return rentals.values().stream().filter(rental -> !rental.isSettled()).toList();
    }

    /**
     * A list of the cloud has been read: rentals whose machines every list shows need no record.
     * That they have reported here does not do: their workers told this holder, and its successor
     * would know of them neither from a report nor from a list, and rent again. Lists lag by up to
     * twice what the settings say, and may be older than the one before.
     */
    public void dropListedRentals() {
        double wallMs = timers.wallClockMillis();
        double lagMs = 1000 * settings.cloud().listLagSeconds();
        for (RentalIntent rental : new ArrayList<>(rentals.values())) {
            double age = wallMs - rental.requestedAtMillis();
            // Guards against a record kept for ever because a machine went before any list showed
            // it.
            boolean old = age > 8 * lagMs;
            if (rental.isSettled()
                    && rental.recorded()
                    && age > 2.5 * lagMs
                    && (old || rental.machines().stream().allMatch(this::isListed))) {
                removeRecord(rental, rentals);
            }
        }
    }

    private boolean isListed(String machine) {
        Machine m = shard.machines().get(machine);
        return m == null || m.isListed();
    }

    // ---- giving back ----------------------------------------------------------------------------

    /** Whether the machine is put down as going. */
    public boolean isReleasing(String machine) {
        return releasingMachines.contains(machine);
    }

    /** Puts down that these machines go; no decision about them is taken back. */
    public void requestRelease(Collection<String> machines) {
        List<String> batch = new ArrayList<>();
        // Bytes of a name with its quotes, in a value of limited size.
        double left = settings.store().maxValueKibibytes() * 1024 * 0.8;
        for (String m : machines) {
            left -= m.length() + 4;
            if (batch.size() < MAX_MACHINES_PER_RELEASE
                    && left > 0
                    && !releasingMachines.contains(m)) {
                batch.add(m);
            }
        }
        if (batch.isEmpty()) {
            return;
        }
        ReleaseIntent release =
                new ReleaseIntent(namePrefix + ++lastNameNumber, batch, shard.fencingToken());
        releases.put(release.key, release);
        releasingMachines.addAll(batch);
        batch.forEach(shard::markForRelease);
        requestedCount++;
        writeRecord(release, releases);
    }

    /** Returns that the cloud has not confirmed, the oldest first. */
    public List<ReleaseIntent> releases() {
        return List.copyOf(releases.values());
    }

    /** The cloud has confirmed it: the machines and all on them are gone. */
    private void onReleaseConfirmed(ReleaseIntent release) {
        releasingMachines.removeAll(release.machines);
        removeRecord(release, releases);
        onGone.accept(release.machines);
    }

    // ---- writing --------------------------------------------------------------------------------

    private <T extends CloudIntent> void writeRecord(T intent, Map<String, T> books) {
        writeWithBatch.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean isStillWanted() {
                        return books.get(intent.key) == intent;
                    }

                    @Override
                    public void contributeTo(Transaction transaction) {
                        transaction
                                .requireRevision(intent.key, intent.revision())
                                .put(intent.key, intent.toMap());
                    }

                    @Override
                    public void onCommitted(long revision) {
                        // Unless what came of it has been heard of already.
                        intent.recorded(Math.max(intent.revision(), revision));
                    }
                });
    }

    private <T extends CloudIntent> void removeRecord(T intent, Map<String, T> books) {
        books.remove(intent.key, intent);
        writeWithBatch.accept(
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
                        transaction
                                .requireRevision(intent.key, intent.revision())
                                .remove(intent.key);
                    }

                    @Override
                    public void onCommitted(long revision) {
                        intent.recorded(0);
                    }
                });
    }

    // ---- for operators --------------------------------------------------------------------------

    /** Acts put down by this node so far, and those that it took over from earlier holders. */
    public long requestedCount() {
        return requestedCount;
    }

    public long adoptedCount() {
        return adoptedCount;
    }

    /** Rentals and returns on the books now, and of them those not settled. */
    public int openCount() {
        return rentals.size() + releases.size();
    }

    public int backlog() {
        return unsettledRentals().size() + releases.size();
    }
}
