package io.kitepath.core.role;

import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.state.StoreKeys;
import java.util.Map;

/**
 * An act outside the store that is on record before it is done, and until whoever wanted it knows
 * what came of it.
 */
public abstract class CloudIntent {
    final String key;

    /** Of its record; 0 while there is none. */
    private long revision;

    CloudIntent(String key) {
        this.key = key;
    }

    /** Reads a record; throws {@link InvalidInputException} if it is none. */
    static CloudIntent read(Entry entry) {
        if (entry.key().startsWith(StoreKeys.RENTAL_INTENTS)) {
            return RentalIntent.read(entry);
        }
        if (entry.key().startsWith(StoreKeys.RELEASE_INTENTS)) {
            return ReleaseIntent.read(entry);
        }
        throw new InvalidInputException("is not an act that this version knows");
    }

    abstract Map<String, Object> toMap();

    /** Whether the cloud has said what came of it. */
    public abstract boolean isSettled();

    boolean recorded() {
        return revision > 0;
    }

    long revision() {
        return revision;
    }

    void recorded(long at) {
        revision = at;
    }
}
