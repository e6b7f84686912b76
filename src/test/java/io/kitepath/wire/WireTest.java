package io.kitepath.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.port.Store;
import io.kitepath.settings.JsonCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The protocol's own examples, read and written. */
class WireTest {
    private static final String SUBMISSION =
            """
            {"nameId":"j-000412","lane":"train","crew":"vision","shape":"group","urgency":"high","sheets":16,
             "vcpus":8.0,"cards":1.0,"ramGb":64.0,"kit":"img-07","sizeGb":6.2,
             "frames":["g8"],"field":null,"oneZone":true,"spread":false,"loaners":true,
             "expectS":240.0,"markEveryS":30.0,"markCostS":4.0,"dueS":900.0}""";

    private static Object json(String text) {
        return JsonCodec.parseJson(text.getBytes(StandardCharsets.UTF_8));
    }

    /** As it would arrive. */
    private static Object packed(String text) {
        return MessagePackCodec.decode(MessagePackCodec.encode(json(text)));
    }

    private static Map<String, Object> submission() {
        Map<String, Object> m = new LinkedHashMap<>();
        ((Map<?, ?>) json(SUBMISSION)).forEach((k, v) -> m.put((String) k, v));
        return m;
    }

    @Test
    void theSubmissionOfTheProtocol() {
        JobSpec spec = ProtocolCodec.decodeSubmission(packed(SUBMISSION));
        assertEquals(
                new JobSpec(
                        "j-000412",
                        "train",
                        "vision",
                        JobSpec.Shape.GANG,
                        JobSpec.Priority.HIGH,
                        16,
                        8,
                        1,
                        64,
                        List.of("g8"),
                        null,
                        true,
                        false,
                        true,
                        "img-07",
                        6.2,
                        240,
                        30,
                        4,
                        900.0),
                spec);
        assertEquals(
                spec,
                JobSpec.fromRecord(
                        spec.id(),
                        MessagePackCodec.decode(MessagePackCodec.encode(spec.toRecord()))));
    }

    @Test
    void whatMayBeNullMayBeLeftOut() {
        Map<String, Object> m = submission();
        List.of("frames", "field", "dueS").forEach(m::remove);
        m.put("somethingNew", 5L);
        JobSpec spec =
                ProtocolCodec.decodeSubmission(MessagePackCodec.decode(MessagePackCodec.encode(m)));
        assertNull(spec.machineTypes());
        assertNull(spec.deadlineSeconds());
    }

    @Test
    void everyFieldIsChecked() {
        Object[] wrong = {
            "x", -1.0, Double.NaN, Double.POSITIVE_INFINITY, true, List.of(), null, 1e300
        };
        for (String field : submission().keySet()) {
            int refused = 0;
            for (Object w : wrong) {
                Map<String, Object> m = submission();
                m.put(field, w);
                try {
                    ProtocolCodec.decodeSubmission(m);
                } catch (InvalidInputException invalid) {
                    assertTrue(
                            invalid.getMessage().startsWith(field),
                            field + ": " + invalid.getMessage());
                    refused++;
                }
            }
            assertTrue(refused >= 4, field + " refused only " + refused);
        }
        for (Object sheets : Arrays.asList(0L, 100_001L, 2.5)) {
            Map<String, Object> m = submission();
            m.put("sheets", sheets);
            assertThrows(InvalidInputException.class, () -> ProtocolCodec.decodeSubmission(m));
        }
    }

    @Test
    void aBodyOver64KiBIsRefused() {
        Map<String, Object> m = submission();
        m.put("kit", "x".repeat(65 * 1024));
        assertThrows(InvalidInputException.class, () -> ProtocolCodec.decodeSubmittedId(m));
    }

    @Test
    void theReportOfTheProtocol() {
        Heartbeat heartbeat =
                ProtocolCodec.decodeHeartbeat(
                        packed(
                                """
                {"host":"i-000231","addr":"10.1.0.232:9000","frame":"g8","field":"a","loaners":true,
                 "tenure":1,"tick":88,"baton":41,"recallS":null,
                 "sheets":[{"sheet":"j-000412/3","try":2,"status":"running"},
                           {"sheet":"j-000398/0","try":1,"status":"ended","cause":"done"}]}"""));
        assertEquals(
                List.of(
                        new Heartbeat.TaskStatus(
                                "j-000412", 3, 2, Heartbeat.TaskState.RUNNING, null),
                        new Heartbeat.TaskStatus(
                                "j-000398",
                                0,
                                1,
                                Heartbeat.TaskState.ENDED,
                                Heartbeat.EndCause.DONE)),
                heartbeat.tasks());
        assertEquals(41, heartbeat.fencingToken());
        assertNull(heartbeat.noticeSeconds());
    }

    @Test
    void anUnknownTaskStateIsNeverTakenForAnEnd() {
        Heartbeat heartbeat =
                ProtocolCodec.decodeHeartbeat(
                        packed(
                                """
                {"host":"i-1","frame":"g8","field":"a","loaners":true,"tenure":1,"tick":1,"baton":0,
                 "sheets":[{"sheet":"j-1/0","try":1,"status":"dreaming"}]}"""));
        assertEquals(Heartbeat.TaskState.RUNNING, heartbeat.tasks().get(0).state());
    }

    @Test
    void theOrdersOfTheProtocol() {
        Object sent =
                MessagePackCodec.decode(
                        ProtocolCodec.encodeCommands(
                                41,
                                List.of(
                                        new WorkerCommand(
                                                WorkerCommand.Action.START, "j-000412", 4, 2, 0),
                                        new WorkerCommand(
                                                WorkerCommand.Action.STOP, "j-000377", 1, 1, 10),
                                        new WorkerCommand(
                                                WorkerCommand.Action.FORGET,
                                                "j-000398",
                                                0,
                                                1,
                                                0))));
        assertEquals(
                json(
                        """
                {"baton":41,"orders":[
                   {"verb":"launch","sheet":"j-000412/4","try":2},
                   {"verb":"halt","sheet":"j-000377/1","try":1,"windDownS":10.0},
                   {"verb":"clear","sheet":"j-000398/0","try":1}]}"""),
                sent);
    }

    @Test
    void theTransactionAndTheEventsOfTheProtocol() {
        assertEquals(
                json(
                        """
                {"when":[{"path":"a/b","stamp":0}],
                 "then":[{"write":"a/b","value":{"x":1},"tether":7},{"remove":"c/d"}]}"""),
                MessagePackCodec.decode(
                        ProtocolCodec.encodeTransaction(
                                new Store.Transaction()
                                        .requireRevision("a/b", 0)
                                        .put("a/b", Map.of("x", 1L), 7)
                                        .remove("c/d"))));
        Object follow =
                packed(
                        """
                {"epoch":433,"events":[{"write":"c/9","value":{},"stamp":433},{"remove":"c/d","stamp":432}]}""");
        assertEquals(
                List.of(new Store.Entry("c/9", Map.of(), 433), new Store.Entry("c/d", null, 432)),
                ProtocolCodec.decodeEvents(follow));
        assertEquals(433, ProtocolCodec.decodeRevision(follow));
    }

    @Test
    void theStateThatUsersSee() {
        assertEquals(
                json("{\"nameId\":\"j-000412\",\"status\":\"running\",\"done\":3,\"running\":13}"),
                MessagePackCodec.decode(
                        ProtocolCodec.encodeJobStatus(
                                new JobStatus("j-000412", "running", 3, 13, null), false)));
        assertEquals(
                json("{\"nameId\":\"j-000412\",\"status\":\"withdrawn\"}"),
                MessagePackCodec.decode(
                        ProtocolCodec.encodeJobStatus(
                                new JobStatus("j-000412", "cancelled", 0, 0, null), true)));
    }

    @Test
    void theMachineTypesOfTheProtocol() {
        var type =
                ProtocolCodec.decodeMachineTypes(
                                packed(
                                        """
                {"frames":[{"name":"g8","vcpus":96,"cards":8,"ramGb":768,"localGb":200,"pullGbPerS":1.0,
                  "rate":12.0,"spotPrice":4.5,"readyS":45,"fields":["a","b"]}]}"""))
                        .get(0);
        assertEquals(96, type.cpus());
        assertEquals(4.5, type.spotPricePerHour());
        assertEquals(List.of("a", "b"), type.zones());
    }

    @Test
    void bytesThatAreNotMessagePackAreMalformedWhateverTheyAre() {
        Random random = new Random(3);
        byte[] good = MessagePackCodec.encode(json(SUBMISSION));
        List<byte[]> bad =
                new ArrayList<>(
                        List.of(
                                new byte[0],
                                new byte[] {(byte) 0xc1},
                                Arrays.copyOf(good, 50),
                                new byte[] {(byte) 0xdd, 0x7f, -1, -1, -1},
                                new byte[] {(byte) 0xc4, 1, 1}));
        for (int i = 0; i < 200; i++) {
            byte[] b = good.clone();
            b[random.nextInt(b.length)] = (byte) random.nextInt();
            bad.add(b);
        }
        int refused = 0;
        for (byte[] b : bad) {
            try {
                ProtocolCodec.decodeSubmission(MessagePackCodec.decode(b));
            } catch (InvalidInputException invalid) {
                refused++;
            }
        }
        assertTrue(refused > 50);
        assertThrows(InvalidInputException.class, () -> MessagePackCodec.decode(new byte[0]));
    }
}
