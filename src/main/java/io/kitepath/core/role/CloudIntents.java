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
 * The rentals and releases that the leader, which owns the shard of machines, requests from the
 * cloud. The cloud does not check fencing tokens: a request from a node that was replaced may be
 * executed minutes after its successor acted. Therefore every request is recorded under the shard's
 * revision before it is sent. The holder of the role {@code cloud} ({@link CloudIntentExecutor})
 * sends the recorded requests and records their outcomes. The leader, this one or a later one,
 * removes a record when it is no longer needed:
 *
 * <ul>
 *   <li>A rental whose outcome is unknown is sent again under the same name, which the cloud treats
 *       as idempotent. Nothing else is rented before it is settled.
 *   <li>A rental whose machines may still be missing from the cloud's list names them, so that no
 *       further machines are rented for the same demand.
 *   <li>A machine that is being released gets no work until the cloud has confirmed that it is
 *       gone.
 * </ul>
 *
 * <p>Used on the event loop only.
 */
public final class CloudIntents {
    private static final Logger LOG = LoggerFactory.getLogger(CloudIntents.class);

    private static final int MAX_MACHINES_PER_RENTAL = 50;
    private static final int MAX_MACHINES_PER_RELEASE = 100;

    /** Share of the store's maximum value size that the machine names of one release may take. */
    private static final double MAX_NAMES_SHARE_OF_VALUE = 0.8;

    /** Bytes that a machine's name takes in a record in addition to its length. */
    private static final int NAME_OVERHEAD_BYTES = 4;

    /** Multiple of the configured list lag after which every list of the cloud shows a machine. */
    private static final double LISTED_AFTER_LIST_LAGS = 2.5;

    /** Maximum age of a rental record, as a multiple of the configured list lag. */
    private static final double MAX_RECORD_AGE_LIST_LAGS = 8;

    private final ShardState shard;
    private final ClusterSettings settings;
    private final Timers timers;
    private final Consumer<StateWriter.BatchContributor> writeWithBatch;
    private Consumer<RentalIntent> onRentalSettled = rental -> {};
    private Consumer<List<String>> onMachinesGone = machines -> {};

    /** Recorded rentals by key, the oldest first. */
    private final Map<String, RentalIntent> rentals = new LinkedHashMap<>();

    /** Recorded releases by key, the oldest first. */
    private final Map<String, ReleaseIntent> releases = new LinkedHashMap<>();

    /** The machines of all recorded releases. */
    private final Set<String> releasingMachines = new HashSet<>();

    private String namePrefix = "";
    private int lastNameNumber;
    private long requestedCount;
    private long adoptedCount;

    /**
     * Creates an instance without any intents.
     *
     * @param writeWithBatch adds a contributor to the leader's next write batch
     */
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
     * Starts this node's term as leader. The names of its requests contain the id of its lease,
     * which the store never reuses, so that no name is used twice.
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
     * @param onRentalSettled receives each rental when it is settled
     * @param onMachinesGone receives the machines that the cloud has confirmed to be gone
     */
    public void setListeners(
            Consumer<RentalIntent> onRentalSettled, Consumer<List<String>> onMachinesGone) {
        this.onRentalSettled = onRentalSettled;
        this.onMachinesGone = onMachinesGone;
    }

    /**
     * Adopts the intents recorded by earlier leaders, or by this one before it reloaded its state.
     */
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
        pendingReleases().stream()
                .filter(ReleaseIntent::isSettled)
                .forEach(this::onReleaseConfirmed);
    }

    private void adopt(CloudIntent intent) {
        if (intent instanceof ReleaseIntent release) {
            releases.put(release.key, release);
            releasingMachines.addAll(release.machines);
            release.machines.forEach(shard::markForRelease);
        } else if (intent instanceof RentalIntent rental) {
            rentals.put(rental.key, rental);
            addMachinesToShard(rental);
        }
    }

    /** Reads a record; logs an unreadable one and returns empty. */
    private static Optional<CloudIntent> read(Entry entry) {
        try {
            return Optional.of(CloudIntent.read(entry));
        } catch (InvalidInputException | ClassCastException unreadable) {
            LOG.error("record unreadable: key={} reason={}", entry.key(), unreadable.getMessage());
            return Optional.empty();
        }
    }

    private void addMachinesToShard(RentalIntent rental) {
        double now = timers.nowSeconds();
        double ageMillis = Math.max(0, timers.wallClockMillis() - rental.requestedAtMillis());
        double requestedAt = now - ageMillis / 1000;
        for (String machineId : rental.machines()) {
            shard.addRentedMachine(machineId, rental.kind, now, requestedAt);
        }
    }

    /**
     * Processes a changed record. This node's own writes contain nothing new, but outcomes do. An
     * outcome may arrive before the response to the write that recorded the request, or after that
     * write was repeated because its response was lost. Therefore it is processed whether or not
     * this node knows the intent.
     */
    public void onRecordChanged(Entry entry) {
        if (entry.value() == null) {
            onRecordRemoved(entry.key());
        } else {
            read(entry).filter(CloudIntent::isSettled).ifPresent(this::onSettled);
        }
    }

    /** Settles a rental whose record was removed by the executor because nothing was rented. */
    private void onRecordRemoved(String key) {
        RentalIntent rental = rentals.get(key);
        if (rental != null && !rental.isSettled()) {
            rentals.remove(key);
            rental.settle(List.of());
            onRentalSettled.accept(rental);
        }
    }

    private void onSettled(CloudIntent intent) {
        if (intent instanceof RentalIntent rental) {
            RentalIntent previous = rentals.put(rental.key, rental);
            if (previous == null || !previous.isSettled()) {
                addMachinesToShard(rental);
                onRentalSettled.accept(rental);
            }
        } else if (intent instanceof ReleaseIntent release) {
            releases.put(release.key, release);
            onReleaseConfirmed(release);
        }
    }

    // ---- renting --------------------------------------------------------------------------------

    /** Records a rental of {@code count} machines, limited to the maximum of one request. */
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

    /** Returns the rentals whose outcome is not known yet, the oldest first. */
    public List<RentalIntent> unsettledRentals() {
        return rentals.values().stream().filter(rental -> !rental.isSettled()).toList();
    }

    /**
     * Removes the records of rentals whose machines every list of the cloud shows by now. To be
     * called when a list has been read. A heartbeat from the machines is not sufficient: it was
     * received by this leader, and its successor would know of the machines neither from a
     * heartbeat nor from a list, and would rent again. Lists lag by up to twice the configured
     * time, and a list may be older than the one before it.
     */
    public void removeListedRentals() {
        double nowMillis = timers.wallClockMillis();
        double lagMillis = 1000 * settings.cloud().listLagSeconds();
        for (RentalIntent rental : new ArrayList<>(rentals.values())) {
            double ageMillis = nowMillis - rental.requestedAtMillis();
            // Guards against a record that is never removed because a machine was gone before any
            // list showed it.
            boolean isPastMaxAge = ageMillis > MAX_RECORD_AGE_LIST_LAGS * lagMillis;
            if (rental.isSettled()
                    && rental.isRecorded()
                    && ageMillis > LISTED_AFTER_LIST_LAGS * lagMillis
                    && (isPastMaxAge
                            || rental.machines().stream().allMatch(this::isListedOrGone))) {
                removeRecord(rental, rentals);
            }
        }
    }

    private boolean isListedOrGone(String machineId) {
        Machine machine = shard.machines().get(machineId);
        return machine == null || machine.isListed();
    }

    // ---- releasing ------------------------------------------------------------------------------

    /** Whether a release of the machine is recorded that the cloud has not confirmed. */
    public boolean isReleasing(String machineId) {
        return releasingMachines.contains(machineId);
    }

    /** Records a release of these machines, or of as many as one record can name. */
    public void requestRelease(Collection<String> machines) {
        List<String> machinesToRelease = new ArrayList<>();
        double bytesLeft = settings.store().maxValueKibibytes() * 1024 * MAX_NAMES_SHARE_OF_VALUE;
        for (String machineId : machines) {
            bytesLeft -= machineId.length() + NAME_OVERHEAD_BYTES;
            if (machinesToRelease.size() < MAX_MACHINES_PER_RELEASE
                    && bytesLeft > 0
                    && !releasingMachines.contains(machineId)) {
                machinesToRelease.add(machineId);
            }
        }
        if (machinesToRelease.isEmpty()) {
            return;
        }
        ReleaseIntent release =
                new ReleaseIntent(
                        namePrefix + ++lastNameNumber, machinesToRelease, shard.fencingToken());
        releases.put(release.key, release);
        releasingMachines.addAll(machinesToRelease);
        machinesToRelease.forEach(shard::markForRelease);
        requestedCount++;
        writeRecord(release, releases);
    }

    /** Returns the releases whose confirmation has not been processed, the oldest first. */
    public List<ReleaseIntent> pendingReleases() {
        return List.copyOf(releases.values());
    }

    /** Processes the cloud's confirmation that the machines and all work on them are gone. */
    private void onReleaseConfirmed(ReleaseIntent release) {
        releasingMachines.removeAll(release.machines);
        removeRecord(release, releases);
        onMachinesGone.accept(release.machines);
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
                        // The later revision with its outcome may have been received already.
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

    // ---- metrics --------------------------------------------------------------------------------

    /** Returns how many rentals and releases this node requested since it started. */
    public long requestedCount() {
        return requestedCount;
    }

    /** Returns how many recorded rentals and releases this node adopted when it became leader. */
    public long adoptedCount() {
        return adoptedCount;
    }

    /** Returns how many rentals and releases are recorded. */
    public int recordedCount() {
        return rentals.size() + releases.size();
    }

    /** Returns how many recorded rentals and releases the cloud has not settled. */
    public int unsettledCount() {
        return unsettledRentals().size() + releases.size();
    }
}
