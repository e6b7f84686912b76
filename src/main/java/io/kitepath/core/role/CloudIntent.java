package io.kitepath.core.role;

import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.state.StoreKeys;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * A request to the cloud. It is recorded in the store before it is sent, and stays recorded until
 * the leader has processed its outcome.
 */
public abstract sealed class CloudIntent permits RentalIntent, ReleaseIntent {
    /** The key of its record in the store. */
    final String key;

    /** The revision of its record; 0 while there is none. */
    private long revision;

    CloudIntent(String key) {
        this.key = key;
    }

    /**
     * Reads a record.
     *
     * @throws InvalidInputException if the record is invalid, or of a kind that this version does
     *     not know
     */
    static CloudIntent read(Entry entry) {
        if (entry.key().startsWith(StoreKeys.RENTAL_INTENTS)) {
            return RentalIntent.read(entry);
        }
        if (entry.key().startsWith(StoreKeys.RELEASE_INTENTS)) {
            return ReleaseIntent.read(entry);
        }
        throw new InvalidInputException("is not a cloud intent that this version knows");
    }

    /** Returns the value of its record in the store. */
    abstract Map<String, Object> toMap();

    /** Whether its outcome is known: the cloud has executed or rejected it. */
    public abstract boolean isSettled();

    /** Whether it is settled and had no effect, so that its record can be removed. */
    abstract boolean isSettledWithoutEffect();

    /**
     * Sends it to the cloud, under the same name each time.
     *
     * @param onResponse receives OK or REJECTED if the response settles the request, and any other
     *     outcome if the request has to be sent again; the second argument, to be run only when the
     *     request is settled, stores the outcome in this object
     */
    abstract void sendTo(Cloud cloud, BiConsumer<Outcome, Runnable> onResponse);

    boolean isRecorded() {
        return revision > 0;
    }

    long revision() {
        return revision;
    }

    /** Sets the revision of its record; 0 means that there is no record. */
    void setRevision(long revision) {
        this.revision = revision;
    }
}
