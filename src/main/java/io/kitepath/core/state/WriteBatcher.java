package io.kitepath.core.state;

import io.kitepath.core.model.JsonSize;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter.BatchContributor;
import java.util.Comparator;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits batches, one at a time and within the write rate, and resolves unknown outcomes. Every
 * write is conditional on the revisions of the shard's record, the job's record and the part's
 * record, so a transaction is idempotent: sent again unchanged, it is executed at most once.
 */
final class WriteBatcher {
    private static final Logger LOG = LoggerFactory.getLogger(WriteBatcher.class);

    /** Share of the store's write rate; the rest is for submissions, cancellations and leases. */
    private static final double WRITE_RATE_SHARE = 0.7;

    /** Delay before a transaction that the store did not execute is sent again. */
    private static final double NOT_EXECUTED_RETRY_SECONDS = 0.2;

    /** Delay before a transaction that the store may have executed is sent again. */
    private static final double UNKNOWN_RETRY_SECONDS = 0.1;

    private static final String MAY_HAVE_EXECUTED =
            "an earlier attempt of this write may have been executed";

    private final Store store;
    private final Timers timers;
    private final ShardState shard;
    private final StateWriter.Listener listener;
    private final ContributorQueue contributors = new ContributorQueue();
    private final TokenBucket writeRate;
    private final BatchSizeLimit sizeLimit;
    private final BatchComposer composer;
    private final CommittedBatchApplier applier;

    private String shardKey;
    private long shardRevision;

    /**
     * The batch that was sent and whose outcome is unresolved; null if there is none. Responses to
     * any other batch are stale.
     */
    private WriteBatch inFlight;

    private long transactionsSent;
    private long recordsSent;
    private long invalidTransactions;

    WriteBatcher(
            Store store,
            Timers timers,
            ShardState shard,
            ImageRecords images,
            StateWriter.Listener listener) {
        this.store = store;
        this.timers = timers;
        this.shard = shard;
        this.listener = listener;
        double writesPerSecond = shard.settings().store().writesPerSecond() * WRITE_RATE_SHARE;
        this.writeRate = new TokenBucket(writesPerSecond);
        this.sizeLimit = new BatchSizeLimit(shard.settings().store().maxTransactionOperations());
        this.composer = new BatchComposer(timers, shard, images, contributors, writesPerSecond);
        this.applier = new CommittedBatchApplier(timers, shard, listener);
    }

    /** Makes all subsequent writes conditional on this revision of the shard's record. */
    void useShardRecord(String key, long revision) {
        shardKey = key;
        shardRevision = revision;
    }

    /** Discards the batch in flight and all contributors. */
    void stop() {
        inFlight = null;
        contributors.clear();
    }

    /** Adds the contributor to one of the next batches. */
    void enqueue(BatchContributor contributor) {
        contributors.enqueue(contributor);
    }

    boolean isWriting() {
        return inFlight != null;
    }

    long invalidTransactions() {
        return invalidTransactions;
    }

    long oversizeRecords() {
        return composer.oversizeRecords();
    }

    long transactionsSent() {
        return transactionsSent;
    }

    long recordsSent() {
        return recordsSent;
    }

    /**
     * Sends the changes that are not in the store yet, if there are any, the write rate allows it
     * and no batch is in flight.
     *
     * @param onCommitted runs when the store has committed the batch
     */
    void write(Runnable onCommitted) {
        if (inFlight != null) {
            return;
        }
        double nowSeconds = timers.nowSeconds();
        WriteBatch batch = new WriteBatch(shardKey, shardRevision);
        boolean endedJobsFirst = transactionsSent % 2 == 0;
        composer.fill(
                batch,
                sizeLimit.maxWrites(),
                writeRate.available(nowSeconds),
                endedJobsFirst,
                nowSeconds);
        if (batch.writeCount() == 0) {
            return;
        }
        writeRate.tryTake(batch.writeCount(), nowSeconds);
        inFlight = batch;
        transactionsSent++;
        recordsSent += batch.writeCount();
        send(batch, onCommitted);
    }

    private void send(WriteBatch batch, Runnable onCommitted) {
        store.commit(
                batch.transaction(),
                result -> {
                    if (inFlight == batch) {
                        onResult(batch, result, onCommitted);
                    }
                });
    }

    private void onResult(WriteBatch batch, CommitResult result, Runnable onCommitted) {
        switch (result.outcome()) {
            case OK -> onCommitted(batch, result.revision(), onCommitted);
            case REJECTED -> onConditionFailed(batch, result, onCommitted);
            case INVALID -> onInvalid(batch);
            case NOT_EXECUTED -> resendAfter(NOT_EXECUTED_RETRY_SECONDS, batch, onCommitted);
            default -> {
                // The transaction may have been or may yet be executed. Sending the identical
                // transaction again resolves this, since the conditions let only one of the two
                // succeed.
                batch.markMayHaveExecuted();
                resendAfter(UNKNOWN_RETRY_SECONDS, batch, onCommitted);
            }
        }
    }

    private void resendAfter(double seconds, WriteBatch batch, Runnable onCommitted) {
        timers.schedule(
                seconds,
                () -> {
                    if (inFlight == batch) {
                        send(batch, onCommitted);
                    }
                });
    }

    private void onCommitted(WriteBatch batch, long revision, Runnable onCommitted) {
        inFlight = null;
        sizeLimit.onCommitted();
        applier.apply(batch, revision);
        onCommitted.run();
    }

    /** Puts all changes of a batch that was not committed back into the queues. */
    private void putBack(WriteBatch batch) {
        inFlight = null;
        batch.parts().forEach(written -> shard.dirtyParts().enqueueIfDirty(written.part()));
        contributors.putBack(batch.contributors());
    }

    // ---- transactions that the store rejects as invalid -----------------------------------------

    /**
     * Handles a batch that the store will never accept because its limits are lower than
     * configured. Guards against composing the same transaction repeatedly while all other changes
     * wait: the next batches are smaller, down to a single record, and a record that is invalid by
     * itself waits until it has changed.
     */
    private void onInvalid(WriteBatch batch) {
        invalidTransactions++;
        Store.Write largest =
                batch.transaction().writes().stream()
                        .max(Comparator.comparingInt(WriteBatcher::valueBytes))
                        .orElseThrow();
        LOG.warn(
                "transaction invalid for the store: writes={} largestKey={} largestBytes={}",
                batch.writeCount(),
                largest.key(),
                valueBytes(largest));
        if (batch.writeCount() > 1) {
            sizeLimit.onInvalid(batch.writeCount());
        } else if (largest.value() != null) {
            shard.lowerMaxRecordBytes(valueBytes(largest));
            sizeLimit.onSingleRecordInvalid();
        }
        if (batch.mayHaveExecuted()) {
            inFlight = null;
            listener.reloadRequired(MAY_HAVE_EXECUTED);
        } else if (batch.changeCount() > 1) {
            putBack(batch);
        } else {
            inFlight = null;
            batch.migration().ifPresent(migration -> shard.clearMigrationRequest(migration.job));
        }
    }

    private static int valueBytes(Store.Write write) {
        return write.value() == null ? 0 : JsonSize.sizeInBytes(write.value());
    }

    // ---- transactions whose conditions failed ---------------------------------------------------

    private void onConditionFailed(WriteBatch batch, CommitResult result, Runnable onCommitted) {
        if (result.failedKeys().contains(shardKey)) {
            putBack(batch);
            listener.shardLost();
        } else if (batch.mayHaveExecuted()) {
            resolveOutcome(batch, result, onCommitted);
        } else {
            onNotCommitted(batch, result);
        }
    }

    /**
     * Resolves the outcome of a batch that an earlier attempt may have committed, by reading a
     * record that no other writer writes. Guards against a leader that reloads all jobs for each
     * lost response and is unavailable in the meantime.
     */
    private void resolveOutcome(WriteBatch batch, CommitResult result, Runnable onCommitted) {
        Optional<WriteBatch.CommitCheck> commitCheck = batch.commitCheck();
        if (commitCheck.isEmpty()) {
            putBack(batch);
            listener.reloadRequired(MAY_HAVE_EXECUTED);
            return;
        }
        store.get(
                commitCheck.get().key(),
                (outcome, entry) -> {
                    if (inFlight != batch) {
                        return;
                    }
                    if (outcome != Outcome.OK && outcome != Outcome.REJECTED) {
                        timers.schedule(
                                NOT_EXECUTED_RETRY_SECONDS,
                                () -> resolveOutcome(batch, result, onCommitted));
                    } else if (commitCheck.get().isCommitted(entry)) {
                        onCommitted(batch, entry == null ? 0 : entry.revision(), onCommitted);
                    } else {
                        // The batch can't be committed later either: its required revision is
                        // outdated and never recurs.
                        onNotCommitted(batch, result);
                    }
                });
    }

    private void onNotCommitted(WriteBatch batch, CommitResult result) {
        putBack(batch);
        for (String key : result.failedKeys()) {
            if (!key.startsWith(StoreKeys.OPEN_JOBS)) {
                listener.reloadRequired("unexpected revision of " + key);
                return;
            }
            // The job was just cancelled; the next batch does not include it.
            shard.finishJob(key.substring(StoreKeys.OPEN_JOBS.length()));
        }
        if (result.failedKeys().isEmpty()) {
            listener.reloadRequired("a write was rejected without failed conditions");
        }
    }
}
