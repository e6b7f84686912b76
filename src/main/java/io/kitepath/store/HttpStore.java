package io.kitepath.store;

import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store;
import io.kitepath.net.HttpClient;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.SharedCodec;
import io.kitepath.wire.StoreCodec;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The state service over its published protocol. */
public final class HttpStore implements Store {
    private static final Logger LOG = LoggerFactory.getLogger(HttpStore.class);

    private final HttpClient calls;

    /**
     * Renewals have a connection of their own, so that a queue of other calls can't cost us the
     * lease.
     */
    private final HttpClient renewals;

    private final HttpClient follows;
    private final long timeoutMs;

    public HttpStore(HttpClient calls, HttpClient renewals, HttpClient follows, long timeoutMs) {
        this.calls = calls;
        this.renewals = renewals;
        this.follows = follows;
        this.timeoutMs = timeoutMs;
    }

    @FunctionalInterface
    private interface Reading<T> {
        T of(Object body);
    }

    /** Reads an answer's body; bytes that are not what they should be count as no answer. */
    private static <T> T read(int status, byte[] body, Reading<T> reading) {
        try {
            return reading.of(MessagePackCodec.decode(body));
        } catch (InvalidInputException invalid) {
            LOG.warn(
                    "state service answered {} with a body that can't be read: {}",
                    status,
                    invalid.getMessage());
            return null;
        }
    }

    private static Outcome other(int status) {
        return status == 429 || status == 503 ? Outcome.NOT_EXECUTED : Outcome.UNKNOWN;
    }

    @Override
    public void get(String key, BiConsumer<Outcome, Entry> answer) {
        calls.call(
                "GET",
                "/keys/" + key,
                null,
                timeoutMs,
                (status, body) -> {
                    if (status == 200) {
                        Entry entry = read(status, body, StoreCodec::decodeEntry);
                        answer.accept(entry == null ? Outcome.UNKNOWN : Outcome.OK, entry);
                    } else {
                        answer.accept(status == 404 ? Outcome.REJECTED : other(status), null);
                    }
                });
    }

    @Override
    public void list(String prefix, String from, int limit, Consumer<ListResult> answer) {
        String path =
                "/keys?prefix="
                        + text(prefix)
                        + (from.isEmpty() ? "" : "&from=" + text(from))
                        + "&limit="
                        + limit;
        calls.call(
                "GET",
                path,
                null,
                2 * timeoutMs,
                (status, body) -> {
                    ListResult page =
                            status == 200
                                    ? read(
                                            status,
                                            body,
                                            b ->
                                                    new ListResult(
                                                            Outcome.OK,
                                                            StoreCodec.decodeEntries(b),
                                                            StoreCodec.decodeRevision(b),
                                                            SharedCodec.isTruncated(b)))
                                    : null;
                    answer.accept(
                            page != null
                                    ? page
                                    : new ListResult(
                                            status == 200 ? Outcome.UNKNOWN : other(status),
                                            List.of(),
                                            0,
                                            false));
                });
    }

    private static String text(String s) {
        return URLEncoder.encode(s, StandardCharsets.UTF_8);
    }

    @Override
    public void commit(Transaction transaction, Consumer<CommitResult> answer) {
        calls.call(
                "POST",
                "/multi",
                StoreCodec.encodeTransaction(transaction),
                timeoutMs,
                (status, body) -> {
                    if (status == 200) {
                        Long revision = read(status, body, StoreCodec::decodeRevision);
                        answer.accept(
                                revision == null
                                        ? new CommitResult(Outcome.UNKNOWN, 0, List.of(), false)
                                        : new CommitResult(Outcome.OK, revision, List.of(), false));
                    } else if (status == 409) {
                        List<String> failed = read(status, body, StoreCodec::decodeFailedKeys);
                        answer.accept(
                                new CommitResult(
                                        Outcome.REJECTED,
                                        0,
                                        failed == null ? List.of() : failed,
                                        false));
                    } else if (status == 400) {
                        String why = read(status, body, SharedCodec::decodeErrorReason);
                        LOG.warn(
                                "state service refused a transaction of {} writes: {}",
                                transaction.writes().size(),
                                why);
                        // Only this one says something about the world; anything else is wrong with
                        // what was sent.
                        boolean lease = StoreCodec.NO_SUCH_LEASE.equals(why);
                        answer.accept(
                                new CommitResult(
                                        lease ? Outcome.REJECTED : Outcome.INVALID,
                                        0,
                                        List.of(),
                                        lease));
                    } else {
                        answer.accept(new CommitResult(other(status), 0, List.of(), false));
                    }
                });
    }

    @Override
    public void grantLease(long lifeMs, BiConsumer<Outcome, Long> answer) {
        renewals.call(
                "POST",
                "/holds",
                StoreCodec.encodeLeaseDuration(lifeMs),
                timeoutMs,
                (status, body) -> {
                    Long id = status == 200 ? read(status, body, StoreCodec::decodeLeaseId) : null;
                    answer.accept(
                            id != null
                                    ? Outcome.OK
                                    : status == 200 ? Outcome.UNKNOWN : other(status),
                            id);
                });
    }

    @Override
    public void renewLease(long lease, Consumer<Outcome> answer) {
        renewals.call(
                "POST",
                "/holds/" + lease + "/renew",
                new byte[0],
                timeoutMs,
                (status, body) ->
                        answer.accept(
                                status == 200
                                        ? Outcome.OK
                                        : status == 404 ? Outcome.REJECTED : other(status)));
    }

    @Override
    public void revokeLease(long lease) {
        renewals.call("DELETE", "/holds/" + lease, null, timeoutMs, (status, body) -> {});
    }

    @Override
    public void watch(String prefix, long after, long holdMs, Consumer<WatchResult> answer) {
        String path = "/follow?prefix=" + text(prefix) + "&from=" + after + "&holdMs=" + holdMs;
        follows.call(
                "GET",
                path,
                null,
                holdMs + timeoutMs,
                (status, body) -> {
                    WatchResult changes =
                            status == 200
                                    ? read(
                                            status,
                                            body,
                                            b ->
                                                    new WatchResult(
                                                            Outcome.OK,
                                                            StoreCodec.decodeRevision(b),
                                                            StoreCodec.decodeEvents(b)))
                                    : null;
                    if (changes == null) {
                        changes =
                                new WatchResult(
                                        status == 410
                                                ? Outcome.REJECTED
                                                : status == 200 ? Outcome.UNKNOWN : other(status),
                                        0,
                                        List.of());
                    }
                    answer.accept(changes);
                });
    }
}
