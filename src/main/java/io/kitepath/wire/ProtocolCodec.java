package io.kitepath.wire;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** The protocol's names. Nothing outside this package knows them. */
public final class ProtocolCodec {
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_JSON = 64 * 1024;
    private static final Pattern JOB_ID = Pattern.compile("j-[0-9]{1,18}");

    /** Why the state service refuses a write that hangs on a lease which is over. */
    public static final String NO_SUCH_LEASE = "no such lease";

    private ProtocolCodec() {}

    // ---- users ----------------------------------------------------------------------------------

    public static boolean isJobId(String id) {
        return JOB_ID.matcher(id).matches();
    }

    /** The job id in a submission; everything else may still be wrong. */
    public static String submittedId(Object body) {
        if (MessagePackCodec.jsonSize(body) > MAX_JSON) {
            throw new InvalidInputException("body: over 64 KiB");
        }
        String id = DocumentReader.of(body).text("nameId");
        if (!isJobId(id)) {
            throw new InvalidInputException("nameId: must look like j-000412");
        }
        return id;
    }

    public static JobSpec submission(Object body) {
        DocumentReader t = DocumentReader.of(body);
        return new JobSpec(
                submittedId(body),
                name(t, "lane"),
                name(t, "crew"),
                shape(t.text("shape")),
                priority(t.text("urgency")),
                (int) t.integer("sheets", 1, MAX_TASKS),
                t.number("vcpus", 0),
                t.number("cards", 0),
                t.number("ramGb", 0),
                t.has("frames") ? t.texts("frames") : null,
                t.textOr("field", null),
                t.flag("oneZone"),
                t.flag("spread"),
                t.flag("loaners"),
                image(t),
                t.number("sizeGb", 0),
                t.number("expectS", 0),
                t.number("markEveryS", 0),
                t.number("markCostS", 0),
                t.has("dueS") ? t.number("dueS", 0) : null);
    }

    /** The jobs that have to be done before the submitted one starts, each once. */
    public static List<String> needs(Object body) {
        DocumentReader t = DocumentReader.of(body);
        if (!t.has("awaits")) {
            return List.of();
        }
        List<String> ids = t.texts("awaits");
        for (String id : ids) {
            if (!isJobId(id)) {
                throw new InvalidInputException("awaits: must be a list of ids such as j-000412");
            }
        }
        return JobRecord.distinct(ids);
    }

    private static String name(DocumentReader t, String field) {
        String s = t.text(field);
        if (s.isEmpty() || s.length() > 200) {
            throw new InvalidInputException(field + ": must have 1 to 200 characters");
        }
        return s;
    }

    private static String image(DocumentReader t) {
        String s = t.text("kit");
        if (s.isEmpty()) {
            throw t.complaint("kit", "must not be empty");
        }
        return s;
    }

    private static JobSpec.Shape shape(String s) {
        return switch (s) {
            case "array" -> JobSpec.Shape.ARRAY;
            case "group" -> JobSpec.Shape.GANG;
            case "service" -> JobSpec.Shape.SERVICE;
            default -> throw new InvalidInputException("shape: must be array, group or service");
        };
    }

    private static JobSpec.Priority priority(String s) {
        return switch (s) {
            case "production" -> JobSpec.Priority.PRODUCTION;
            case "high" -> JobSpec.Priority.HIGH;
            case "standard" -> JobSpec.Priority.NORMAL;
            case "low" -> JobSpec.Priority.LOW;
            default ->
                    throw new InvalidInputException(
                            "urgency: must be production, high, standard or low");
        };
    }

    public static byte[] jobState(JobStatus s, boolean brief) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("nameId", s.id());
        m.put("status", s.status().equals("cancelled") ? "withdrawn" : s.status());
        if (!brief) {
            m.put("done", (long) s.done());
            m.put("running", (long) s.running());
            if (s.note() != null) {
                m.put("note", s.note());
            }
        }
        return MessagePackCodec.bytes(m);
    }

    public static byte[] error(String why) {
        return MessagePackCodec.bytes(Map.of("error", why));
    }

    // ---- workers --------------------------------------------------------------------------------

    public static Heartbeat report(Object body) {
        DocumentReader t = DocumentReader.of(body);
        List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
        for (DocumentReader x : t.children("sheets")) {
            String sheet = x.text("sheet");
            int slash = sheet.lastIndexOf('/');
            int task;
            try {
                task = Integer.parseInt(sheet.substring(slash + 1));
            } catch (NumberFormatException e) {
                throw new InvalidInputException("sheet: must look like j-000412/3");
            }
            if (slash < 1) {
                throw new InvalidInputException("sheet: must look like j-000412/3");
            }
            Heartbeat.TaskState state = state(x.text("status"));
            tasks.add(
                    new Heartbeat.TaskStatus(
                            sheet.substring(0, slash),
                            task,
                            x.count("try"),
                            state,
                            state == Heartbeat.TaskState.ENDED
                                    ? cause(x.textOr("cause", ""))
                                    : null));
        }
        return new Heartbeat(
                t.text("host"),
                t.textOr("addr", ""),
                t.text("frame"),
                t.text("field"),
                t.flag("loaners"),
                t.count("tenure"),
                t.count("tick"),
                t.count("baton"),
                t.has("recallS") ? t.number("recallS", 0) : null,
                tasks);
    }

    private static Heartbeat.TaskState state(String s) {
        return switch (s) {
            case "pulling" -> Heartbeat.TaskState.FETCHING;
            case "waiting" -> Heartbeat.TaskState.WAITING;
            case "saving" -> Heartbeat.TaskState.SAVING;
            case "ended" -> Heartbeat.TaskState.ENDED;
            // A state that we don't know is never taken as proof that the task is gone.
            default -> Heartbeat.TaskState.RUNNING;
        };
    }

    private static Heartbeat.EndCause cause(String s) {
        return switch (s) {
            case "done" -> Heartbeat.EndCause.DONE;
            case "halted" -> Heartbeat.EndCause.STOPPED;
            case "peers" -> Heartbeat.EndCause.PEERS;
            case "alone" -> Heartbeat.EndCause.ALONE;
            case "full" -> Heartbeat.EndCause.NO_ROOM;
            case "in_use" -> Heartbeat.EndCause.BUSY;
            case "unknown" -> Heartbeat.EndCause.UNKNOWN;
            default -> Heartbeat.EndCause.ERROR;
        };
    }

    public static byte[] orders(long token, List<WorkerCommand> orders) {
        return MessagePackCodec.bytes(commands(token, orders));
    }

    /** Commands straight to a worker, for one session of it. */
    public static byte[] direct(long token, long session, List<WorkerCommand> orders) {
        Map<String, Object> m = commands(token, orders);
        m.put("tenure", session);
        return MessagePackCodec.bytes(m);
    }

    private static Map<String, Object> commands(long token, List<WorkerCommand> orders) {
        List<Object> list = new ArrayList<>(orders.size());
        for (WorkerCommand o : orders) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(
                    "verb",
                    switch (o.verb()) {
                        case START -> "launch";
                        case STOP -> "halt";
                        case FORGET -> "clear";
                    });
            m.put("sheet", o.job() + "/" + o.task());
            m.put("try", o.attempt());
            if (o.verb() == WorkerCommand.Action.STOP) {
                m.put("windDownS", o.graceS());
            }
            list.add(m);
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("baton", token);
        m.put("orders", list);
        return m;
    }

    public static byte[] anchor(String node) {
        return MessagePackCodec.bytes(node == null ? Map.of() : Map.of("anchor", node));
    }

    // ---- cloud ----------------------------------------------------------------------------------

    public static List<MachineType> types(Object body) {
        List<MachineType> out = new ArrayList<>();
        for (DocumentReader t : DocumentReader.of(body).children("frames")) {
            out.add(
                    new MachineType(
                            t.text("name"),
                            t.number("vcpus", 0),
                            t.numberOr("cards", 0, 0),
                            t.number("ramGb", 0),
                            t.numberOr("localGb", 0, 0),
                            t.numberOr("pullGbPerS", 0, 0),
                            t.number("rate", 0),
                            t.numberOr("spotPrice", 0, t.number("rate", 0)),
                            t.number("readyS", 0),
                            t.texts("fields")));
        }
        return out;
    }

    public static byte[] rental(String name, MachineKind kind, int count) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("hire", name);
        m.put("frame", kind.type());
        m.put("field", kind.zone());
        m.put("loaners", kind.spot());
        m.put("count", (long) count);
        return MessagePackCodec.bytes(m);
    }

    public static byte[] machines(List<String> names) {
        return MessagePackCodec.bytes(Map.of("hosts", names));
    }

    public static List<String> machineNames(Object body) {
        return DocumentReader.of(body).texts("hosts");
    }

    public static List<Cloud.Listed> listed(Object body) {
        List<Cloud.Listed> out = new ArrayList<>();
        for (DocumentReader t : DocumentReader.of(body).children("hosts")) {
            out.add(
                    new Cloud.Listed(
                            t.text("nameId"),
                            t.text("frame"),
                            t.text("field"),
                            t.flag("loaners"),
                            t.text("status"),
                            t.numberOr("heldS", 0, 0)));
        }
        return out;
    }

    public static boolean truncated(Object body) {
        return DocumentReader.of(body).has("truncated")
                && DocumentReader.of(body).flag("truncated");
    }

    // ---- state service --------------------------------------------------------------------------

    public static Store.Entry entry(Object body) {
        return entry(DocumentReader.of(body));
    }

    private static Store.Entry entry(DocumentReader t) {
        return new Store.Entry(t.text("path"), t.raw("value"), t.count("stamp"));
    }

    public static List<Store.Entry> entries(Object body) {
        List<Store.Entry> out = new ArrayList<>();
        for (DocumentReader t : DocumentReader.of(body).children("entries")) {
            out.add(entry(t));
        }
        return out;
    }

    public static long revision(Object body) {
        return DocumentReader.of(body).count("epoch");
    }

    public static long lease(Object body) {
        return DocumentReader.of(body).count("tether");
    }

    public static byte[] leaseLife(long ms) {
        return MessagePackCodec.bytes(Map.of("lifeMs", ms));
    }

    /** Why a request was refused, empty if it does not say. */
    public static String reason(Object body) {
        return DocumentReader.of(body).textOr("error", "");
    }

    public static List<String> failed(Object body) {
        return DocumentReader.of(body).texts("failed");
    }

    public static List<Store.Entry> events(Object body) {
        List<Store.Entry> out = new ArrayList<>();
        for (DocumentReader t : DocumentReader.of(body).children("events")) {
            out.add(
                    t.has("remove")
                            ? new Store.Entry(t.text("remove"), null, t.count("stamp"))
                            : new Store.Entry(t.text("write"), t.raw("value"), t.count("stamp")));
        }
        return out;
    }

    public static byte[] transaction(Store.Transaction t) {
        List<Object> when = new ArrayList<>();
        for (Store.Condition c : t.conditions()) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("path", c.key());
            m.put("stamp", c.revision());
            when.add(m);
        }
        List<Object> then = new ArrayList<>();
        for (Store.Write w : t.writes()) {
            Map<String, Object> m = new LinkedHashMap<>();
            if (w.value() == null) {
                m.put("remove", w.key());
            } else {
                m.put("write", w.key());
                m.put("value", w.value());
                if (w.lease() != 0) {
                    m.put("tether", w.lease());
                }
            }
            then.add(m);
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("when", when);
        if (!then.isEmpty()) {
            m.put("then", then);
        }
        return MessagePackCodec.bytes(m);
    }
}
