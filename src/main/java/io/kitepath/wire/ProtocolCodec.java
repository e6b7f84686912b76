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
        DocumentReader document = DocumentReader.of(body);
        return new JobSpec(
                submittedId(body),
                name(document, "lane"),
                name(document, "crew"),
                shape(document.text("shape")),
                priority(document.text("urgency")),
                (int) document.integer("sheets", 1, MAX_TASKS),
                document.number("vcpus", 0),
                document.number("cards", 0),
                document.number("ramGb", 0),
                document.has("frames") ? document.texts("frames") : null,
                document.textOr("field", null),
                document.flag("oneZone"),
                document.flag("spread"),
                document.flag("loaners"),
                image(document),
                document.number("sizeGb", 0),
                document.number("expectS", 0),
                document.number("markEveryS", 0),
                document.number("markCostS", 0),
                document.has("dueS") ? document.number("dueS", 0) : null);
    }

    /** The jobs that have to be done before the submitted one starts, each once. */
    public static List<String> needs(Object body) {
        DocumentReader document = DocumentReader.of(body);
        if (!document.has("awaits")) {
            return List.of();
        }
        List<String> ids = document.texts("awaits");
        for (String id : ids) {
            if (!isJobId(id)) {
                throw new InvalidInputException("awaits: must be a list of ids such as j-000412");
            }
        }
        return JobRecord.distinct(ids);
    }

    private static String name(DocumentReader document, String field) {
        String s = document.text(field);
        if (s.isEmpty() || s.length() > 200) {
            throw new InvalidInputException(field + ": must have 1 to 200 characters");
        }
        return s;
    }

    private static String image(DocumentReader document) {
        String s = document.text("kit");
        if (s.isEmpty()) {
            throw document.complaint("kit", "must not be empty");
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

    public static byte[] jobState(JobStatus status, boolean brief) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("nameId", status.id());
        m.put("status", status.status().equals("cancelled") ? "withdrawn" : status.status());
        if (!brief) {
            m.put("done", (long) status.done());
            m.put("running", (long) status.running());
            if (status.note() != null) {
                m.put("note", status.note());
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
        for (WorkerCommand command : orders) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(
                    "verb",
                    switch (command.verb()) {
                        case START -> "launch";
                        case STOP -> "halt";
                        case FORGET -> "clear";
                    });
            m.put("sheet", command.job() + "/" + command.task());
            m.put("try", command.attempt());
            if (command.verb() == WorkerCommand.Action.STOP) {
                m.put("windDownS", command.graceS());
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
        for (DocumentReader document : DocumentReader.of(body).children("frames")) {
            out.add(
                    new MachineType(
                            document.text("name"),
                            document.number("vcpus", 0),
                            document.numberOr("cards", 0, 0),
                            document.number("ramGb", 0),
                            document.numberOr("localGb", 0, 0),
                            document.numberOr("pullGbPerS", 0, 0),
                            document.number("rate", 0),
                            document.numberOr("spotPrice", 0, document.number("rate", 0)),
                            document.number("readyS", 0),
                            document.texts("fields")));
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
        for (DocumentReader document : DocumentReader.of(body).children("hosts")) {
            out.add(
                    new Cloud.Listed(
                            document.text("nameId"),
                            document.text("frame"),
                            document.text("field"),
                            document.flag("loaners"),
                            document.text("status"),
                            document.numberOr("heldS", 0, 0)));
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

    private static Store.Entry entry(DocumentReader document) {
        return new Store.Entry(
                document.text("path"), document.raw("value"), document.count("stamp"));
    }

    public static List<Store.Entry> entries(Object body) {
        List<Store.Entry> out = new ArrayList<>();
        for (DocumentReader document : DocumentReader.of(body).children("entries")) {
            out.add(entry(document));
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
        for (DocumentReader document : DocumentReader.of(body).children("events")) {
            out.add(
                    document.has("remove")
                            ? new Store.Entry(
                                    document.text("remove"), null, document.count("stamp"))
                            : new Store.Entry(
                                    document.text("write"),
                                    document.raw("value"),
                                    document.count("stamp")));
        }
        return out;
    }

    public static byte[] transaction(Store.Transaction transaction) {
        List<Object> when = new ArrayList<>();
        for (Store.Condition condition : transaction.conditions()) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("path", condition.key());
            m.put("stamp", condition.revision());
            when.add(m);
        }
        List<Object> then = new ArrayList<>();
        for (Store.Write write : transaction.writes()) {
            Map<String, Object> m = new LinkedHashMap<>();
            if (write.value() == null) {
                m.put("remove", write.key());
            } else {
                m.put("write", write.key());
                m.put("value", write.value());
                if (write.lease() != 0) {
                    m.put("tether", write.lease());
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
