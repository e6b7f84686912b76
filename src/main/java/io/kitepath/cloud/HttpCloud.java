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

/** A client of the cloud, by its published HTTP protocol. All of it runs on the event loop. */
public final class HttpCloud implements Cloud {
    private static final Logger LOG = LoggerFactory.getLogger(HttpCloud.class);
    private static final int MACHINES_PER_PAGE = 500;

    /** Why a rental is refused with a status that an overloaded cloud has, too. */
    private static final String NO_CAPACITY = "no capacity";

    /** One page of the list of machines. */
    private record MachinePage(List<ListedMachine> machines, boolean truncated) {
        boolean hasNextPage() {
            return truncated && !machines.isEmpty();
        }
    }

    private final HttpClient client;
    private final long timeoutMillis;

    /**
     * @param client with the address of the cloud
     * @param timeoutMillis how long a call may take
     */
    public HttpCloud(HttpClient client, long timeoutMillis) {
        this.client = client;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public void listMachineTypes(BiConsumer<Outcome, List<MachineType>> answer) {
        client.call(
                Request.get("/machine_types"),
                timeoutMillis,
                response -> answerList(response, CloudCodec::decodeMachineTypes, answer));
    }

    @Override
    public void rent(
            String name, MachineKind kind, int count, BiConsumer<Outcome, List<String>> answer) {
        client.call(
                Request.post("/rentals", CloudCodec.encodeRental(name, kind, count)),
                timeoutMillis,
                response -> {
                    if (isRentalRejected(response)) {
                        answer.accept(Outcome.REJECTED, List.of());
                    } else {
                        answerList(response, CloudCodec::decodeMachineIds, answer);
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
    public void release(List<String> machines, Consumer<Outcome> answer) {
        client.call(
                Request.post("/rentals/release", CloudCodec.encodeMachineIds(machines)),
                timeoutMillis,
                response -> answer.accept(response.isOk() ? Outcome.OK : failure(response)));
    }

    @Override
    public void listMachines(BiConsumer<Outcome, List<ListedMachine>> answer) {
        listPage("", new ArrayList<>(), answer);
    }

    /** Reads a page after that machine, and those that follow it. */
    private void listPage(
            String afterMachine,
            List<ListedMachine> machines,
            BiConsumer<Outcome, List<ListedMachine>> answer) {
        String fromParameter = afterMachine.isEmpty() ? "" : "from=" + afterMachine + "&";
        client.call(
                Request.get("/rentals?" + fromParameter + "limit=" + MACHINES_PER_PAGE),
                timeoutMillis,
                response -> {
                    Optional<MachinePage> page = decodeIfOk(response, HttpCloud::decodeMachinePage);
                    if (page.isEmpty()) {
                        answer.accept(failure(response), List.of());
                        return;
                    }
                    machines.addAll(page.get().machines());
                    if (page.get().hasNextPage()) {
                        ListedMachine last = machines.get(machines.size() - 1);
                        listPage(last.machineId(), machines, answer);
                    } else {
                        answer.accept(Outcome.OK, machines);
                    }
                });
    }

    private static MachinePage decodeMachinePage(Object body) {
        return new MachinePage(
                CloudCodec.decodeListedMachines(body), SharedCodec.isTruncated(body));
    }

    /** Answers with the list in the body, or with an empty one if there is none. */
    private static <E> void answerList(
            HttpResponse response,
            Function<Object, List<E>> decoder,
            BiConsumer<Outcome, List<E>> answer) {
        Optional<List<E>> list = decodeIfOk(response, decoder);
        answer.accept(list.isPresent() ? Outcome.OK : failure(response), list.orElse(List.of()));
    }

    /** What is known after a response which is not that the call was executed. */
    private static Outcome failure(HttpResponse response) {
        return response.isRefusedByLoad() ? Outcome.NOT_EXECUTED : Outcome.UNKNOWN;
    }

    private static <T> Optional<T> decodeIfOk(HttpResponse response, Function<Object, T> decoder) {
        return response.isOk() ? decode(response, decoder) : Optional.empty();
    }

    /** Decodes the body; one that can't be decoded counts as no answer. */
    private static <T> Optional<T> decode(HttpResponse response, Function<Object, T> decoder) {
        try {
            return Optional.of(decoder.apply(MessagePackCodec.decode(response.body())));
        } catch (InvalidInputException invalid) {
            LOG.warn("cloud answered with a body that can't be read: {}", invalid.getMessage());
            return Optional.empty();
        }
    }
}
