package io.kitepath.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud.ListedMachine;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.net.ScriptedServer;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which requests the cloud client sends and how it interprets the responses. */
class HttpCloudTest {
    private static final Map<String, Object> EMPTY = Map.of();
    private static final byte[] MALFORMED = {(byte) 0xc1};

    private final ScriptedServer server;
    private final HttpCloud cloud;

    HttpCloudTest() throws Exception {
        server = new ScriptedServer();
        cloud = new HttpCloud(server.client(), 300);
    }

    @AfterEach
    void stop() {
        server.close();
    }

    private record CallResult(Outcome outcome, List<?> list) {
        static CallResult ofEmptyList(Outcome outcome) {
            return new CallResult(outcome, List.of());
        }
    }

    private CallResult types() throws Exception {
        return server.call(
                callback ->
                        cloud.listMachineTypes(
                                (outcome, list) -> callback.accept(new CallResult(outcome, list))));
    }

    @Test
    void listsMachineTypesOrReturnsOutcomeOfFailure() throws Exception {
        Map<String, Object> type =
                Map.of(
                        "name",
                        "m4",
                        "vcpus",
                        4.0,
                        "ramGb",
                        16.0,
                        "rate",
                        0.5,
                        "readyS",
                        30.0,
                        "fields",
                        List.of("a"));
        server.reply(200, Map.of("frames", List.of(type)));
        assertEquals(
                new CallResult(
                        Outcome.OK,
                        List.of(new MachineType("m4", 4, 0, 16, 0, 0, 0.5, 0.5, 30, List.of("a")))),
                types());
        assertEquals(List.of("GET /machine_types"), server.received());
        server.reply(503, EMPTY);
        assertEquals(CallResult.ofEmptyList(Outcome.NOT_EXECUTED), types());
        server.reply(200, MALFORMED);
        assertEquals(CallResult.ofEmptyList(Outcome.UNKNOWN), types());
        assertEquals(CallResult.ofEmptyList(Outcome.UNKNOWN), types()); // No response in time.
    }

    private CallResult rent() throws Exception {
        return server.call(
                callback ->
                        cloud.rent(
                                "r-1",
                                new MachineKind("m4", "a", true),
                                2,
                                (outcome, list) -> callback.accept(new CallResult(outcome, list))));
    }

    @Test
    void rentReturnsMachinesOrOutcomeOfFailure() throws Exception {
        server.reply(200, Map.of("hosts", List.of("i-1", "i-2")));
        assertEquals(new CallResult(Outcome.OK, List.of("i-1", "i-2")), rent());
        assertEquals(
                List.of("POST /rentals {hire=r-1, frame=m4, field=a, loaners=true, count=2}"),
                server.received());
        server.reply(503, Map.of("error", "no capacity"));
        assertEquals(CallResult.ofEmptyList(Outcome.REJECTED), rent());
        server.reply(400, EMPTY);
        assertEquals(CallResult.ofEmptyList(Outcome.REJECTED), rent());
        server.reply(503, Map.of("error", "overloaded"));
        assertEquals(CallResult.ofEmptyList(Outcome.NOT_EXECUTED), rent());
        server.reply(503, MALFORMED);
        assertEquals(CallResult.ofEmptyList(Outcome.NOT_EXECUTED), rent());
        server.reply(429, Map.of("error", "no capacity"));
        assertEquals(CallResult.ofEmptyList(Outcome.NOT_EXECUTED), rent());
        server.reply(500, EMPTY);
        assertEquals(CallResult.ofEmptyList(Outcome.UNKNOWN), rent());
        server.reply(200, EMPTY);
        assertEquals(CallResult.ofEmptyList(Outcome.UNKNOWN), rent());
        assertEquals(CallResult.ofEmptyList(Outcome.UNKNOWN), rent());
    }

    private Outcome release() throws Exception {
        return server.call(callback -> cloud.release(List.of("i-1", "i-2"), callback));
    }

    @Test
    void releaseReturnsWhetherMachinesWereReleased() throws Exception {
        server.reply(200, EMPTY);
        assertEquals(Outcome.OK, release());
        assertEquals(List.of("POST /rentals/release {hosts=[i-1, i-2]}"), server.received());
        server.reply(429, EMPTY);
        assertEquals(Outcome.NOT_EXECUTED, release());
        server.reply(400, EMPTY);
        assertEquals(Outcome.UNKNOWN, release());
        assertEquals(Outcome.UNKNOWN, release());
    }

    private CallResult machines() throws Exception {
        return server.call(
                callback ->
                        cloud.listMachines(
                                (outcome, list) -> callback.accept(new CallResult(outcome, list))));
    }

    private static Map<String, Object> page(boolean truncated, String... machines) {
        List<Object> hosts =
                List.of(machines).stream()
                        .map(
                                machine ->
                                        (Object)
                                                Map.of(
                                                        "nameId", machine, "frame", "m4", "field",
                                                        "a", "loaners", true, "status", "up"))
                        .toList();
        return Map.of("hosts", hosts, "truncated", truncated);
    }

    private static ListedMachine machine(String id) {
        return new ListedMachine(id, "m4", "a", true, "up", 0);
    }

    @Test
    void listsMachinesPageByPage() throws Exception {
        server.reply(200, page(true, "i-1", "i-2"));
        server.reply(200, page(false, "i-3"));
        assertEquals(
                new CallResult(Outcome.OK, List.of(machine("i-1"), machine("i-2"), machine("i-3"))),
                machines());
        assertEquals(
                List.of("GET /rentals?limit=500", "GET /rentals?from=i-2&limit=500"),
                server.received());
        server.reply(200, page(true));
        assertEquals(CallResult.ofEmptyList(Outcome.OK), machines());
        server.reply(200, page(true, "i-1"));
        server.reply(503, EMPTY);
        assertEquals(CallResult.ofEmptyList(Outcome.NOT_EXECUTED), machines());
        server.reply(200, MALFORMED);
        assertEquals(CallResult.ofEmptyList(Outcome.UNKNOWN), machines());
        assertEquals(CallResult.ofEmptyList(Outcome.UNKNOWN), machines());
    }

    /**
     * Guards against a list call that never completes: the leader requests the next list only after
     * a result, even if that is a failure.
     */
    @Test
    void listMachinesReportsUnknownOutcomeWhenTruncatedFlagIsInvalid() throws Exception {
        for (Object invalidFlag : List.of("yes", 1L, List.of())) {
            server.reply(200, Map.of("hosts", List.of(), "truncated", invalidFlag));
            assertEquals(
                    CallResult.ofEmptyList(Outcome.UNKNOWN),
                    machines(),
                    "truncated: " + invalidFlag);
        }
    }
}
