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
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the leader, who holds the shard of machines, wants of the cloud. The cloud knows no fencing
 * tokens: a request of a node that was replaced may be executed minutes after its successor acted.
 * So every request is on record before it is sent, under the shard's revision. The holder of the
 * role {@code cloud} ({@link CloudIntentExecutor}) sends what is on record and records what came of
 * it. The leader, this one or the next, removes the record when it need not be known any more:
 *
 * <ul>
 *   <li>a rental whose outcome is unknown is sent again under the very same name, for which the
 *       cloud rents nothing twice, and nothing else is rented before it is settled;
 *   <li>a rental whose machines may be missing on the cloud's list names them, so that nothing is
 *       rented again for a need that they meet;
 *   <li>a machine that is being released gets no work, until the cloud has confirmed that it is
 *       gone.
 * </ul>
 *
 * <p>Used on the event loop only.
 */
public final class CloudIntents {
    private static final Logger LOG = LoggerFactory.getLogger(CloudIntents.class);

    private static final int MAX_MACHINES_PER_RENTAL = 50;
    private static final int MAX_MACHINES_PER_RELEASE = 100;

    /** Share of the largest value that the names of one release may take. */
    private static final double MAX_NAMES_SHARE = 0.8;

    /** What a machine's name takes in a record beyond its length, in bytes. */
    private static final int BYTES_AROUND_NAME = 4;

    /** Every list of the cloud shows a machine after this many times the settings' lag. */
    private static final double LISTED_AFTER_LAGS = 2.5;

    /** No record is kept for longer than this many times the settings' lag. */
    private static final double MAX_RECORD_LAGS = 8;

    private final ShardState shard;
    private final ClusterSettings settings;
    private final Timers timers;
    private final Consumer<StateWriter.BatchContributor> writeWithBatch;
    private Consumer<RentalIntent> onRented = rental -> {};
    private Consumer<List<String>> onGone = machines -> {};

    /** By key, the oldest first. */
    private final Map<String, RentalIntent> rentals = new LinkedHashMap<>();

    /** By key, the oldest first. */
    private final Map<String, ReleaseIntent> releases = new LinkedHashMap<>();

    /** The machines of all releases. */
    private final Set<String> releasingMachines = new HashSet<>();

    private String namePrefix = "";
    private int lastNameNumber;
    private long requestedCount;
    private long adoptedCount;

    /** {@code writeWithBatch} has something written along with what the leader writes. */
    public CloudIntents(
            ShardState shard,
            Timers timers,
            Consumer<StateWriter.BatchContributor> writeWithBatch) {
        this.shard = shard;
        this.settings = shard.settings();
        this.timers = timers;
        this.writeWithBatch = writeWithBatch;
    }

    /**
     * This node leads from now on. The names of its requests contain the id of its lease, which the
     * store never gives out again, so that no name is used twice.
     */
    public void startTerm(long leaseId) {
        namePrefix = leaseId + "-";
        lastNameNumber = 0;
        clear();
    }

    private void clear() {
        rentals.clear();
        releases.clear();
        releasingMachines.clear();
    }

    /**
     * Sets the listeners.
     *
     * @param onRented told of each rental when it is settled
     * @param onGone told of machines that are gone for certain
     */
    public void setListeners(Consumer<RentalIntent> onRented, Consumer<List<String>> onGone) {
        this.onRented = onRented;
        this.onGone = onGone;
    }

    /** Takes over what earlier leaders recorded, or this one before it read everything again. */
    public void adopt(List<Entry> records) {
        clear();
        records.forEach(entry -> read(entry).ifPresent(this::adopt));
        adoptedCount += rentals.size() + releases.size();
        if (!rentals.isEmpty() || !releases.isEmpty()) {
            LOG.info(
                    "cloud intents adopted: rentals={} unsettledRentals={} releases={} machines={}",
                    rentals.size(),
                    unsettledRentals().size(),
                    releases.size(),
                    releasingMachines.size());
        }
        releases().stream().filter(ReleaseIntent::isSettled).forEach(this::onReleaseConfirmed);
    }

    private void adopt(CloudIntent intent) {
        if (intent instanceof ReleaseIntent release) {
            releases.put(release.key, release);
            releasingMachines.addAll(release.machines);
            release.machines.forEach(shard::markForRelease);
        } else if (intent instanceof RentalIntent rental) {
            rentals.put(rental.key, rental);
            addToShard(rental);
        }
    }

    /** Empty if the record is unreadable, which is logged. */
    private static Optional<CloudIntent> read(Entry entry) {
        try {
            return Optional.of(CloudIntent.read(entry));
        } catch (InvalidInputException | ClassCastException bad) {
            LOG.error("record {} is unreadable: {}", entry.key(), bad.getMessage());
            return Optional.empty();
        }
    }

    private void addToShard(RentalIntent rental) {
        double now = timers.nowSeconds();
        double ageMillis = Math.max(0, timers.wallClockMillis() - rental.requestedAtMillis());
        double requestedAt = now - ageMillis / 1000;
        for (String machineId : rental.machines()) {
            shard.addRentedMachine(machineId, rental.kind, now, requestedAt);
        }
    }

    /**
     * A record has changed. What this node wrote itself says nothing new, but an outcome does. That
     * may be heard of before the answer to the write that recorded the request, or when that write
     * was repeated since its answer was lost; so it is taken in whatever this node remembers.
     */
    public void onRecordChanged(Entry entry) {
        if (entry.value() == null) {
            onRecordRemoved(entry.key());
        } else {
            read(entry).filter(CloudIntent::isSettled).ifPresent(this::onSettled);
        }
    }

    /** The executor removes the record of a rental of which nothing came. */
    private void onRecordRemoved(String key) {
        RentalIntent rental = rentals.get(key);
        if (rental != null && !rental.isSettled()) {
            rentals.remove(key);
            rental.settle(List.of());
            onRented.accept(rental);
        }
    }

    private void onSettled(CloudIntent intent) {
        if (intent instanceof RentalIntent rental) {
            RentalIntent known = rentals.put(rental.key, rental);
            if (known == null || !known.isSettled()) {
                addToShard(rental);
                onRented.accept(rental);
            }
        } else if (intent instanceof ReleaseIntent release) {
            releases.put(release.key, release);
            onReleaseConfirmed(release);
        }
    }

    // ---- renting --------------------------------------------------------------------------------

    /** Records that so many machines, or as many as one request may ask for, shall be rented. */
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

    /** Rentals whose outcome is not known yet, the oldest first. */
    public List<RentalIntent> unsettledRentals() {
        return rentals.values().stream().filter(rental -> !rental.isSettled()).toList();
    }

    /**
     * Removes the records of rentals whose machines every list of the cloud shows by now; to be
     * called when a list has been read. That the machines have reported is not enough: their
     * workers reported to this leader, and its successor would know of them neither from a
     * heartbeat nor from a list, and rent again. Lists lag by up to twice what the settings say,
     * and may be older than the one before.
     */
    public void dropListedRentals() {
        double nowMillis = timers.wallClockMillis();
        double lagMillis = 1000 * settings.cloud().listLagSeconds();
        for (RentalIntent rental : new ArrayList<>(rentals.values())) {
            double ageMillis = nowMillis - rental.requestedAtMillis();
            // Guards against a record that is kept for ever because a machine was gone before any
            // list showed it.
            boolean isOld = ageMillis > MAX_RECORD_LAGS * lagMillis;
            if (rental.isSettled()
                    && rental.isRecorded()
                    && ageMillis > LISTED_AFTER_LAGS * lagMillis
                    && (isOld || rental.machines().stream().allMatch(this::isListedOrGone))) {
                removeRecord(rental, rentals);
            }
        }
    }

    private boolean isListedOrGone(String machineId) {
        Machine machine = shard.machines().get(machineId);
        return machine == null || machine.isListed();
    }

    // ---- releasing ------------------------------------------------------------------------------

    /** Whether the machine is to be given back, or has been and that is not confirmed. */
    public boolean isReleasing(String machineId) {
        return releasingMachines.contains(machineId);
    }

    /** Records that these machines, or as many as one record can name, shall be given back. */
    public void requestRelease(Collection<String> machines) {
        List<String> batch = new ArrayList<>();
        double bytesLeft = settings.store().maxValueKibibytes() * 1024 * MAX_NAMES_SHARE;
        for (String machineId : machines) {
            bytesLeft -= machineId.length() + BYTES_AROUND_NAME;
            if (batch.size() < MAX_MACHINES_PER_RELEASE
                    && bytesLeft > 0
                    && !releasingMachines.contains(machineId)) {
                batch.add(machineId);
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

    /** Releases that the cloud has not confirmed, the oldest first. */
    public List<ReleaseIntent> releases() {
        return List.copyOf(releases.values());
    }

    /** The cloud has confirmed that the machines, and all that ran on them, are gone. */
    private void onReleaseConfirmed(ReleaseIntent release) {
        releasingMachines.removeAll(release.machines);
        removeRecord(release, releases);
        onGone.accept(release.machines);
    }

    // ---- writing --------------------------------------------------------------------------------

    private <T extends CloudIntent> void writeRecord(T intent, Map<String, T> intents) {
        writeWithBatch.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean isStillWanted() {
                        return intents.get(intent.key) == intent;
                    }

                    @Override
                    public void contributeTo(Transaction transaction) {
                        transaction
                                .requireRevision(intent.key, intent.revision())
                                .put(intent.key, intent.toMap());
                    }

                    @Override
                    public void onCommitted(long revision) {
                        // The later revision of its outcome may have been heard of already.
                        intent.setRevision(Math.max(intent.revision(), revision));
                    }
                });
    }

    private <T extends CloudIntent> void removeRecord(T intent, Map<String, T> intents) {
        intents.remove(intent.key, intent);
        writeWithBatch.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean isUrgent() {
                        return false;
                    }

                    @Override
                    public boolean isStillWanted() {
                        return intent.isRecorded();
                    }

                    @Override
                    public void contributeTo(Transaction transaction) {
                        transaction
                                .requireRevision(intent.key, intent.revision())
                                .remove(intent.key);
                    }

                    @Override
                    public void onCommitted(long revision) {
                        intent.setRevision(0);
                    }
                });
    }

    // ---- for operators --------------------------------------------------------------------------

    /** Rentals and releases that this node requested since it started. */
    public long requestedCount() {
        return requestedCount;
    }

    /** Rentals and releases that this node took over from earlier leaders. */
    public long adoptedCount() {
        return adoptedCount;
    }

    /** Rentals and releases on record now. */
    public int openCount() {
        return rentals.size() + releases.size();
    }

    /** Those of them that the cloud has not settled. */
    public int backlog() {
        return unsettledRentals().size() + releases.size();
    }
}
