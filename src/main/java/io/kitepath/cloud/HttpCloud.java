package io.kitepath.cloud;

import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.net.HttpClient;
import io.kitepath.wire.CloudCodec;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.SharedCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The cloud over its published protocol. */
public final class HttpCloud implements Cloud {
    private static final Logger LOG = LoggerFactory.getLogger(HttpCloud.class);
    private static final int PAGE = 500;

    private final HttpClient http;
    private final long timeoutMs;

    public HttpCloud(HttpClient http, long timeoutMs) {
        this.http = http;
        this.timeoutMs = timeoutMs;
    }

    private static <T> T read(byte[] body, Function<Object, T> reading) {
        try {
            return reading.apply(MessagePackCodec.decode(body));
        } catch (InvalidInputException invalid) {
            LOG.warn("cloud answered with a body that can't be read: {}", invalid.getMessage());
            return null;
        }
    }

    private static Outcome failed(int status) {
        return status == 429 || status == 503 ? Outcome.NOT_EXECUTED : Outcome.UNKNOWN;
    }

    @Override
    public void listMachineTypes(BiConsumer<Outcome, List<MachineType>> answer) {
        http.call(
                "GET",
                "/machine_types",
                null,
                timeoutMs,
                (status, body) -> {
                    List<MachineType> types =
                            status == 200 ? read(body, CloudCodec::decodeMachineTypes) : null;
                    answer.accept(
                            types != null ? Outcome.OK : failed(status),
                            types == null ? List.of() : types);
                });
    }

    @Override
    public void rent(
            String name, MachineKind kind, int count, BiConsumer<Outcome, List<String>> answer) {
        http.call(
                "POST",
                "/rentals",
                CloudCodec.encodeRental(name, kind, count),
                timeoutMs,
                (status, body) -> {
                    if (status == 200) {
                        List<String> names = read(body, CloudCodec::decodeMachineIds);
                        answer.accept(
                                names != null ? Outcome.OK : Outcome.UNKNOWN,
                                names == null ? List.of() : names);
                    } else if (status == 503 && !outage(body) || status == 400) {
                        answer.accept(Outcome.REJECTED, List.of());
                    } else {
                        answer.accept(failed(status), List.of());
                    }
                });
    }

    private static boolean outage(byte[] body) {
        String why =
                read(body, b -> io.kitepath.core.model.DocumentReader.of(b).textOr("error", ""));
        return why == null || !why.equals("no capacity");
    }

    @Override
    public void release(List<String> machines, Consumer<Outcome> answer) {
        http.call(
                "POST",
                "/rentals/release",
                CloudCodec.encodeMachineIds(machines),
                timeoutMs,
                (status, body) -> answer.accept(status == 200 ? Outcome.OK : failed(status)));
    }

    @Override
    public void listMachines(BiConsumer<Outcome, List<ListedMachine>> answer) {
        page("", new ArrayList<>(), answer);
    }

    private void page(
            String from,
            List<ListedMachine> read,
            BiConsumer<Outcome, List<ListedMachine>> answer) {
        http.call(
                "GET",
                "/rentals?" + (from.isEmpty() ? "" : "from=" + from + "&") + "limit=" + PAGE,
                null,
                timeoutMs,
                (status, body) -> {
                    List<ListedMachine> page =
                            status == 200 ? read(body, CloudCodec::decodeListedMachines) : null;
                    if (page == null) {
                        answer.accept(status == 200 ? Outcome.UNKNOWN : failed(status), List.of());
                        return;
                    }
                    read.addAll(page);
                    if (SharedCodec.isTruncated(MessagePackCodec.decode(body)) && !page.isEmpty()) {
                        page(page.get(page.size() - 1).machineId(), read, answer);
                    } else {
                        answer.accept(Outcome.OK, read);
                    }
                });
    }
}
