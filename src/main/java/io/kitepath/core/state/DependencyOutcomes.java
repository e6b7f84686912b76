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
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads from the records how the jobs ended that other jobs depend on. Requests are limited to a
 * share of the request rate, and outcomes that block the most urgent work are read first: a new
 * leader may have to read the outcome of every job that ever ended in the open pipelines. While
 * many are missing, a request reads a range of records, as the jobs of a pipeline often have ids
 * close to each other. Runs on the event loop.
 */
final class DependencyOutcomes {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyOutcomes.class);

    /** Share of the state service's request rate. */
    private static final double REQUEST_RATE_SHARE = 0.3;

    private static final int MAX_IN_FLIGHT = 8;

    /** With more unknown outcomes than this, ranges are read. */
    private static final int MAX_UNKNOWN_FOR_SINGLE_READS = 8 * MAX_IN_FLIGHT;

    /** Number of records in a range: a fraction of what the store returns at once. */
    private static final int RANGE_RECORDS = 100;

    /** Delay after a read for a job that is neither open here nor ended. */
    private static final double NOT_ENDED_RETRY_SECONDS = 0.5;

    /** Delay between two reads if the store could not execute the first. */
    private static final double FAILED_READ_RETRY_SECONDS = NOT_ENDED_RETRY_SECONDS / 2;

    /** Sorts after all characters of job ids. */
    private static final char LAST_KEY_CHARACTER = '~';

    private final Store store;
    private final Timers timers;
    private final JobDependencies dependencies;
    private final TokenBucket requestRate;

    /** Ids of jobs whose outcome is being read or whose next read is scheduled. */
    private final Set<String> inFlight = new HashSet<>();

    private final Epoch epoch = new Epoch();
    private Runnable onOutcomeKnown = () -> {};
    private boolean waitingForRate;

    /** Whether the last range held outcomes besides the one that it was read for. */
    private boolean areRangesUseful = true;

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
        areRangesUseful = true;
    }

    /** Reads the outcomes that are not known, as far as the request rate allows. */
    void readUnknownOutcomes() {
        if (waitingForRate) {
            return;
        }
        boolean readsRanges =
                areRangesUseful
                        && dependencies.unknownOutcomeCount() > MAX_UNKNOWN_FOR_SINGLE_READS;
        // Ranges that are read at the same time would overlap.
        int maxInFlight = readsRanges ? 1 : MAX_IN_FLIGHT;
        for (String jobId :
                dependencies.unknownOutcomes(
                        Math.max(0, maxInFlight - inFlight.size()), inFlight)) {
            if (!requestRate.tryTake(1, timers.nowSeconds())) {
                waitForRate();
                return;
            }
            if (readsRanges) {
                readRangeFrom(jobId);
            } else {
                readOutcome(jobId);
            }
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

    /** Reads the records of ended jobs from the given one on, in the order of their ids. */
    private void readRangeFrom(String firstJobId) {
        inFlight.add(firstJobId);
        Epoch.Token token = epoch.current();
        store.list(
                StoreKeys.ENDED_JOBS,
                keyBefore(StoreKeys.ENDED_JOBS + firstJobId),
                RANGE_RECORDS,
                page -> {
                    if (token.isStale()) {
                        return;
                    }
                    if (page.outcome() == Outcome.OK) {
                        onRange(token, firstJobId, page.entries());
                    } else {
                        retryLater(token, firstJobId, FAILED_READ_RETRY_SECONDS);
                    }
                });
    }

    /** Returns a key that sorts just before the given one and is not the key of a record. */
    private static String keyBefore(String key) {
        int last = key.length() - 1;
        return key.substring(0, last) + (char) (key.charAt(last) - 1) + LAST_KEY_CHARACTER;
    }

    private void onRange(Epoch.Token token, String firstJobId, List<Entry> records) {
        int recorded = 0;
        for (Entry entry : records) {
            String jobId = entry.key().substring(StoreKeys.ENDED_JOBS.length());
            if (dependencies.isOutcomeUnknown(jobId) && recordOutcome(jobId, entry.value())) {
                recorded++;
            }
        }
        areRangesUseful = recorded > 1;
        if (recorded > 0) {
            onOutcomeKnown.run();
        }
        if (dependencies.isOutcomeUnknown(firstJobId)) {
            // It has not ended, or its record is unreadable: a single read tells which.
            readOutcome(firstJobId);
        } else {
            inFlight.remove(firstJobId);
            readUnknownOutcomes();
        }
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
        retryLater(
                token,
                jobId,
                outcome == Outcome.REJECTED ? NOT_ENDED_RETRY_SECONDS : FAILED_READ_RETRY_SECONDS);
    }

    private void retryLater(Epoch.Token token, String jobId, double seconds) {
        timers.schedule(
                seconds,
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
