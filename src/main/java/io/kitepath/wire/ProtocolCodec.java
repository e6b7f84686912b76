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
    private static final int MAX_TASKS_PER_JOB = 100_000;
    private static final int MAX_SUBMISSION_BYTES = 64 * 1024;
    private static final Pattern JOB_ID = Pattern.compile("j-[0-9]{1,18}");

    /** Why the state service refuses a write that hangs on a lease which is over. */
    public static final String NO_SUCH_LEASE = "no such lease";

    private ProtocolCodec() {}

    // ---- users ----------------------------------------------------------------------------------

    public static boolean isJobId(String id) {
        return JOB_ID.matcher(id).matches();
    }

    /** The job id in a submission; everything else may still be wrong. */
    public static String decodeSubmittedId(Object body) {
        if (MessagePackCodec.approximateJsonSize(body) > MAX_SUBMISSION_BYTES) {
            throw new InvalidInputException("body: over 64 KiB");
        }
        String id = DocumentReader.of(body).text("nameId");
        if (!isJobId(id)) {
            throw new InvalidInputException("nameId: must look like j-000412");
        }
        return id;
    }

    public static JobSpec decodeSubmission(Object body) {
        DocumentReader document = DocumentReader.of(body);
        return new JobSpec(
                decodeSubmittedId(body),
                readName(document, "lane"),
                readName(document, "crew"),
                parseShape(document.text("shape")),
                parsePriority(document.text("urgency")),
                (int) document.integer("sheets", 1, MAX_TASKS_PER_JOB),
                document.number("vcpus", 0),
                document.number("cards", 0),
                document.number("ramGb", 0),
                document.has("frames") ? document.texts("frames") : null,
                document.textOr("field", null),
                document.flag("oneZone"),
                document.flag("spread"),
                document.flag("loaners"),
                readImage(document),
                document.number("sizeGb", 0),
                document.number("expectS", 0),
                document.number("markEveryS", 0),
                document.number("markCostS", 0),
                document.has("dueS") ? document.number("dueS", 0) : null);
    }

    /** The jobs that have to be done before the submitted one starts, each once. */
    public static List<String> decodeDependencies(Object body) {
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
        return JobRecord.distinctSorted(ids);
    }

    private static String readName(DocumentReader document, String field) {
        String s = document.text(field);
        if (s.isEmpty() || s.length() > 200) {
            throw new InvalidInputException(field + ": must have 1 to 200 characters");
        }
        return s;
    }

    private static String readImage(DocumentReader document) {
        String s = document.text("kit");
        if (s.isEmpty()) {
            throw document.invalid("kit", "must not be empty");
        }
        return s;
    }

    private static JobSpec.Shape parseShape(String s) {
        return switch (s) {
            case "array" -> JobSpec.Shape.ARRAY;
            case "group" -> JobSpec.Shape.GANG;
            case "service" -> JobSpec.Shape.SERVICE;
            default -> throw new InvalidInputException("shape: must be array, group or service");
        };
    }

    private static JobSpec.Priority parsePriority(String s) {
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

    public static byte[] encodeJobStatus(JobStatus status, boolean brief) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("nameId", status.jobId());
        m.put("status", status.status().equals("cancelled") ? "withdrawn" : status.status());
        if (!brief) {
            m.put("done", (long) status.doneTaskCount());
            m.put("running", (long) status.runningTaskCount());
            if (status.note() != null) {
                m.put("note", status.note());
            }
        }
        return MessagePackCodec.encode(m);
    }

    public static byte[] encodeError(String why) {
        return MessagePackCodec.encode(Map.of("error", why));
    }

    // ---- workers --------------------------------------------------------------------------------

    public static Heartbeat decodeHeartbeat(Object body) {
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
            Heartbeat.TaskState state = parseTaskState(x.text("status"));
            tasks.add(
                    new Heartbeat.TaskStatus(
                            sheet.substring(0, slash),
                            task,
                            x.count("try"),
                            state,
                            state == Heartbeat.TaskState.ENDED
                                    ? parseEndCause(x.textOr("cause", ""))
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

    private static Heartbeat.TaskState parseTaskState(String s) {
        return switch (s) {
            case "pulling" -> Heartbeat.TaskState.FETCHING_IMAGE;
            case "waiting" -> Heartbeat.TaskState.WAITING_FOR_GANG;
            case "saving" -> Heartbeat.TaskState.SAVING_CHECKPOINT;
            case "ended" -> Heartbeat.TaskState.ENDED;
            // A state that we don't know is never taken as proof that the task is gone.
            default -> Heartbeat.TaskState.RUNNING;
        };
    }

    private static Heartbeat.EndCause parseEndCause(String s) {
        return switch (s) {
            case "done" -> Heartbeat.EndCause.DONE;
            case "halted" -> Heartbeat.EndCause.STOPPED;
            case "peers" -> Heartbeat.EndCause.GANG_PEER_LOST;
            case "alone" -> Heartbeat.EndCause.GANG_START_TIMEOUT;
            case "full" -> Heartbeat.EndCause.INSUFFICIENT_RESOURCES;
            case "in_use" -> Heartbeat.EndCause.OTHER_ATTEMPT_PRESENT;
            case "unknown" -> Heartbeat.EndCause.UNKNOWN_TASK;
            default -> Heartbeat.EndCause.ERROR;
        };
    }

    public static byte[] encodeCommands(long token, List<WorkerCommand> orders) {
        return MessagePackCodec.encode(commandFields(token, orders));
    }

    /** Commands straight to a worker, for one session of it. */
    public static byte[] encodeDirectCommands(
            long token, long session, List<WorkerCommand> orders) {
        Map<String, Object> m = commandFields(token, orders);
        m.put("tenure", session);
        return MessagePackCodec.encode(m);
    }

    private static Map<String, Object> commandFields(long token, List<WorkerCommand> orders) {
        List<Object> list = new ArrayList<>(orders.size());
        for (WorkerCommand command : orders) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(
                    "verb",
                    switch (command.action()) {
                        case START -> "launch";
                        case STOP -> "halt";
                        case FORGET -> "clear";
                    });
            m.put("sheet", command.jobId() + "/" + command.task());
            m.put("try", command.attempt());
            if (command.action() == WorkerCommand.Action.STOP) {
                m.put("windDownS", command.graceSeconds());
            }
            list.add(m);
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("baton", token);
        m.put("orders", list);
        return m;
    }

    public static byte[] encodeRedirect(String node) {
        return MessagePackCodec.encode(node == null ? Map.of() : Map.of("anchor", node));
    }

    // ---- cloud ----------------------------------------------------------------------------------

    public static List<MachineType> decodeMachineTypes(Object body) {
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

    public static byte[] encodeRental(String name, MachineKind kind, int count) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("hire", name);
        m.put("frame", kind.machineType());
        m.put("field", kind.zone());
        m.put("loaners", kind.spot());
        m.put("count", (long) count);
        return MessagePackCodec.encode(m);
    }

    public static byte[] encodeMachineIds(List<String> names) {
        return MessagePackCodec.encode(Map.of("hosts", names));
    }

    public static List<String> decodeMachineIds(Object body) {
        return DocumentReader.of(body).texts("hosts");
    }

    public static List<Cloud.ListedMachine> decodeListedMachines(Object body) {
        List<Cloud.ListedMachine> out = new ArrayList<>();
        for (DocumentReader document : DocumentReader.of(body).children("hosts")) {
            out.add(
                    new Cloud.ListedMachine(
                            document.text("nameId"),
                            document.text("frame"),
                            document.text("field"),
                            document.flag("loaners"),
                            document.text("status"),
                            document.numberOr("heldS", 0, 0)));
        }
        return out;
    }

    public static boolean isTruncated(Object body) {
        return DocumentReader.of(body).has("truncated")
                && DocumentReader.of(body).flag("truncated");
    }

    // ---- state service --------------------------------------------------------------------------

    public static Store.Entry decodeEntry(Object body) {
        return decodeEntry(DocumentReader.of(body));
    }

    private static Store.Entry decodeEntry(DocumentReader document) {
        return new Store.Entry(
                document.text("path"), document.raw("value"), document.count("stamp"));
    }

    public static List<Store.Entry> decodeEntries(Object body) {
        List<Store.Entry> out = new ArrayList<>();
        for (DocumentReader document : DocumentReader.of(body).children("entries")) {
            out.add(decodeEntry(document));
        }
        return out;
    }

    public static long decodeRevision(Object body) {
        return DocumentReader.of(body).count("epoch");
    }

    public static long decodeLeaseId(Object body) {
        return DocumentReader.of(body).count("tether");
    }

    public static byte[] encodeLeaseDuration(long ms) {
        return MessagePackCodec.encode(Map.of("lifeMs", ms));
    }

    /** Why a request was refused, empty if it does not say. */
    public static String decodeErrorReason(Object body) {
        return DocumentReader.of(body).textOr("error", "");
    }

    public static List<String> decodeFailedKeys(Object body) {
        return DocumentReader.of(body).texts("failed");
    }

    public static List<Store.Entry> decodeEvents(Object body) {
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

    public static byte[] encodeTransaction(Store.Transaction transaction) {
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
                if (write.leaseId() != 0) {
                    m.put("tether", write.leaseId());
                }
            }
            then.add(m);
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("when", when);
        if (!then.isEmpty()) {
            m.put("then", then);
        }
        return MessagePackCodec.encode(m);
    }
}
