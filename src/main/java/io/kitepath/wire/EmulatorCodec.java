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
 * For stand-ins.
 */
public final class EmulatorCodec {
    /** What a node asks the cloud to rent. */
    public record RentalRequest(
            String name, String machineType, String zone, boolean spot, int count) {}

    /** Commands for a worker's session. */
    public record DirectCommandsRequest(
            long fencingToken, long agentIncarnation, List<WorkerCommand> commands) {}

    private EmulatorCodec() {}

    // ---- state service --------------------------------------------------------------------------

    public static Store.Transaction decodeTransaction(Object body) {
        DocumentReader t = DocumentReader.of(body);
        Store.Transaction out = new Store.Transaction();
        for (DocumentReader c : t.children("when")) {
            out.requireRevision(c.text("path"), c.count("stamp"));
        }
        if (t.has("then")) {
            for (DocumentReader w : t.children("then")) {
                if (w.has("remove")) {
                    out.remove(w.text("remove"));
                } else {
                    out.put(
                            w.text("write"),
                            w.raw("value"),
                            w.has("tether") ? w.count("tether") : 0);
                }
            }
        }
        return out;
    }

    public static long decodeLeaseMillis(Object body) {
        return DocumentReader.of(body).integer("lifeMs", 100, 600_000);
    }

    public static byte[] encodeEntry(Store.Entry entry) {
        return MessagePackCodec.encode(entryFields(entry));
    }

    private static Map<String, Object> entryFields(Store.Entry entry) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("path", entry.key());
        m.put("value", entry.value());
        m.put("stamp", entry.revision());
        return m;
    }

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

    public static byte[] encodeCommitResult(Store.CommitResult result) {
        return MessagePackCodec.encode(
                result.outcome() == Store.Outcome.OK
                        ? Map.of("epoch", result.revision())
                        : Map.of("failed", result.failedKeys(), "epoch", result.revision()));
    }

    public static byte[] encodeWatchResult(Store.WatchResult changes) {
        List<Object> events = new ArrayList<>();
        for (Store.Entry entry : changes.events()) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(entry.value() == null ? "remove" : "write", entry.key());
            if (entry.value() != null) {
                m.put("value", entry.value());
            }
            m.put("stamp", entry.revision());
            events.add(m);
        }
        return MessagePackCodec.encode(Map.of("epoch", changes.revision(), "events", events));
    }

    public static byte[] encodeLease(long id) {
        return MessagePackCodec.encode(Map.of("tether", id));
    }

    // ---- cloud ----------------------------------------------------------------------------------

    public static byte[] encodeMachineTypes(List<MachineType> types) {
        List<Object> list = new ArrayList<>();
        for (MachineType type : types) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("name", type.name());
            m.put("vcpus", type.cpus());
            m.put("cards", type.gpus());
            m.put("ramGb", type.memoryGigabytes());
            m.put("localGb", type.cacheGigabytes());
            m.put("pullGbPerS", type.fetchGigabytesPerSecond());
            m.put("rate", type.pricePerHour());
            m.put("spotPrice", type.spotPricePerHour());
            m.put("readyS", type.bootSeconds());
            m.put("fields", type.zones());
            list.add(m);
        }
        return MessagePackCodec.encode(Map.of("frames", list));
    }

    public static RentalRequest decodeRental(Object body) {
        DocumentReader document = DocumentReader.of(body);
        return new RentalRequest(
                document.text("hire"),
                document.text("frame"),
                document.text("field"),
                document.flag("loaners"),
                (int) document.integer("count", 1, 50));
    }

    public static byte[] encodeMachines(List<Cloud.ListedMachine> list, boolean more) {
        List<Object> out = new ArrayList<>();
        for (Cloud.ListedMachine listed : list) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("nameId", listed.machineId());
            m.put("addr", "");
            m.put("frame", listed.machineType());
            m.put("field", listed.zone());
            m.put("loaners", listed.spot());
            m.put("status", listed.status());
            m.put("heldS", listed.heldSeconds());
            out.add(m);
        }
        return MessagePackCodec.encode(Map.of("hosts", out, "truncated", more));
    }

    // ---- workers --------------------------------------------------------------------------------

    public static byte[] encodeHeartbeat(Heartbeat heartbeat) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("host", heartbeat.machineId());
        m.put("addr", heartbeat.address());
        m.put("frame", heartbeat.machineType());
        m.put("field", heartbeat.zone());
        m.put("loaners", heartbeat.spot());
        m.put("tenure", heartbeat.agentIncarnation());
        m.put("tick", heartbeat.sequence());
        m.put("baton", heartbeat.fencingToken());
        m.put("recallS", heartbeat.noticeSeconds());
        List<Object> tasks = new ArrayList<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            Map<String, Object> x = new LinkedHashMap<>();
            x.put("sheet", status.jobId() + "/" + status.task());
            x.put("try", status.attempt());
            x.put(
                    "status",
                    switch (status.state()) {
                        case FETCHING_IMAGE -> "pulling";
                        case WAITING_FOR_GANG -> "waiting";
                        case SAVING_CHECKPOINT -> "saving";
                        case ENDED -> "ended";
                        default -> "running";
                    });
            if (status.cause() != null) {
                x.put(
                        "cause",
                        switch (status.cause()) {
                            case DONE -> "done";
                            case STOPPED -> "halted";
                            case GANG_PEER_LOST -> "peers";
                            case GANG_START_TIMEOUT -> "alone";
                            case INSUFFICIENT_RESOURCES -> "full";
                            case OTHER_ATTEMPT_PRESENT -> "in_use";
                            case UNKNOWN_TASK -> "unknown";
                            case ERROR -> "error";
                        });
            }
            tasks.add(x);
        }
        m.put("sheets", tasks);
        return MessagePackCodec.encode(m);
    }

    /** An answer to a check-in, by its HTTP status; null for one that says nothing. */
    public static HeartbeatResponse decodeHeartbeatResponse(int status, byte[] body) {
        try {
            if (status == 200) {
                DocumentReader document = DocumentReader.of(MessagePackCodec.decode(body));
                return new HeartbeatResponse(
                        document.count("baton"), decodeCommands(document), null);
            }
            if (status == 421) {
                return HeartbeatResponse.redirectTo(
                        DocumentReader.of(MessagePackCodec.decode(body)).textOr("anchor", null));
            }
        } catch (InvalidInputException invalid) {
            return null;
        }
        return null;
    }

    public static DirectCommandsRequest decodeDirectCommands(Object body) {
        DocumentReader document = DocumentReader.of(body);
        return new DirectCommandsRequest(
                document.count("baton"), document.count("tenure"), decodeCommands(document));
    }

    private static List<WorkerCommand> decodeCommands(DocumentReader t) {
        List<WorkerCommand> out = new ArrayList<>();
        for (DocumentReader o : t.children("orders")) {
            String sheet = o.text("sheet");
            int slash = sheet.lastIndexOf('/');
            WorkerCommand.Action action =
                    switch (o.text("verb")) {
                        case "launch" -> WorkerCommand.Action.START;
                        case "halt" -> WorkerCommand.Action.STOP;
                        default -> WorkerCommand.Action.FORGET;
                    };
            out.add(
                    new WorkerCommand(
                            action,
                            sheet.substring(0, slash),
                            Integer.parseInt(sheet.substring(slash + 1)),
                            o.count("try"),
                            o.numberOr("windDownS", 0, 0)));
        }
        return out;
    }
}
