package io.kitepath.core.state;

import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.WatchResult;
import io.kitepath.core.port.Timers;
import java.util.function.Consumer;

/**
 * Watches the records under a prefix for changes by long polling, until its epoch ends or the store
 * no longer has the revision to continue from. Runs on the event loop.
 */
final class RecordWatch {
    private static final double RETRY_SECONDS = 0.3;

    /** Receives events in addition to each changed record. */
    interface Listener {
        /** Called after the store responded and all changes, if any, were handled. */
        void onResponse();

        /** Called after at least one record has changed and the watch was continued. */
        void onChanges();

        /** Called when changes were missed; the watch ends. */
        void onChangesMissed();
    }

    private final Store store;
    private final Timers timers;
    private final long holdMillis;
    private final Epoch.Token epoch;
    private final Listener listener;

    /**
     * Creates an instance for the watches of one epoch.
     *
     * @param holdMillis how long the store may hold a request while there are no changes
     */
    RecordWatch(Store store, Timers timers, long holdMillis, Epoch.Token epoch, Listener listener) {
        this.store = store;
        this.timers = timers;
        this.holdMillis = holdMillis;
        this.epoch = epoch;
        this.listener = listener;
    }

    /** Passes each record under the prefix that changes after the revision to the handler. */
    void follow(String prefix, long afterRevision, Consumer<Entry> handler) {
        if (epoch.isStale()) {
            return;
        }
        store.watch(
                prefix,
                afterRevision,
                holdMillis,
                result -> {
                    if (!epoch.isStale()) {
                        onResult(prefix, afterRevision, handler, result);
                    }
                });
    }

    private void onResult(
            String prefix, long afterRevision, Consumer<Entry> handler, WatchResult result) {
        if (result.outcome() == Outcome.OK) {
            result.events().forEach(handler);
            listener.onResponse();
            follow(prefix, Math.max(afterRevision, result.revision()), handler);
            if (!result.events().isEmpty()) {
                listener.onChanges();
            }
        } else if (result.outcome() == Outcome.REJECTED) {
            listener.onChangesMissed();
        } else {
            timers.schedule(RETRY_SECONDS, () -> follow(prefix, afterRevision, handler));
        }
    }
}
