package io.kitepath.core.state;

import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.WatchResult;
import io.kitepath.core.port.Timers;
import java.util.function.Consumer;

/**
 * Follows the changes of records under a prefix by long polling, until its epoch is over or the
 * store has forgotten the revision to go on from. Runs on the event loop.
 */
final class RecordWatch {
    private static final double RETRY_SECONDS = 0.3;

    /** What happens beside the handling of each changed record. */
    interface Listener {
        /** The store answered, with or without changes, and all of them are handled. */
        void onAnswer();

        /** Some record has changed, and the watch goes on. */
        void onChanges();

        /** Changes were missed, and the watch ends. */
        void onChangesMissed();
    }

    private final Store store;
    private final Timers timers;
    private final long holdMillis;
    private final Epoch.Token epoch;
    private final Listener listener;

    /**
     * Prepares watches of one epoch.
     *
     * @param holdMillis how long the store may hold a question that there is no answer to
     */
    RecordWatch(Store store, Timers timers, long holdMillis, Epoch.Token epoch, Listener listener) {
        this.store = store;
        this.timers = timers;
        this.holdMillis = holdMillis;
        this.epoch = epoch;
        this.listener = listener;
    }

    /** Hands each record under the prefix that changes after the revision to the handler. */
    void follow(String prefix, long afterRevision, Consumer<Entry> handler) {
        if (epoch.isStale()) {
            return;
        }
        store.watch(
                prefix,
                afterRevision,
                holdMillis,
                changes -> {
                    if (!epoch.isStale()) {
                        onResult(prefix, afterRevision, handler, changes);
                    }
                });
    }

    private void onResult(
            String prefix, long afterRevision, Consumer<Entry> handler, WatchResult changes) {
        if (changes.outcome() == Outcome.OK) {
            changes.events().forEach(handler);
            listener.onAnswer();
            follow(prefix, Math.max(afterRevision, changes.revision()), handler);
            if (!changes.events().isEmpty()) {
                listener.onChanges();
            }
        } else if (changes.outcome() == Outcome.REJECTED) {
            listener.onChangesMissed();
        } else {
            timers.schedule(RETRY_SECONDS, () -> follow(prefix, afterRevision, handler));
        }
    }
}
