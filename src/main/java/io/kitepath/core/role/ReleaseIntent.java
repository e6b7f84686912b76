package io.kitepath.core.role;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.state.StoreKeys;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * A request to release machines to the cloud. Once it is recorded, no leader, this one or a later
 * one, places work on them: the request may have been sent, and may be executed minutes later.
 */
public final class ReleaseIntent extends CloudIntent {
    public final List<String> machines;
    private final long fencingToken;

    /** Whether the cloud has confirmed that the machines are gone. */
    private boolean isConfirmedGone;

    ReleaseIntent(String name, List<String> machines, long fencingToken) {
        super(StoreKeys.RELEASE_INTENTS + name);
        this.machines = List.copyOf(machines);
        this.fencingToken = fencingToken;
    }

    /**
     * Reads a record.
     *
     * @throws InvalidInputException if the record is not a valid release
     */
    static ReleaseIntent read(Entry entry) {
        DocumentReader document = DocumentReader.of(entry.value());
        if (!(document.raw("machines") instanceof List<?> names)
                || !names.stream().allMatch(String.class::isInstance)) {
            throw new InvalidInputException("machines: must be a list of names");
        }
        ReleaseIntent release =
                new ReleaseIntent(
                        entry.key().substring(StoreKeys.RELEASE_INTENTS.length()),
                        names.stream().map(String.class::cast).toList(),
                        document.count("token"));
        release.isConfirmedGone = document.has("gone");
        release.setRevision(entry.revision());
        return release;
    }

    @Override
    Map<String, Object> toMap() {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("machines", machines);
        record.put("token", fencingToken);
        if (isConfirmedGone) {
            record.put("gone", true);
        }
        return record;
    }

    @Override
    public boolean isSettled() {
        return isConfirmedGone;
    }

    @Override
    boolean isSettledWithoutEffect() {
        return false;
    }

    @Override
    void sendTo(Cloud cloud, BiConsumer<Outcome, Runnable> onResponse) {
        // Only OK from the cloud confirms that the machines are gone.
        cloud.release(
                machines,
                outcome ->
                        onResponse.accept(
                                outcome == Outcome.OK ? outcome : Outcome.NOT_EXECUTED,
                                () -> isConfirmedGone = true));
    }
}
