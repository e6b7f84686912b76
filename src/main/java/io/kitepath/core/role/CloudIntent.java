package io.kitepath.core.role;

import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.state.StoreKeys;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * A request to the cloud that is on record in the store before it is sent, and until the leader
 * knows what came of it.
 */
public abstract sealed class CloudIntent permits RentalIntent, ReleaseIntent {
    /** Of its record in the store. */
    final String key;

    /** Of its record; 0 while there is none. */
    private long revision;

    CloudIntent(String key) {
        this.key = key;
    }

    /**
     * Reads a record.
     *
     * @throws InvalidInputException if it is none, or of a kind that this version does not know
     */
    static CloudIntent read(Entry entry) {
        if (entry.key().startsWith(StoreKeys.RENTAL_INTENTS)) {
            return RentalIntent.read(entry);
        }
        if (entry.key().startsWith(StoreKeys.RELEASE_INTENTS)) {
            return ReleaseIntent.read(entry);
        }
        throw new InvalidInputException("is not an act that this version knows");
    }

    /** The stored form. */
    abstract Map<String, Object> toMap();

    /** Whether the cloud has said what came of it. */
    public abstract boolean isSettled();

    /** Whether it is settled and nothing came of it, so that no record need be kept. */
    abstract boolean isWithoutResult();

    /**
     * Sends it to the cloud, under the same name each time.
     *
     * @param answer gets OK or REJECTED if that settles it, any other outcome if it has to be sent
     *     again; the second argument then records in this object what came of it
     */
    abstract void sendTo(Cloud cloud, BiConsumer<Outcome, Runnable> answer);

    boolean isRecorded() {
        return revision > 0;
    }

    long revision() {
        return revision;
    }

    /** Its record is of that revision, or there is none if that is 0. */
    void setRevision(long revision) {
        this.revision = revision;
    }
}
