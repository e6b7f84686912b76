package io.kitepath.core.scaling;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StoreKeys;
import java.util.List;
import java.util.Map;

/**
 * Loads the machine types from the record that another node stored, or from the cloud, and
 * refreshes them periodically.
 */
final class MachineTypeLoader {
    private static final double RETRY_SECONDS = 1;

    /** Heartbeat intervals after which the types are fetched again. */
    private static final double REFRESH_HEARTBEAT_INTERVALS = 20;

    private final ShardState shard;
    private final Store store;
    private final Cloud cloud;
    private final Timers timers;
    private final TokenBucket callBucket;
    private final double refreshSeconds;
    private boolean isStored;
    private double lastFetchedAtSeconds = Double.NEGATIVE_INFINITY;

    /**
     * @param callBucket limits the rate of calls to the cloud
     */
    MachineTypeLoader(ShardState shard, CloudReconciler.Ports ports, TokenBucket callBucket) {
        this.shard = shard;
        this.store = ports.store();
        this.cloud = ports.cloud();
        this.timers = ports.timers();
        this.callBucket = callBucket;
        this.refreshSeconds =
                REFRESH_HEARTBEAT_INTERVALS * shard.settings().workers().heartbeatIntervalSeconds();
    }

    /** Loads the types; retries every second until they are known. */
    void load() {
        if (!shard.machineTypes().isEmpty()) {
            return;
        }
        store.get(
                StoreKeys.INSTANCE_TYPES,
                (outcome, entry) -> {
                    if (outcome == Outcome.OK) {
                        applyStoredTypes(entry);
                    } else {
                        fetch();
                        timers.schedule(RETRY_SECONDS, this::load);
                    }
                });
    }

    private void applyStoredTypes(Store.Entry entry) {
        List<MachineType> types =
                DocumentReader.of(entry.value()).children("types").stream()
                        .map(MachineType::fromRecord)
                        .toList();
        if (shard.machineTypes().isEmpty()) {
            shard.setMachineTypes(types);
        }
        isStored = true;
    }

    /** Fetches the types from the cloud if the refresh interval has passed. */
    void refresh(double now) {
        if (now - lastFetchedAtSeconds > refreshSeconds) {
            lastFetchedAtSeconds = now;
            fetch();
        }
    }

    private void fetch() {
        if (!callBucket.tryTake(1, timers.nowSeconds())) {
            return;
        }
        cloud.listMachineTypes(
                (outcome, types) -> {
                    if (outcome == Outcome.OK && !types.isEmpty()) {
                        shard.setMachineTypes(types);
                        lastFetchedAtSeconds = timers.nowSeconds();
                        storeOnce(types);
                    }
                });
    }

    private void storeOnce(List<MachineType> types) {
        if (isStored) {
            return;
        }
        isStored = true;
        List<Map<String, Object>> records = types.stream().map(MachineType::toRecord).toList();
        store.commit(
                new Store.Transaction().put(StoreKeys.INSTANCE_TYPES, Map.of("types", records)),
                result -> {
                    if (result.outcome() != Outcome.OK) {
                        isStored = false;
                    }
                });
    }
}
