package io.kitepath.store;

import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store;
import io.kitepath.net.HttpClient;
import io.kitepath.net.HttpClient.Request;
import io.kitepath.net.HttpResponse;
import io.kitepath.net.HttpStatus;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.SharedCodec;
import io.kitepath.wire.StoreCodec;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A client of the state service that uses its published HTTP protocol. All methods and callbacks
 * run on the event loop.
 */
public final class HttpStore implements Store {
    private static final Logger LOG = LoggerFactory.getLogger(HttpStore.class);

    /** Lists have long responses and therefore a longer timeout than other calls. */
    private static final int LIST_TIMEOUT_FACTOR = 2;

    private static final byte[] EMPTY_BODY = new byte[0];

    private final HttpClient callClient;
    private final HttpClient leaseClient;
    private final HttpClient watchClient;
    private final long timeoutMillis;

    /**
     * @param callClient sends reads and transactions
     * @param leaseClient sends lease calls; its connections are separate, so that queued other
     *     calls can't delay a renewal until the lease expires
     * @param watchClient sends watches, which occupy their connections
     * @param timeoutMillis the timeout of a call
     */
    public HttpStore(
            HttpClient callClient,
            HttpClient leaseClient,
            HttpClient watchClient,
            long timeoutMillis) {
        this.callClient = callClient;
        this.leaseClient = leaseClient;
        this.watchClient = watchClient;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public void get(String key, BiConsumer<Outcome, Entry> callback) {
        callClient.call(
                Request.get("/keys/" + key),
                timeoutMillis,
                response -> {
                    Optional<Entry> entry = decodeIfOk(response, StoreCodec::decodeEntry);
                    callback.accept(
                            entry.isPresent()
                                    ? Outcome.OK
                                    : failure(response, HttpStatus.NOT_FOUND),
                            entry.orElse(null));
                });
    }

    @Override
    public void list(String prefix, String after, int limit, Consumer<ListResult> callback) {
        String fromParameter = after.isEmpty() ? "" : "&from=" + urlEncode(after);
        String path = "/keys?prefix=" + urlEncode(prefix) + fromParameter + "&limit=" + limit;
        callClient.call(
                Request.get(path),
                LIST_TIMEOUT_FACTOR * timeoutMillis,
                response ->
                        callback.accept(
                                decodeIfOk(response, HttpStore::toListResult)
                                        .orElseGet(() -> failedList(response))));
    }

    private static ListResult toListResult(Object body) {
        return new ListResult(
                Outcome.OK,
                StoreCodec.decodeEntries(body),
                StoreCodec.decodeRevision(body),
                SharedCodec.isTruncated(body));
    }

    private static ListResult failedList(HttpResponse response) {
        return new ListResult(failure(response), List.of(), 0, false);
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> callback) {
        callClient.call(
                Request.post("/multi", StoreCodec.encodeTransaction(transaction)),
                timeoutMillis,
                response -> callback.accept(toCommitResult(transaction, response)));
    }

    private static CommitResult toCommitResult(Transaction transaction, HttpResponse response) {
        return switch (response.status()) {
            case HttpStatus.OK ->
                    decode(response, StoreCodec::decodeRevision)
                            .map(
                                    revision ->
                                            new CommitResult(
                                                    Outcome.OK, revision, List.of(), false))
                            .orElseGet(() -> failedCommit(Outcome.UNKNOWN));
            case HttpStatus.CONFLICT -> {
                Optional<List<String>> failedKeys = decode(response, StoreCodec::decodeFailedKeys);
                yield new CommitResult(Outcome.REJECTED, 0, failedKeys.orElse(List.of()), false);
            }
            case HttpStatus.BAD_REQUEST -> refusedCommit(transaction, response);
            default -> failedCommit(failure(response));
        };
    }

    private static CommitResult refusedCommit(Transaction transaction, HttpResponse response) {
        String reason = decode(response, SharedCodec::decodeErrorReason).orElse(null);
        LOG.warn(
                "transaction refused by state service: writes={} reason={}",
                transaction.writes().size(),
                reason);
        // Only this reason depends on the stored state; any other means an invalid request.
        if (StoreCodec.NO_SUCH_LEASE.equals(reason)) {
            return new CommitResult(Outcome.REJECTED, 0, List.of(), true);
        }
        return failedCommit(Outcome.INVALID);
    }

    private static CommitResult failedCommit(Outcome outcome) {
        return new CommitResult(outcome, 0, List.of(), false);
    }

    @Override
    public void grantLease(long durationMillis, BiConsumer<Outcome, Long> callback) {
        leaseClient.call(
                Request.post("/holds", StoreCodec.encodeLeaseDuration(durationMillis)),
                timeoutMillis,
                response -> {
                    Optional<Long> leaseId = decodeIfOk(response, StoreCodec::decodeLeaseId);
                    callback.accept(
                            leaseId.isPresent() ? Outcome.OK : failure(response),
                            leaseId.orElse(null));
                });
    }

    @Override
    public void renewLease(long leaseId, Consumer<Outcome> callback) {
        leaseClient.call(
                Request.post("/holds/" + leaseId + "/renew", EMPTY_BODY),
                timeoutMillis,
                response ->
                        callback.accept(
                                response.isOk()
                                        ? Outcome.OK
                                        : failure(response, HttpStatus.NOT_FOUND)));
    }

    @Override
    public void revokeLease(long leaseId) {
        leaseClient.call(Request.delete("/holds/" + leaseId), timeoutMillis, response -> {});
    }

    @Override
    public void watch(
            String prefix, long afterRevision, long holdMillis, Consumer<WatchResult> callback) {
        String path =
                "/follow?prefix="
                        + urlEncode(prefix)
                        + "&from="
                        + afterRevision
                        + "&holdMs="
                        + holdMillis;
        watchClient.call(
                Request.get(path),
                holdMillis + timeoutMillis,
                response ->
                        callback.accept(
                                decodeIfOk(response, HttpStore::toWatchResult)
                                        .orElseGet(() -> failedWatch(response))));
    }

    private static WatchResult toWatchResult(Object body) {
        return new WatchResult(
                Outcome.OK, StoreCodec.decodeRevision(body), StoreCodec.decodeEvents(body));
    }

    private static WatchResult failedWatch(HttpResponse response) {
        return new WatchResult(failure(response, HttpStatus.GONE), 0, List.of());
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** Returns the outcome for a response that does not confirm the execution of the call. */
    private static Outcome failure(HttpResponse response) {
        return response.isRefusedByLoad() ? Outcome.NOT_EXECUTED : Outcome.UNKNOWN;
    }

    /** Returns the outcome of a failed call, where one status means a definite rejection. */
    private static Outcome failure(HttpResponse response, int rejectedStatus) {
        return response.status() == rejectedStatus ? Outcome.REJECTED : failure(response);
    }

    private static <T> Optional<T> decodeIfOk(HttpResponse response, Function<Object, T> decoder) {
        return response.isOk() ? decode(response, decoder) : Optional.empty();
    }

    /** Decodes the body; a body that can't be decoded counts as no response. */
    private static <T> Optional<T> decode(HttpResponse response, Function<Object, T> decoder) {
        try {
            return Optional.of(decoder.apply(MessagePackCodec.decode(response.body())));
        } catch (InvalidInputException invalid) {
            LOG.warn(
                    "state service response unreadable: status={} reason={}",
                    response.status(),
                    invalid.getMessage());
            return Optional.empty();
        }
    }
}
