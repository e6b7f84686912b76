package io.kitepath.core.state;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.JobDependencies;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads from the records how the jobs ended that other jobs depend on. Requests are limited to a
 * share of the request rate, and outcomes that block the most urgent work are read first: a new
 * leader may have to read the outcome of every job that ever ended in the open pipelines. Runs on
 * the event loop.
 */
final class DependencyOutcomes {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyOutcomes.class);

    /** Share of the state service's request rate. */
    private static final double RATE_SHARE = 0.3;

    private static final int MAX_IN_FLIGHT = 8;

    /** Delay between two reads for a job that is neither open nor ended yet. */
    private static final double NOT_ENDED_RETRY_SECONDS = 0.5;

    /** Delay between two reads if the store could not execute the first. */
    private static final double UNANSWERED_RETRY_SECONDS = NOT_ENDED_RETRY_SECONDS / 2;

    private final Store store;
    private final Timers timers;
    private final JobDependencies dependencies;
    private final TokenBucket requests;

    /** Ids of jobs whose outcome is being read or whose next read is scheduled. */
    private final Set<String> inFlight = new HashSet<>();

    private final Epoch epoch = new Epoch();
    private Runnable onOutcomeKnown = () -> {};
    private boolean waitingForRate;

    DependencyOutcomes(
            ClusterSettings settings, Store store, Timers timers, JobDependencies dependencies) {
        this.store = store;
        this.timers = timers;
        this.dependencies = dependencies;
        this.requests = new TokenBucket(settings.store().requestsPerSecond() * RATE_SHARE);
    }

    /**
     * Starts anew; no request is sent before {@link #askForUnknown}.
     *
     * @param onOutcomeKnown runs when an outcome has become known, after which other jobs may start
     *     or have to be cancelled
     */
    void start(Runnable onOutcomeKnown) {
        stop();
        this.onOutcomeKnown = onOutcomeKnown;
    }

    void stop() {
        epoch.advance();
        inFlight.clear();
        waitingForRate = false;
    }

    /** Reads the outcomes that are not known, as far as the request rate allows. */
    void askForUnknown() {
        if (waitingForRate) {
            return;
        }
        for (String id : dependencies.unknownOutcomes(MAX_IN_FLIGHT - inFlight.size(), inFlight)) {
            if (!requests.tryTake(1, timers.nowSeconds())) {
                waitForRate();
                return;
            }
            ask(id);
        }
    }

    private void waitForRate() {
        waitingForRate = true;
        Epoch.Token token = epoch.current();
        timers.schedule(
                requests.secondsUntil(1, timers.nowSeconds()),
                () -> {
                    if (!token.isStale()) {
                        waitingForRate = false;
                        askForUnknown();
                    }
                });
    }

    private void ask(String id) {
        inFlight.add(id);
        Epoch.Token token = epoch.current();
        store.get(
                StoreKeys.ENDED_JOBS + id,
                (outcome, entry) -> {
                    if (!token.isStale()) {
                        onAnswer(token, id, outcome, entry);
                    }
                });
    }

    private void onAnswer(Epoch.Token token, String id, Outcome outcome, Entry entry) {
        if (outcome == Outcome.OK) {
            inFlight.remove(id);
            if (recordOutcome(id, entry.value())) {
                onOutcomeKnown.run();
            }
            askForUnknown();
            return;
        }
        // Either the job has not ended, so it is open and this leader has not received it yet, or
        // the store could not execute the read.
        timers.schedule(
                outcome == Outcome.REJECTED ? NOT_ENDED_RETRY_SECONDS : UNANSWERED_RETRY_SECONDS,
                () -> {
                    if (!token.isStale()) {
                        inFlight.remove(id);
                        askForUnknown();
                    }
                });
    }

    private boolean recordOutcome(String id, Object record) {
        try {
            DocumentReader document = DocumentReader.of(record);
            boolean done = EndStatus.fromRecord(document) == EndStatus.DONE;
            // Earlier versions did not write the time when a job ended.
            double endedMillis = document.numberOr("endedMs", 0, timers.wallClockMillis());
            dependencies.recordOutcome(id, done, endedMillis);
            return true;
        } catch (InvalidInputException invalid) {
            LOG.error(
                    "record unreadable: key={} reason={}",
                    StoreKeys.ENDED_JOBS + id,
                    invalid.getMessage());
            return false;
        }
    }
}
