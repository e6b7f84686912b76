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
    public record Rent(String name, String type, String zone, boolean spot, int count) {}

    /** Commands for a worker's session. */
    public record Direct(long token, long session, List<WorkerCommand> orders) {}

    private EmulatorCodec() {}

    // ---- state service --------------------------------------------------------------------------

    public static Store.Transaction transaction(Object body) {
        DocumentReader t = DocumentReader.of(body);
        Store.Transaction out = new Store.Transaction();
        for (DocumentReader c : t.children("when")) {
            out.when(c.text("path"), c.count("stamp"));
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

    public static long lifeMs(Object body) {
        return DocumentReader.of(body).integer("lifeMs", 100, 600_000);
    }

    public static byte[] entry(Store.Entry entry) {
        return MessagePackCodec.bytes(shown(entry));
    }

    private static Map<String, Object> shown(Store.Entry entry) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("path", entry.key());
        m.put("value", entry.value());
        m.put("stamp", entry.revision());
        return m;
    }

    public static byte[] listing(Store.ListResult listing) {
        return MessagePackCodec.bytes(
                Map.of(
                        "entries",
                        listing.entries().stream().map(EmulatorCodec::shown).toList(),
                        "truncated",
                        listing.more(),
                        "epoch",
                        listing.revision()));
    }

    public static byte[] committed(Store.CommitResult result) {
        return MessagePackCodec.bytes(
                result.outcome() == Store.Outcome.OK
                        ? Map.of("epoch", result.revision())
                        : Map.of("failed", result.failed(), "epoch", result.revision()));
    }

    public static byte[] changes(Store.WatchResult changes) {
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
        return MessagePackCodec.bytes(Map.of("epoch", changes.revision(), "events", events));
    }

    public static byte[] lease(long id) {
        return MessagePackCodec.bytes(Map.of("tether", id));
    }

    // ---- cloud ----------------------------------------------------------------------------------

    public static byte[] types(List<MachineType> types) {
        List<Object> list = new ArrayList<>();
        for (MachineType type : types) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("name", type.name());
            m.put("vcpus", type.cpus());
            m.put("cards", type.gpus());
            m.put("ramGb", type.memoryGb());
            m.put("localGb", type.cacheGb());
            m.put("pullGbPerS", type.fetchGbPerS());
            m.put("rate", type.price());
            m.put("spotPrice", type.spotPrice());
            m.put("readyS", type.bootS());
            m.put("fields", type.zones());
            list.add(m);
        }
        return MessagePackCodec.bytes(Map.of("frames", list));
    }

    public static Rent rent(Object body) {
        DocumentReader document = DocumentReader.of(body);
        return new Rent(
                document.text("hire"),
                document.text("frame"),
                document.text("field"),
                document.flag("loaners"),
                (int) document.integer("count", 1, 50));
    }

    public static byte[] machines(List<Cloud.Listed> list, boolean more) {
        List<Object> out = new ArrayList<>();
        for (Cloud.Listed listed : list) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("nameId", listed.machine());
            m.put("addr", "");
            m.put("frame", listed.type());
            m.put("field", listed.zone());
            m.put("loaners", listed.spot());
            m.put("status", listed.status());
            m.put("heldS", listed.heldS());
            out.add(m);
        }
        return MessagePackCodec.bytes(Map.of("hosts", out, "truncated", more));
    }

    // ---- workers --------------------------------------------------------------------------------

    public static byte[] report(Heartbeat heartbeat) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("host", heartbeat.machine());
        m.put("addr", heartbeat.address());
        m.put("frame", heartbeat.type());
        m.put("field", heartbeat.zone());
        m.put("loaners", heartbeat.spot());
        m.put("tenure", heartbeat.session());
        m.put("tick", heartbeat.sequence());
        m.put("baton", heartbeat.token());
        m.put("recallS", heartbeat.noticeS());
        List<Object> tasks = new ArrayList<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            Map<String, Object> x = new LinkedHashMap<>();
            x.put("sheet", status.job() + "/" + status.task());
            x.put("try", status.attempt());
            x.put(
                    "status",
                    switch (status.state()) {
                        case FETCHING -> "pulling";
                        case WAITING -> "waiting";
                        case SAVING -> "saving";
                        case ENDED -> "ended";
                        default -> "running";
                    });
            if (status.cause() != null) {
                x.put(
                        "cause",
                        switch (status.cause()) {
                            case DONE -> "done";
                            case STOPPED -> "halted";
                            case PEERS -> "peers";
                            case ALONE -> "alone";
                            case NO_ROOM -> "full";
                            case BUSY -> "in_use";
                            case UNKNOWN -> "unknown";
                            case ERROR -> "error";
                        });
            }
            tasks.add(x);
        }
        m.put("sheets", tasks);
        return MessagePackCodec.bytes(m);
    }

    /** An answer to a check-in, by its HTTP status; null for one that says nothing. */
    public static HeartbeatResponse heartbeat(int status, byte[] body) {
        try {
            if (status == 200) {
                DocumentReader document = DocumentReader.of(MessagePackCodec.value(body));
                return new HeartbeatResponse(document.count("baton"), orders(document), null);
            }
            if (status == 421) {
                return HeartbeatResponse.elsewhere(
                        DocumentReader.of(MessagePackCodec.value(body)).textOr("anchor", null));
            }
        } catch (InvalidInputException invalid) {
            return null;
        }
        return null;
    }

    public static Direct direct(Object body) {
        DocumentReader document = DocumentReader.of(body);
        return new Direct(document.count("baton"), document.count("tenure"), orders(document));
    }

    private static List<WorkerCommand> orders(DocumentReader t) {
        List<WorkerCommand> out = new ArrayList<>();
        for (DocumentReader o : t.children("orders")) {
            String sheet = o.text("sheet");
            int slash = sheet.lastIndexOf('/');
            WorkerCommand.Action verb =
                    switch (o.text("verb")) {
                        case "launch" -> WorkerCommand.Action.START;
                        case "halt" -> WorkerCommand.Action.STOP;
                        default -> WorkerCommand.Action.FORGET;
                    };
            out.add(
                    new WorkerCommand(
                            verb,
                            sheet.substring(0, slash),
                            Integer.parseInt(sheet.substring(slash + 1)),
                            o.count("try"),
                            o.numberOr("windDownS", 0, 0)));
        }
        return out;
    }
}
