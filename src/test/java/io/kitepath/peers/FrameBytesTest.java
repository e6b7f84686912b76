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
    static Map<String, PeerMessage> messages() {
        Map<String, PeerMessage> messages = new LinkedHashMap<>(betweenNodes());
        cellMessages()
                .forEach(
                        (name, message) -> {
                            messages.put(
                                    "askCell." + name, new PeerMessage.CellRequest(9, message));
                            messages.put(
                                    "answerCell." + name, new PeerMessage.CellReply(9, message));
                        });
        return messages;
    }

    private static Map<String, PeerMessage> betweenNodes() {
        Map<String, PeerMessage> messages = new LinkedHashMap<>();
        messages.put("view.follower", new PeerMessage.NodeState("kite-1", 41, false, true));
        messages.put("view.leader", new PeerMessage.NodeState("kite-2", 1L << 40, true, false));
        messages.put("view.absent", new PeerMessage.NodeState(null, -1, false, false));
        messages.put(
                "over.note",
                new PeerMessage.JobEnded(new JobStatus("j-1", "cancelled", 3, 17, LONG_TEXT)));
        messages.put("over.plain", new PeerMessage.JobEnded(new JobStatus("j-1", "done", 300, 0)));
        messages.put("over.nothing", new PeerMessage.JobEnded(null));
        messages.put(
                "over.absent", new PeerMessage.JobEnded(new JobStatus(null, null, -1, -300, null)));
        putReports(messages);
        putAnswers(messages);
        putProgress(messages);
        messages.put(
                "digest.jobs",
                new PeerMessage.CancelledJobs(
                        "kite-1", 1000.5, 1.7e12, List.of("j-1", "j-000412")));
        messages.put("digest.empty", new PeerMessage.CancelledJobs(null, 0, -1, List.of()));
        return messages;
    }

    private static void putReports(Map<String, PeerMessage> messages) {
        List<Heartbeat.TaskStatus> inEveryState = new ArrayList<>();
        for (Heartbeat.TaskState state : Heartbeat.TaskState.values()) {
            inEveryState.add(
                    new Heartbeat.TaskStatus("j-1", state.ordinal(), 1L << 35, state, null));
        }
        messages.put(
                "ask.states", new PeerMessage.HeartbeatRelay(5, report(12.5, inEveryState), true));
        List<Heartbeat.TaskStatus> ofEveryCause = new ArrayList<>();
        for (Heartbeat.EndCause cause : Heartbeat.EndCause.values()) {
            ofEveryCause.add(
                    new Heartbeat.TaskStatus("j-2", 1000, 2, Heartbeat.TaskState.ENDED, cause));
        }
        messages.put(
                "ask.causes",
                new PeerMessage.HeartbeatRelay(1L << 50, report(null, ofEveryCause), false));
        messages.put(
                "ask.noTasks", new PeerMessage.HeartbeatRelay(6, report(0.0, List.of()), false));
        Heartbeat.TaskStatus absentTask = new Heartbeat.TaskStatus(null, -1, -2, null, null);
        messages.put(
                "ask.absent",
                new PeerMessage.HeartbeatRelay(
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

    private static void putAnswers(Map<String, PeerMessage> messages) {
        List<WorkerCommand> ofEveryVerb = new ArrayList<>();
        for (WorkerCommand.Action action : WorkerCommand.Action.values()) {
            ofEveryVerb.add(
                    new WorkerCommand(action, "j-000412", 4 + action.ordinal(), 200, 10.25));
        }
        messages.put(
                "answer.verbs",
                new PeerMessage.HeartbeatRelayReply(
                        5, new HeartbeatResponse(41, ofEveryVerb, null)));
        messages.put(
                "answer.elsewhere",
                new PeerMessage.HeartbeatRelayReply(
                        6, new HeartbeatResponse(0, List.of(), "kite-2")));
        messages.put(
                "answer.absent",
                new PeerMessage.HeartbeatRelayReply(
                        8,
                        new HeartbeatResponse(
                                -1,
                                Arrays.asList(new WorkerCommand(null, null, -1, -2, -0.5), null),
                                null)));
    }

    private static void putProgress(Map<String, PeerMessage> messages) {
        messages.put(
                "askProgress.jobs", new PeerMessage.ProgressRequest(6, List.of("j-1", "j-000398")));
        messages.put(
                "askProgress.texts",
                new PeerMessage.ProgressRequest(
                        7, Arrays.asList("", "a", null, LONG_TEXT, UNICODE_TEXT, "abc")));
        messages.put("askProgress.empty", new PeerMessage.ProgressRequest(8, List.of()));
        messages.put(
                "answerProgress.jobs",
                new PeerMessage.ProgressReply(
                        6,
                        List.of(
                                new JobProgress("j-1", 3, 13, "waits"),
                                new JobProgress("j-2", 0, 100_000, null))));
        messages.put(
                "answerProgress.absent",
                new PeerMessage.ProgressReply(
                        7, Arrays.asList(new JobProgress(null, -1, -2, null), null)));
        messages.put("answerProgress.readsDigests", PeerMessage.ProgressReply.readsCancelledJobs());
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
        PeerMessageCodec sender = PeerMessageCodec.betweenCells();
        messages()
                .forEach(
                        (name, message) ->
                                assertArrayEquals(golden.get(name), sender.encode(message), name));
    }

    @Test
    void theGoldenBytesAreDecodedAsTheMessage() {
        PeerMessageCodec receiver = PeerMessageCodec.betweenCells();
        messages()
                .forEach(
                        (name, message) -> {
                            PeerMessage decoded = receiver.decode(golden.get(name));
                            assertEquals(comparable(message), comparable(decoded), name);
                            assertArrayEquals(golden.get(name), receiver.encode(decoded), name);
                        });
    }

    @Test
    void messagesBetweenNodesHaveTheSameBytesWithoutCells() {
        PeerMessageCodec sender = PeerMessageCodec.withinCell();
        PeerMessageCodec receiver = PeerMessageCodec.withinCell();
        betweenNodes()
                .forEach(
                        (name, message) -> {
                            assertArrayEquals(golden.get(name), sender.encode(message), name);
                            assertEquals(message, receiver.decode(golden.get(name)), name);
                        });
    }

    @Test
    void cutFramesAreRefused() {
        PeerMessageCodec receiver = PeerMessageCodec.betweenCells();
        golden.forEach(
                (name, bytes) -> {
                    for (int length = 0; length < bytes.length; length++) {
                        byte[] cut = Arrays.copyOf(bytes, length);
                        assertThrows(InvalidInputException.class, () -> receiver.decode(cut), name);
                    }
                });
    }

    /** Lists compare by content; the byte array of a {@link CellMessage.LoanStatus} would not. */
    private static Object comparable(Object message) {
        if (message instanceof PeerMessage.CellRequest ask) {
            return List.of("ask", ask.requestId(), comparable(ask.message()));
        }
        if (message instanceof PeerMessage.CellReply answer) {
            return List.of("answer", answer.requestId(), comparable(answer.message()));
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
