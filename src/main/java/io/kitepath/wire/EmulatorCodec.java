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

    public static byte[] entry(Store.Entry e) {
        return MessagePackCodec.bytes(shown(e));
    }

    private static Map<String, Object> shown(Store.Entry e) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("path", e.key());
        m.put("value", e.value());
        m.put("stamp", e.revision());
        return m;
    }

    public static byte[] listing(Store.ListResult l) {
        return MessagePackCodec.bytes(
                Map.of(
                        "entries",
                        l.entries().stream().map(EmulatorCodec::shown).toList(),
                        "truncated",
                        l.more(),
                        "epoch",
                        l.revision()));
    }

    public static byte[] committed(Store.CommitResult c) {
        return MessagePackCodec.bytes(
                c.outcome() == Store.Outcome.OK
                        ? Map.of("epoch", c.revision())
                        : Map.of("failed", c.failed(), "epoch", c.revision()));
    }

    public static byte[] changes(Store.WatchResult c) {
        List<Object> events = new ArrayList<>();
        for (Store.Entry e : c.events()) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(e.value() == null ? "remove" : "write", e.key());
            if (e.value() != null) {
                m.put("value", e.value());
            }
            m.put("stamp", e.revision());
            events.add(m);
        }
        return MessagePackCodec.bytes(Map.of("epoch", c.revision(), "events", events));
    }

    public static byte[] lease(long id) {
        return MessagePackCodec.bytes(Map.of("tether", id));
    }

    // ---- cloud ----------------------------------------------------------------------------------

    public static byte[] types(List<MachineType> types) {
        List<Object> list = new ArrayList<>();
        for (MachineType t : types) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("name", t.name());
            m.put("vcpus", t.cpus());
            m.put("cards", t.gpus());
            m.put("ramGb", t.memoryGb());
            m.put("localGb", t.cacheGb());
            m.put("pullGbPerS", t.fetchGbPerS());
            m.put("rate", t.price());
            m.put("spotPrice", t.spotPrice());
            m.put("readyS", t.bootS());
            m.put("fields", t.zones());
            list.add(m);
        }
        return MessagePackCodec.bytes(Map.of("frames", list));
    }

    public static Rent rent(Object body) {
        DocumentReader t = DocumentReader.of(body);
        return new Rent(
                t.text("hire"),
                t.text("frame"),
                t.text("field"),
                t.flag("loaners"),
                (int) t.integer("count", 1, 50));
    }

    public static byte[] machines(List<Cloud.Listed> list, boolean more) {
        List<Object> out = new ArrayList<>();
        for (Cloud.Listed l : list) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("nameId", l.machine());
            m.put("addr", "");
            m.put("frame", l.type());
            m.put("field", l.zone());
            m.put("loaners", l.spot());
            m.put("status", l.status());
            m.put("heldS", l.heldS());
            out.add(m);
        }
        return MessagePackCodec.bytes(Map.of("hosts", out, "truncated", more));
    }

    // ---- workers --------------------------------------------------------------------------------

    public static byte[] report(Heartbeat r) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("host", r.machine());
        m.put("addr", r.address());
        m.put("frame", r.type());
        m.put("field", r.zone());
        m.put("loaners", r.spot());
        m.put("tenure", r.session());
        m.put("tick", r.sequence());
        m.put("baton", r.token());
        m.put("recallS", r.noticeS());
        List<Object> tasks = new ArrayList<>();
        for (Heartbeat.TaskStatus t : r.tasks()) {
            Map<String, Object> x = new LinkedHashMap<>();
            x.put("sheet", t.job() + "/" + t.task());
            x.put("try", t.attempt());
            x.put(
                    "status",
                    switch (t.state()) {
                        case FETCHING -> "pulling";
                        case WAITING -> "waiting";
                        case SAVING -> "saving";
                        case ENDED -> "ended";
                        default -> "running";
                    });
            if (t.cause() != null) {
                x.put(
                        "cause",
                        switch (t.cause()) {
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
                DocumentReader t = DocumentReader.of(MessagePackCodec.value(body));
                return new HeartbeatResponse(t.count("baton"), orders(t), null);
            }
            if (status == 421) {
                return HeartbeatResponse.elsewhere(
                        DocumentReader.of(MessagePackCodec.value(body)).textOr("anchor", null));
            }
        } catch (InvalidInputException e) {
            return null;
        }
        return null;
    }

    public static Direct direct(Object body) {
        DocumentReader t = DocumentReader.of(body);
        return new Direct(t.count("baton"), t.count("tenure"), orders(t));
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
