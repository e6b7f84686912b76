package io.kitepath.cloud;

import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.net.HttpClient;
import io.kitepath.net.HttpClient.Request;
import io.kitepath.net.HttpResponse;
import io.kitepath.net.HttpStatus;
import io.kitepath.wire.CloudCodec;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.SharedCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A client of the cloud that uses its published HTTP protocol. All methods and callbacks run on the
 * event loop.
 */
public final class HttpCloud implements Cloud {
    private static final Logger LOG = LoggerFactory.getLogger(HttpCloud.class);
    private static final int MACHINES_PER_PAGE = 500;

    /**
     * The reason that tells a rejected rental from an overloaded cloud, which has the same status.
     */
    private static final String NO_CAPACITY = "no capacity";

    /** A page of the machine list. */
    private record MachinePage(List<ListedMachine> machines, boolean truncated) {
        boolean hasNextPage() {
            return truncated && !machines.isEmpty();
        }
    }

    private final HttpClient client;
    private final long timeoutMillis;

    /**
     * @param client sends requests to the address of the cloud
     * @param timeoutMillis the timeout of a call
     */
    public HttpCloud(HttpClient client, long timeoutMillis) {
        this.client = client;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public void listMachineTypes(BiConsumer<Outcome, List<MachineType>> callback) {
        client.call(
                Request.get("/machine_types"),
                timeoutMillis,
                response -> replyWithList(response, CloudCodec::decodeMachineTypes, callback));
    }

    @Override
    public void rent(
            String name, MachineKind kind, int count, BiConsumer<Outcome, List<String>> callback) {
        client.call(
                Request.post("/rentals", CloudCodec.encodeRental(name, kind, count)),
                timeoutMillis,
                response -> {
                    if (isRentalRejected(response)) {
                        callback.accept(Outcome.REJECTED, List.of());
                    } else {
                        replyWithList(response, CloudCodec::decodeMachineIds, callback);
                    }
                });
    }

    private static boolean isRentalRejected(HttpResponse response) {
        return response.status() == HttpStatus.BAD_REQUEST
                || response.status() == HttpStatus.SERVICE_UNAVAILABLE
                        && decode(response, SharedCodec::decodeErrorReason)
                                .filter(NO_CAPACITY::equals)
                                .isPresent();
    }

    @Override
    public void release(List<String> machines, Consumer<Outcome> callback) {
        client.call(
                Request.post("/rentals/release", CloudCodec.encodeMachineIds(machines)),
                timeoutMillis,
                response -> callback.accept(response.isOk() ? Outcome.OK : failure(response)));
    }

    @Override
    public void listMachines(BiConsumer<Outcome, List<ListedMachine>> callback) {
        listPage("", new ArrayList<>(), callback);
    }

    /** Reads the page after the given machine and all pages that follow. */
    private void listPage(
            String afterMachine,
            List<ListedMachine> machines,
            BiConsumer<Outcome, List<ListedMachine>> callback) {
        String fromParameter = afterMachine.isEmpty() ? "" : "from=" + afterMachine + "&";
        client.call(
                Request.get("/rentals?" + fromParameter + "limit=" + MACHINES_PER_PAGE),
                timeoutMillis,
                response -> {
                    Optional<MachinePage> page = decodeIfOk(response, HttpCloud::decodeMachinePage);
                    if (page.isEmpty()) {
                        callback.accept(failure(response), List.of());
                        return;
                    }
                    machines.addAll(page.get().machines());
                    if (page.get().hasNextPage()) {
                        ListedMachine last = machines.get(machines.size() - 1);
                        listPage(last.machineId(), machines, callback);
                    } else {
                        callback.accept(Outcome.OK, machines);
                    }
                });
    }

    private static MachinePage decodeMachinePage(Object body) {
        return new MachinePage(
                CloudCodec.decodeListedMachines(body), SharedCodec.isTruncated(body));
    }

    /** Passes the list in the body to the callback, or an empty list if there is none. */
    private static <E> void replyWithList(
            HttpResponse response,
            Function<Object, List<E>> decoder,
            BiConsumer<Outcome, List<E>> callback) {
        Optional<List<E>> list = decodeIfOk(response, decoder);
        callback.accept(list.isPresent() ? Outcome.OK : failure(response), list.orElse(List.of()));
    }

    /** Returns the outcome for a response that does not confirm the execution of the call. */
    private static Outcome failure(HttpResponse response) {
        return response.isRefusedByLoad() ? Outcome.NOT_EXECUTED : Outcome.UNKNOWN;
    }

    private static <T> Optional<T> decodeIfOk(HttpResponse response, Function<Object, T> decoder) {
        return response.isOk() ? decode(response, decoder) : Optional.empty();
    }

    /** Decodes the body; a body that can't be decoded counts as no response. */
    private static <T> Optional<T> decode(HttpResponse response, Function<Object, T> decoder) {
        try {
            return Optional.of(decoder.apply(MessagePackCodec.decode(response.body())));
        } catch (InvalidInputException invalid) {
            LOG.warn("cloud response unreadable: reason={}", invalid.getMessage());
            return Optional.empty();
        }
    }
}
