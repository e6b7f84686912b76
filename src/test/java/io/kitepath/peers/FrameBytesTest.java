package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.WorkerCommand;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The bytes of every kind of message between nodes and between cells, in both directions.
 *
 * <p>The expected bytes in {@code frames/golden.txt} were written by the code before its
 * serializers became explicit, when the order of the fields came from the names of the record
 * components. Nodes of different versions talk to each other, so these bytes never change: a
 * message that needs another form becomes another message.
 */
class FrameBytesTest {
    private static final String LONG_TEXT = "waits for room; ".repeat(20);
    private static final String UNICODE_TEXT = "z\u00fcrich \u2192 \u6771\u4eac \ud83d\ude80";

    private final Map<String, byte[]> golden = golden();

    private static Map<String, byte[]> golden() {
        Map<String, byte[]> bytesByName = new LinkedHashMap<>();
        try (InputStream in = FrameBytesTest.class.getResourceAsStream("/frames/golden.txt")) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            for (String line : text.split("\n")) {
                int space = line.indexOf(' ');
                byte[] bytes = HexFormat.of().parseHex(line.substring(space + 1));
                bytesByName.put(line.substring(0, space), bytes);
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return bytesByName;
    }

    /** Every message of the golden file, by its name there. */
    static Map<String, Object> messages() {
        Map<String, Object> messages = new LinkedHashMap<>(betweenNodes());
        cellMessages()
                .forEach(
                        (name, message) -> {
                            messages.put("askCell." + name, new Messages.AskCell(9, message));
                            messages.put("answerCell." + name, new Messages.AnswerCell(9, message));
                        });
        return messages;
    }

    private static Map<String, Object> betweenNodes() {
        Map<String, Object> messages = new LinkedHashMap<>();
        messages.put("view.follower", new Messages.View("kite-1", 41, false, true));
        messages.put("view.leader", new Messages.View("kite-2", 1L << 40, true, false));
        messages.put("view.absent", new Messages.View(null, -1, false, false));
        messages.put(
                "over.note",
                new Messages.Over(new JobStatus("j-1", "cancelled", 3, 17, LONG_TEXT)));
        messages.put("over.plain", new Messages.Over(new JobStatus("j-1", "done", 300, 0)));
        messages.put("over.nothing", new Messages.Over(null));
        messages.put("over.absent", new Messages.Over(new JobStatus(null, null, -1, -300, null)));
        putReports(messages);
        putAnswers(messages);
        putProgress(messages);
        messages.put(
                "digest.jobs",
                new Messages.Digest("kite-1", 1000.5, 1.7e12, List.of("j-1", "j-000412")));
        messages.put("digest.empty", new Messages.Digest(null, 0, -1, List.of()));
        return messages;
    }

    private static void putReports(Map<String, Object> messages) {
        List<Heartbeat.TaskStatus> inEveryState = new ArrayList<>();
        for (Heartbeat.TaskState state : Heartbeat.TaskState.values()) {
            inEveryState.add(
                    new Heartbeat.TaskStatus("j-1", state.ordinal(), 1L << 35, state, null));
        }
        messages.put("ask.states", new Messages.Ask(5, report(12.5, inEveryState), true));
        List<Heartbeat.TaskStatus> ofEveryCause = new ArrayList<>();
        for (Heartbeat.EndCause cause : Heartbeat.EndCause.values()) {
            ofEveryCause.add(
                    new Heartbeat.TaskStatus("j-2", 1000, 2, Heartbeat.TaskState.ENDED, cause));
        }
        messages.put("ask.causes", new Messages.Ask(1L << 50, report(null, ofEveryCause), false));
        messages.put("ask.noTasks", new Messages.Ask(6, report(0.0, List.of()), false));
        Heartbeat.TaskStatus absentTask = new Heartbeat.TaskStatus(null, -1, -2, null, null);
        messages.put(
                "ask.absent",
                new Messages.Ask(
                        -3,
                        new Heartbeat(
                                null,
                                null,
                                null,
                                null,
                                false,
                                -1,
                                -2,
                                -3,
                                null,
                                Arrays.asList(absentTask, null)),
                        false));
    }

    private static Heartbeat report(Double noticeS, List<Heartbeat.TaskStatus> tasks) {
        return new Heartbeat(
                "i-000231", "10.1.0.232:9000", "g8", "a", true, 3, 88, 41, noticeS, tasks);
    }

    private static void putAnswers(Map<String, Object> messages) {
        List<WorkerCommand> ofEveryVerb = new ArrayList<>();
        for (WorkerCommand.Action action : WorkerCommand.Action.values()) {
            ofEveryVerb.add(
                    new WorkerCommand(action, "j-000412", 4 + action.ordinal(), 200, 10.25));
        }
        messages.put(
                "answer.verbs",
                new Messages.Answer(5, new HeartbeatResponse(41, ofEveryVerb, null)));
        messages.put(
                "answer.elsewhere",
                new Messages.Answer(6, new HeartbeatResponse(0, List.of(), "kite-2")));
        messages.put(
                "answer.absent",
                new Messages.Answer(
                        8,
                        new HeartbeatResponse(
                                -1,
                                Arrays.asList(new WorkerCommand(null, null, -1, -2, -0.5), null),
                                null)));
    }

    private static void putProgress(Map<String, Object> messages) {
        messages.put("askProgress.jobs", new Messages.AskProgress(6, List.of("j-1", "j-000398")));
        messages.put(
                "askProgress.texts",
                new Messages.AskProgress(
                        7, Arrays.asList("", "a", null, LONG_TEXT, UNICODE_TEXT, "abc")));
        messages.put("askProgress.empty", new Messages.AskProgress(8, List.of()));
        messages.put(
                "answerProgress.jobs",
                new Messages.AnswerProgress(
                        6,
                        List.of(
                                new JobProgress("j-1", 3, 13, "waits"),
                                new JobProgress("j-2", 0, 100_000, null))));
        messages.put(
                "answerProgress.absent",
                new Messages.AnswerProgress(
                        7, Arrays.asList(new JobProgress(null, -1, -2, null), null)));
        messages.put(
                "answerProgress.readsDigests",
                new Messages.AnswerProgress(Messages.READS_DIGESTS, List.of()));
    }

    private static Map<String, CellMessage> cellMessages() {
        Map<String, CellMessage> messages = new LinkedHashMap<>();
        messages.put("nothing", null);
        messages.put("elsewhere", new CellMessage.Redirect("kite-1"));
        messages.put("elsewhere.unknown", new CellMessage.Redirect(null));
        messages.put("grant", new CellMessage.QuotaGrant("east", 8, 7, "red", 1, 2000));
        messages.put("grant.absent", new CellMessage.QuotaGrant(null, -8, -7, null, -1, -2000));
        messages.put("granted", new CellMessage.QuotaGrantAccepted(1L << 45));
        messages.put("recall.back", new CellMessage.LoanRecall("east", 8, 7, false));
        messages.put("recall.kill", new CellMessage.LoanRecall(null, 1L << 40, 300, true));
        messages.put("settled", new CellMessage.LoanSettled(8, 9));
        for (CellMessage.LoanState standing : CellMessage.LoanState.values()) {
            messages.put(
                    "word." + standing,
                    new CellMessage.LoanStatus("west", 8, standing, new byte[] {3, 1, -1}, 400));
        }
        messages.put("word.noneDone", new CellMessage.LoanStatus("west", 8, null, new byte[0], 4));
        messages.put("word.absent", new CellMessage.LoanStatus(null, 8, null, null, -4));
        messages.put(
                "userAnswer",
                new CellMessage.UserResponse(
                        "KNOWN", new JobStatus("j-1", "running", 1, 2, "waits")));
        messages.put("userAnswer.noState", new CellMessage.UserResponse("UNKNOWN", null));
        messages.put("userAnswer.absent", new CellMessage.UserResponse(null, null));
        putSummaries(messages);
        putJobs(messages);
        return messages;
    }

    private static void putSummaries(Map<String, CellMessage> messages) {
        CellMessage.FreeCapacity spot =
                new CellMessage.FreeCapacity(new MachineKind("m4", "a", true), 12, 0.5, 40, 3);
        CellMessage.FreeCapacity onDemand =
                new CellMessage.FreeCapacity(new MachineKind(null, "b", false), 0, 800, 1e6, 1000);
        CellMessage.FreeCapacity ofNoKind = new CellMessage.FreeCapacity(null, 1, 2, 3, -1);
        List<CellMessage.QuotaShare> shares =
                List.of(
                        new CellMessage.QuotaShare("red", 0, 4000, 1000, 30, 20, 10, 1.5),
                        new CellMessage.QuotaShare(null, 1, -1, 1L << 40, -3, -4, -5, -1.5));
        messages.put(
                "summary",
                new CellMessage.Summary(
                        "east",
                        "kite-0",
                        3,
                        true,
                        List.of(spot, onDemand, ofNoKind),
                        Arrays.asList(0.0, 4.5, null),
                        Arrays.asList("west", null),
                        shares));
        messages.put(
                "summary.absent",
                new CellMessage.Summary(
                        null, null, -3, false, List.of(), List.of(), List.of(), List.of()));
        messages.put(
                "summary.nullElements",
                new CellMessage.Summary(
                        "north",
                        null,
                        1L << 33,
                        false,
                        Arrays.asList((CellMessage.FreeCapacity) null),
                        List.of(),
                        List.of(),
                        Arrays.asList((CellMessage.QuotaShare) null)));
    }

    private static void putJobs(Map<String, CellMessage> messages) {
        for (JobSpec.Shape shape : JobSpec.Shape.values()) {
            JobSpec job = job(shape, JobSpec.Priority.HIGH, List.of("g8", "m4"), 900.0);
            messages.put(
                    "offer." + shape,
                    new CellMessage.LoanOffer("north", 4, 2, job, 1000.5, 0, 16, 3));
        }
        for (JobSpec.Priority priority : JobSpec.Priority.values()) {
            JobSpec job = job(JobSpec.Shape.ARRAY, priority, null, null);
            messages.put(
                    "userAsk." + priority,
                    new CellMessage.UserRequest(CellMessage.RequestKind.SUBMIT, "j-1", job));
        }
        messages.put(
                "offer.absent",
                new CellMessage.LoanOffer(null, 1L << 40, -2, null, -0.5, -1, -16, -3));
        for (CellMessage.RequestKind kind : CellMessage.RequestKind.values()) {
            messages.put("userAsk." + kind, new CellMessage.UserRequest(kind, "j-000412", null));
        }
        JobSpec absent =
                new JobSpec(
                        null, null, null, null, null, -1, -1, -2, -3, List.of(), null, false, true,
                        false, null, -4, -5, -6, -7, null);
        messages.put(
                "userAsk.spot",
                new CellMessage.UserRequest(CellMessage.RequestKind.SUBMIT, "j-2", spotJob()));
        messages.put("userAsk.absent", new CellMessage.UserRequest(null, null, absent));
    }

    /** Unlike {@link #job}, with another value for each flag that has one there. */
    private static JobSpec spotJob() {
        return new JobSpec(
                "j-2",
                "serve",
                "web",
                JobSpec.Shape.SERVICE,
                JobSpec.Priority.LOW,
                1,
                0.5,
                0,
                2,
                List.of("m4"),
                null,
                false,
                true,
                true,
                "img-1",
                0,
                1,
                2,
                3,
                4.0);
    }

    private static JobSpec job(
            JobSpec.Shape shape, JobSpec.Priority priority, List<String> types, Double deadlineS) {
        return new JobSpec(
                "j-000412",
                "train",
                "vision",
                shape,
                priority,
                300,
                8,
                1,
                64.5,
                types,
                "a",
                true,
                false,
                true,
                "img-07",
                6.2,
                240,
                30,
                4,
                deadlineS);
    }

    @Test
    void theGoldenFileHasEveryMessageAndNoOther() {
        assertEquals(new ArrayList<>(messages().keySet()), new ArrayList<>(golden.keySet()));
    }

    @Test
    void everyMessageIsEncodedAsTheGoldenBytes() {
        Messages sender = new Messages(true);
        messages()
                .forEach(
                        (name, message) ->
                                assertArrayEquals(golden.get(name), sender.bytes(message), name));
    }

    @Test
    void theGoldenBytesAreDecodedAsTheMessage() {
        Messages receiver = new Messages(true);
        messages()
                .forEach(
                        (name, message) -> {
                            Object decoded = receiver.value(golden.get(name));
                            assertEquals(comparable(message), comparable(decoded), name);
                            assertArrayEquals(golden.get(name), receiver.bytes(decoded), name);
                        });
    }

    @Test
    void messagesBetweenNodesHaveTheSameBytesWithoutCells() {
        Messages sender = new Messages(false);
        Messages receiver = new Messages(false);
        betweenNodes()
                .forEach(
                        (name, message) -> {
                            assertArrayEquals(golden.get(name), sender.bytes(message), name);
                            assertEquals(message, receiver.value(golden.get(name)), name);
                        });
    }

    @Test
    void cutFramesAreRefused() {
        Messages receiver = new Messages(true);
        golden.forEach(
                (name, bytes) -> {
                    for (int length = 0; length < bytes.length; length++) {
                        byte[] cut = Arrays.copyOf(bytes, length);
                        assertThrows(InvalidInputException.class, () -> receiver.value(cut), name);
                    }
                });
    }

    /** Lists compare by content; the byte array of a {@link CellMessage.LoanStatus} would not. */
    private static Object comparable(Object message) {
        if (message instanceof Messages.AskCell ask) {
            return List.of("ask", ask.number(), comparable(ask.message()));
        }
        if (message instanceof Messages.AnswerCell answer) {
            return List.of("answer", answer.number(), comparable(answer.message()));
        }
        if (message instanceof CellMessage.LoanStatus word) {
            String done =
                    word.doneTasks() == null ? null : HexFormat.of().formatHex(word.doneTasks());
            return Arrays.asList(
                    word.cell(), word.loanNumber(), word.state(), done, word.nextAttempt());
        }
        return message == null ? "nothing" : message;
    }
}
