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
    private static final double REQUEST_RATE_SHARE = 0.3;

    private static final int MAX_IN_FLIGHT = 8;

    /** Delay between two reads for a job that is neither open nor ended yet. */
    private static final double NOT_ENDED_RETRY_SECONDS = 0.5;

    /** Delay between two reads if the store could not execute the first. */
    private static final double FAILED_READ_RETRY_SECONDS = NOT_ENDED_RETRY_SECONDS / 2;

    private final Store store;
    private final Timers timers;
    private final JobDependencies dependencies;
    private final TokenBucket requestRate;

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
        this.requestRate =
                new TokenBucket(settings.store().requestsPerSecond() * REQUEST_RATE_SHARE);
    }

    /**
     * Starts anew; no request is sent before {@link #readUnknownOutcomes}.
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
    void readUnknownOutcomes() {
        if (waitingForRate) {
            return;
        }
        for (String jobId :
                dependencies.unknownOutcomes(MAX_IN_FLIGHT - inFlight.size(), inFlight)) {
            if (!requestRate.tryTake(1, timers.nowSeconds())) {
                waitForRate();
                return;
            }
            readOutcome(jobId);
        }
    }

    private void waitForRate() {
        waitingForRate = true;
        Epoch.Token token = epoch.current();
        timers.schedule(
                requestRate.secondsUntil(1, timers.nowSeconds()),
                () -> {
                    if (!token.isStale()) {
                        waitingForRate = false;
                        readUnknownOutcomes();
                    }
                });
    }

    private void readOutcome(String jobId) {
        inFlight.add(jobId);
        Epoch.Token token = epoch.current();
        double requestedMillis = timers.wallClockMillis();
        store.get(
                StoreKeys.ENDED_JOBS + jobId,
                (outcome, entry) -> {
                    if (token.isStale()) {
                        return;
                    }
                    if (outcome == Outcome.REJECTED) {
                        dependencies.recordNotEnded(jobId, requestedMillis);
                    }
                    onResponse(token, jobId, outcome, entry);
                });
    }

    private void onResponse(Epoch.Token token, String jobId, Outcome outcome, Entry entry) {
        if (outcome == Outcome.OK) {
            inFlight.remove(jobId);
            if (recordOutcome(jobId, entry.value())) {
                onOutcomeKnown.run();
            }
            readUnknownOutcomes();
            return;
        }
        // Either the job has not ended, so it is open and this leader has not received it yet, or
        // the store could not execute the read.
        timers.schedule(
                outcome == Outcome.REJECTED ? NOT_ENDED_RETRY_SECONDS : FAILED_READ_RETRY_SECONDS,
                () -> {
                    if (!token.isStale()) {
                        inFlight.remove(jobId);
                        readUnknownOutcomes();
                    }
                });
    }

    private boolean recordOutcome(String jobId, Object record) {
        try {
            DocumentReader document = DocumentReader.of(record);
            boolean isDone = EndStatus.fromRecord(document) == EndStatus.DONE;
            // Earlier versions did not write the time when a job ended.
            double endedMillis = document.numberOr("endedMs", 0, timers.wallClockMillis());
            dependencies.recordOutcome(jobId, isDone, endedMillis);
            return true;
        } catch (InvalidInputException invalid) {
            LOG.error(
                    "record unreadable: key={} reason={}",
                    StoreKeys.ENDED_JOBS + jobId,
                    invalid.getMessage());
            return false;
        }
    }
}
