package io.kitepath.wire;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Workers' heartbeats and the commands that they get, as a controller node reads and writes. */
public final class WorkerCodec {
    private WorkerCodec() {}

    /**
     * Reads a heartbeat.
     *
     * @throws InvalidInputException with the first field that is wrong
     */
    public static Heartbeat decodeHeartbeat(Object body) {
        DocumentReader document = DocumentReader.of(body);
        List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
        for (DocumentReader status : document.children("sheets")) {
            tasks.add(decodeTaskStatus(status));
        }
        return new Heartbeat(
                document.text("host"),
                document.textOr("addr", ""),
                document.text("frame"),
                document.text("field"),
                document.flag("loaners"),
                document.count("tenure"),
                document.count("tick"),
                document.count("baton"),
                document.has("recallS") ? document.number("recallS", 0) : null,
                tasks);
    }

    private static Heartbeat.TaskStatus decodeTaskStatus(DocumentReader document) {
        TaskReference reference = TaskReference.parse(document.text("sheet"));
        Heartbeat.TaskState state = WorkerTerms.parseTaskState(document.text("status"));
        return new Heartbeat.TaskStatus(
                reference.jobId(),
                reference.task(),
                document.count("try"),
                state,
                state == Heartbeat.TaskState.ENDED
                        ? WorkerTerms.parseEndCause(document.textOr("cause", ""))
                        : null);
    }

    /** The answer to a heartbeat by a node that is entitled to give it. */
    public static byte[] encodeCommands(long fencingToken, List<WorkerCommand> commands) {
        return MessagePackCodec.encode(commandFields(fencingToken, commands));
    }

    /** Commands sent straight to a worker, for one incarnation of its agent. */
    public static byte[] encodeDirectCommands(
            long fencingToken, long agentIncarnation, List<WorkerCommand> commands) {
        Map<String, Object> fields = commandFields(fencingToken, commands);
        fields.put("tenure", agentIncarnation);
        return MessagePackCodec.encode(fields);
    }

    /**
     * The answer to a heartbeat by a node that may not give commands.
     *
     * @param node the node to report to, or null for any other
     */
    public static byte[] encodeRedirect(String node) {
        return MessagePackCodec.encode(node == null ? Map.of() : Map.of("anchor", node));
    }

    private static Map<String, Object> commandFields(
            long fencingToken, List<WorkerCommand> commands) {
        List<Object> encoded = new ArrayList<>(commands.size());
        for (WorkerCommand command : commands) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("verb", WorkerTerms.of(command.action()));
            fields.put("sheet", new TaskReference(command.jobId(), command.task()).toString());
            fields.put("try", command.attempt());
            if (command.action() == WorkerCommand.Action.STOP) {
                fields.put("windDownS", command.graceSeconds());
            }
            encoded.add(fields);
        }
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("baton", fencingToken);
        message.put("orders", encoded);
        return message;
    }
}
