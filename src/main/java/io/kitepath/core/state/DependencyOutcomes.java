package io.kitepath.core.state;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.JobDependencies;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out from the records how jobs ended that others wait for. Paced, and those first that block
 * the most urgent work: a new holder may have to ask about all that was ever done for the pipelines
 * that are open.
 */
final class DependencyOutcomes {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyOutcomes.class);

    /** Of the state service's requests. */
    private static final double RATE_SHARE = 0.3;

    private static final int MAX_IN_FLIGHT = 8;

    /** Between two looks for a job that is neither open nor over as yet. */
    private static final double RETRY_SECONDS = 0.5;

    private final Store store;
    private final Timers timers;
    private final JobDependencies dependencies;
    private final TokenBucket requests;
    private final Set<String> inFlight = new HashSet<>();
    private Runnable ready = () -> {};
    private long epoch;
    private boolean waitingForRate;

    DependencyOutcomes(
            ClusterSettings settings, Store store, Timers timers, JobDependencies pipelines) {
        this.store = store;
        this.timers = timers;
        this.dependencies = pipelines;
        this.requests = new TokenBucket(settings.store().requestsPerSecond() * RATE_SHARE);
    }

    /**
     * {@code whenKnown} runs when a job may start, or has to be cancelled, that could not or had
     * not to before.
     */
    void start(Runnable whenKnown) {
        stop();
        ready = whenKnown;
    }

    void stop() {
        epoch++;
        inFlight.clear();
        waitingForRate = false;
    }

    /** Asks what is to be asked. */
    void askForUnknown() {
        if (waitingForRate) {
            return;
        }
        for (String id : dependencies.unknownOutcomes(MAX_IN_FLIGHT - inFlight.size(), inFlight)) {
            if (!requests.tryTake(1, timers.nowSeconds())) {
                waitingForRate = true;
                long e = epoch;
                timers.schedule(
                        requests.secondsUntil(1, timers.nowSeconds()),
                        () -> {
                            if (e == epoch) {
                                waitingForRate = false;
                                askForUnknown();
                            }
                        });
                return;
            }
            ask(id);
        }
    }

    private void ask(String id) {
        inFlight.add(id);
        long e = epoch;
        store.get(
                StoreKeys.ENDED_JOBS + id,
                (outcome, entry) -> {
                    if (e != epoch) {
                        return;
                    }
                    if (outcome == Outcome.OK) {
                        inFlight.remove(id);
                        if (recordOutcome(id, entry.value())) {
                            ready.run();
                        }
                        askForUnknown();
                    } else {
                        // Not over: it is open, and this holder has not heard of it yet; or it
                        // can't be asked now.
                        timers.schedule(
                                outcome == Outcome.REJECTED ? RETRY_SECONDS : RETRY_SECONDS / 2,
                                () -> {
                                    if (e == epoch) {
                                        inFlight.remove(id);
                                        askForUnknown();
                                    }
                                });
                    }
                });
    }

    private boolean recordOutcome(String id, Object record) {
        try {
            DocumentReader document = DocumentReader.of(record);
            // Earlier versions did not put down when.
            dependencies.recordOutcome(
                    id,
                    document.text("status").equals("done"),
                    document.numberOr("endedMs", 0, timers.wallClockMillis()));
            return true;
        } catch (InvalidInputException invalid) {
            LOG.error(
                    "record {} is unreadable: {}", StoreKeys.ENDED_JOBS + id, invalid.getMessage());
            return false;
        }
    }
}
