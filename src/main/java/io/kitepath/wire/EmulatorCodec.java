package io.kitepath.wire;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The protocol as the other side speaks it: what state service, cloud and workers read and answer.
 * For emulators of them. Bodies that do not keep to the protocol are refused by an {@link
 * InvalidInputException}.
 */
public final class EmulatorCodec {
    private static final int HTTP_OK = 200;
    private static final int HTTP_MISDIRECTED_REQUEST = 421;
    private static final int MIN_LEASE_MILLIS = 100;
    private static final int MAX_LEASE_MILLIS = 600_000;
    private static final int MAX_MACHINES_PER_RENTAL = 50;

    /**
     * A node's request for machines.
     *
     * @param name makes a repetition of the request idempotent
     */
    public record RentalRequest(
            String name, String machineType, String zone, boolean spot, int count) {}

    /** Commands for one incarnation of a worker's agent. */
    public record DirectCommandsRequest(
            long fencingToken, long agentIncarnation, List<WorkerCommand> commands) {}

    private EmulatorCodec() {}

    // ---- state service --------------------------------------------------------------------------

    /** The transaction that a node asks for. */
    public static Store.Transaction decodeTransaction(Object body) {
        DocumentReader document = DocumentReader.of(body);
        Store.Transaction transaction = new Store.Transaction();
        for (DocumentReader condition : document.children("when")) {
            transaction.requireRevision(condition.text("path"), condition.count("stamp"));
        }
        if (document.has("then")) {
            for (DocumentReader write : document.children("then")) {
                decodeWrite(write, transaction);
            }
        }
        return transaction;
    }

    private static void decodeWrite(DocumentReader document, Store.Transaction transaction) {
        if (document.has("remove")) {
            transaction.remove(document.text("remove"));
        } else {
            transaction.put(
                    document.text("write"),
                    document.raw("value"),
                    document.has("tether") ? document.count("tether") : 0);
        }
    }

    /** The duration of a lease that a node asks for, in milliseconds. */
    public static long decodeLeaseMillis(Object body) {
        return DocumentReader.of(body).integer("lifeMs", MIN_LEASE_MILLIS, MAX_LEASE_MILLIS);
    }

    /** The answer to reading one key. */
    public static byte[] encodeEntry(Store.Entry entry) {
        return MessagePackCodec.encode(entryFields(entry));
    }

    private static Map<String, Object> entryFields(Store.Entry entry) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("path", entry.key());
        fields.put("value", entry.value());
        fields.put("stamp", entry.revision());
        return fields;
    }

    /** A page of a listing. */
    public static byte[] encodeListing(Store.ListResult listing) {
        return MessagePackCodec.encode(
                Map.of(
                        "entries",
                        listing.entries().stream().map(EmulatorCodec::entryFields).toList(),
                        "truncated",
                        listing.hasMore(),
                        "epoch",
                        listing.revision()));
    }

    /** The answer to a transaction: executed, or which conditions did not hold. */
    public static byte[] encodeCommitResult(Store.CommitResult result) {
        return MessagePackCodec.encode(
                result.outcome() == Store.Outcome.OK
                        ? Map.of("epoch", result.revision())
                        : Map.of("failed", result.failedKeys(), "epoch", result.revision()));
    }

    /** The answer to a watch. */
    public static byte[] encodeWatchResult(Store.WatchResult changes) {
        List<Object> events = new ArrayList<>();
        for (Store.Entry entry : changes.events()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put(entry.value() == null ? "remove" : "write", entry.key());
            if (entry.value() != null) {
                fields.put("value", entry.value());
            }
            fields.put("stamp", entry.revision());
            events.add(fields);
        }
        return MessagePackCodec.encode(Map.of("epoch", changes.revision(), "events", events));
    }

    /** The answer to a request for a lease. */
    public static byte[] encodeLease(long leaseId) {
        return MessagePackCodec.encode(Map.of("tether", leaseId));
    }

    // ---- cloud ----------------------------------------------------------------------------------

    /** The list of machine types with their prices. */
    public static byte[] encodeMachineTypes(List<MachineType> types) {
        List<Object> encoded = new ArrayList<>();
        for (MachineType type : types) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("name", type.name());
            fields.put("vcpus", type.cpus());
            fields.put("cards", type.gpus());
            fields.put("ramGb", type.memoryGigabytes());
            fields.put("localGb", type.cacheGigabytes());
            fields.put("pullGbPerS", type.fetchGigabytesPerSecond());
            fields.put("rate", type.pricePerHour());
            fields.put("spotPrice", type.spotPricePerHour());
            fields.put("readyS", type.bootSeconds());
            fields.put("fields", type.zones());
            encoded.add(fields);
        }
        return MessagePackCodec.encode(Map.of("frames", encoded));
    }

    /** A node's request for machines. */
    public static RentalRequest decodeRental(Object body) {
        DocumentReader document = DocumentReader.of(body);
        return new RentalRequest(
                document.text("hire"),
                document.text("frame"),
                document.text("field"),
                document.flag("loaners"),
                (int) document.integer("count", 1, MAX_MACHINES_PER_RENTAL));
    }

    /** A page of the list of rented machines. */
    public static byte[] encodeMachines(List<Cloud.ListedMachine> machines, boolean hasMore) {
        List<Object> encoded = new ArrayList<>();
        for (Cloud.ListedMachine machine : machines) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("nameId", machine.machineId());
            fields.put("addr", "");
            fields.put("frame", machine.machineType());
            fields.put("field", machine.zone());
            fields.put("loaners", machine.spot());
            fields.put("status", machine.status());
            fields.put("heldS", machine.ageSeconds());
            encoded.add(fields);
        }
        return MessagePackCodec.encode(Map.of("hosts", encoded, "truncated", hasMore));
    }

    // ---- workers --------------------------------------------------------------------------------

    /** A worker's report of its machine and tasks. */
    public static byte[] encodeHeartbeat(Heartbeat heartbeat) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("host", heartbeat.machineId());
        fields.put("addr", heartbeat.address());
        fields.put("frame", heartbeat.machineType());
        fields.put("field", heartbeat.zone());
        fields.put("loaners", heartbeat.spot());
        fields.put("tenure", heartbeat.agentIncarnation());
        fields.put("tick", heartbeat.sequence());
        fields.put("baton", heartbeat.fencingToken());
        fields.put("recallS", heartbeat.noticeSeconds());
        fields.put(
                "sheets", heartbeat.tasks().stream().map(EmulatorCodec::taskStatusFields).toList());
        return MessagePackCodec.encode(fields);
    }

    private static Map<String, Object> taskStatusFields(Heartbeat.TaskStatus status) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("sheet", new TaskReference(status.jobId(), status.task()).toString());
        fields.put("try", status.attempt());
        fields.put("status", WorkerTerms.of(status.state()));
        if (status.cause() != null) {
            fields.put("cause", WorkerTerms.of(status.cause()));
        }
        return fields;
    }

    /**
     * The answer to a heartbeat, by its HTTP status; null for one that tells the worker nothing.
     */
    public static HeartbeatResponse decodeHeartbeatResponse(int status, byte[] body) {
        try {
            return switch (status) {
                case HTTP_OK -> {
                    DocumentReader document = DocumentReader.of(MessagePackCodec.decode(body));
                    yield new HeartbeatResponse(
                            document.count("baton"), decodeCommands(document), null);
                }
                case HTTP_MISDIRECTED_REQUEST -> {
                    DocumentReader document = DocumentReader.of(MessagePackCodec.decode(body));
                    yield HeartbeatResponse.redirectTo(document.textOr("anchor", null));
                }
                default -> null;
            };
        } catch (InvalidInputException invalid) {
            // A worker can't use what it can't read; it reports again later.
            return null;
        }
    }

    /** Commands that a node sends straight to a worker. */
    public static DirectCommandsRequest decodeDirectCommands(Object body) {
        DocumentReader document = DocumentReader.of(body);
        return new DirectCommandsRequest(
                document.count("baton"), document.count("tenure"), decodeCommands(document));
    }

    private static List<WorkerCommand> decodeCommands(DocumentReader document) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (DocumentReader command : document.children("orders")) {
            TaskReference reference = TaskReference.parse(command.text("sheet"));
            commands.add(
                    new WorkerCommand(
                            WorkerTerms.parseAction(command.text("verb")),
                            reference.jobId(),
                            reference.task(),
                            command.count("try"),
                            command.numberOr("windDownS", 0, 0)));
        }
        return commands;
    }
}
