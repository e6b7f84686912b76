package io.kitepath.core.role;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.state.StoreKeys;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Machines that are given back in one request. From the moment that it is on record nobody places
 * anything on them, neither its holder nor any that follows: the request may have been sent, and
 * may run minutes late.
 */
public final class ReleaseIntent extends CloudIntent {
    public final List<String> machines;
    private final long fencingToken;

    /** The cloud has confirmed that they are gone. */
    private boolean isConfirmedGone;

    ReleaseIntent(String name, List<String> machines, long token) {
        super(StoreKeys.RELEASE_INTENTS + name);
        this.machines = List.copyOf(machines);
        this.fencingToken = token;
    }

    /** Reads a record; throws {@link InvalidInputException} if it is none. */
    static ReleaseIntent read(Entry entry) {
        DocumentReader document = DocumentReader.of(entry.value());
        if (!(document.raw("machines") instanceof List<?> l)
                || !l.stream().allMatch(String.class::isInstance)) {
            throw new InvalidInputException("machines: must be a list of names");
        }
        ReleaseIntent release =
                new ReleaseIntent(
                        entry.key().substring(StoreKeys.RELEASE_INTENTS.length()),
                        l.stream().map(String.class::cast).toList(),
                        document.count("token"));
        release.isConfirmedGone = document.has("gone");
        release.recorded(entry.revision());
        return release;
    }

    @Override
    Map<String, Object> toMap() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("machines", machines);
        m.put("token", fencingToken);
        if (isConfirmedGone) {
            m.put("gone", true);
        }
        return m;
    }

    @Override
    public boolean isSettled() {
        return isConfirmedGone;
    }

    void settle() {
        isConfirmedGone = true;
    }
}
