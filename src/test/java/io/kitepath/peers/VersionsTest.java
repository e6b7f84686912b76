package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.ClusterSettings.StoreLimits;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.Heartbeat.TaskStatus;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.port.Store;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.wire.MessagePackCodec;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * What the version in production wrote and sent, as its own code put it down, against this version.
 */
class VersionsTest {
    private final Map<String, byte[]> written = new LinkedHashMap<>();

    VersionsTest() throws IOException {
        try (InputStream in = VersionsTest.class.getResourceAsStream("/production/written.txt")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                int at = line.lastIndexOf(' ');
                written.put(line.substring(0, at), HexFormat.of().parseHex(line.substring(at + 1)));
            }
        }
    }

    /**
     * Byte for byte: a class, a field or a number that moved would end a sibling's connection,
     * again and again.
     */
    @Test
    void framesAreTheSameToTheByte() {
        PeerMessageCodec codec = PeerMessageCodec.betweenCells();
        Map<String, PeerMessage> frames = frames();
        frames.forEach(
                (name, message) -> {
                    byte[] theirs = written.get("frame." + name);
                    assertArrayEquals(theirs, codec.encode(message), name);
                    assertEquals(message.getClass(), codec.decode(theirs).getClass(), name);
                });
        assertEquals(
                frames.size(),
                written.keySet().stream().filter(key -> key.startsWith("frame.")).count());
        // Without cells, the classes that come first keep their numbers.
        assertArrayEquals(
                written.get("frame.view"),
                PeerMessageCodec.withinCell().encode(frames.get("view")));
    }

    private static Map<String, PeerMessage> frames() {
        JobStatus over = new JobStatus("j-000412", "done", 16, 0);
        Map<String, PeerMessage> frames = new LinkedHashMap<>();
        frames.put("view", new PeerMessage.NodeState("kite-1", 7, true, false));
        frames.put("over", new PeerMessage.JobEnded(over));
        frames.put("ask", new PeerMessage.HeartbeatRelay(5, heartbeat(), true));
        frames.put(
                "answer",
                new PeerMessage.HeartbeatRelayReply(
                        5,
                        new HeartbeatResponse(
                                41,
                                List.of(
                                        new WorkerCommand(
                                                WorkerCommand.Action.START, "j-000412", 4, 2, 0),
                                        new WorkerCommand(
                                                WorkerCommand.Action.STOP, "j-000377", 1, 1, 10)),
                                null)));
        frames.put(
                "askProgress", new PeerMessage.ProgressRequest(6, List.of("j-000412", "j-000398")));
        frames.put(
                "answerProgress",
                new PeerMessage.ProgressReply(
                        6, List.of(new JobProgress("j-000412", 3, 13, "waits"))));
        frames.put(
                "askCell",
                new PeerMessage.CellRequest(
                        9, new CellMessage.LoanOffer("north", 4, 2, spec(), 1000.5, 0, 16, 3)));
        frames.put(
                "answerCell",
                new PeerMessage.CellReply(9, new CellMessage.UserResponse("KNOWN", over)));
        return frames;
    }

    private static Heartbeat heartbeat() {
        return new Heartbeat(
                "i-000231",
                "10.1.0.232:9000",
                "g8",
                "a",
                true,
                3,
                88,
                41,
                12.5,
                List.of(
                        new TaskStatus("j-000412", 3, 2, TaskState.RUNNING, null),
                        new TaskStatus("j-000398", 0, 1, TaskState.ENDED, EndCause.DONE)));
    }

    private static JobSpec spec() {
        return new JobSpec(
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
                900.0);
    }

    private Store.Entry record(String key) {
        return new Store.Entry(key, MessagePackCodec.decode(written.get("record " + key)), 1);
    }

    /** A plain job's record has neither more nor less in it than production would write. */
    @Test
    void recordsOfPlainJobsAreTheSame() {
        for (String id : List.of("j-1", "j-3", "j-4", "j-6")) {
            Object theirs = record(StoreKeys.OPEN_JOBS + id).value();
            JobRecord record = JobRecord.fromRecord(id, theirs);
            assertArrayEquals(
                    MessagePackCodec.encode(theirs),
                    MessagePackCodec.encode(record.toRecord()),
                    id);
            assertEquals(List.of(), record.dependencies());
            assertEquals(0, record.tasksPerPart());
        }
    }

    /** A new leader goes on where production ended: nothing starts twice, all of it ends. */
    @Test
    void aStoreThatProductionWroteIsGoneOnWith() {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.announcedStoreLimits = new StoreLimits(1000, 1000, 2, 13);
        putRecords(cluster);
        cluster.taskSeconds = id -> 30;
        for (int i = 0; i < 40; i++) {
            cluster.worker("i-" + String.format("%06d", i), i % 2 == 0 ? "a" : "b");
        }
        for (String part : List.of("j-1/0", "j-1/1", "j-3/0", "j-4/0")) {
            startLiveTasks(cluster, part);
        }
        long running = cluster.onMachines("j-1");
        assertTrue(running > 250, "only " + running);
        SimulatedNode node = cluster.node("k1");
        cluster.specs.put("j-6", specInStore("j-6"));
        cluster.specs.put("j-2", SimulatedCluster.job("j-2", JobSpec.Shape.ARRAY, 3, 1));
        cluster.completedTasks.put("j-2", Set.of(0, 1, 2)); // Under production.
        cluster.invariants.cancellationRequested("j-5"); // So was this.
        cluster.run(20);
        assertEquals(running, cluster.onMachines("j-1"));
        assertEquals("done", cluster.status(node, "j-2"));
        assertEquals("cancelled", cluster.status(node, "j-5"));
        cluster.submit(node, SimulatedCluster.job("j-7", JobSpec.Shape.ARRAY, 1, 1), "j-2", "j-3");
        cluster.submit(node, SimulatedCluster.job("j-8", JobSpec.Shape.ARRAY, 1, 1), "j-5");
        cluster.run(120);
        for (String id : List.of("j-1", "j-3", "j-6", "j-7")) {
            assertEquals("done", cluster.status(node, id), id);
        }
        assertEquals("cancelled", cluster.status(node, "j-8"));
        assertEquals(List.of(), cluster.violations);
    }

    /** Puts all records of production into the store, but those of its leases and id blocks. */
    private void putRecords(SimulatedCluster cluster) {
        for (String name : written.keySet()) {
            if (name.startsWith("record ")
                    && !name.contains("/duty/")
                    && !name.contains("/leader")
                    && !name.contains("/blocks/")) {
                String key = name.substring("record ".length());
                cluster.store.entries.put(key, record(key));
            }
        }
    }

    private JobSpec specInStore(String jobId) {
        return JobRecord.fromRecord(jobId, record(StoreKeys.OPEN_JOBS + jobId).value()).spec();
    }

    /** Starts the tasks of a part on the machines where they run when production ends. */
    private void startLiveTasks(SimulatedCluster cluster, String part) {
        String jobId = part.substring(0, part.indexOf('/'));
        cluster.specs.put(jobId, specInStore(jobId));
        Map<?, ?> partRecord = (Map<?, ?>) record(StoreKeys.JOB_PARTS + part).value();
        Map<?, ?> live = (Map<?, ?>) partRecord.get("live");
        live.forEach(
                (machine, tasksAndAttempts) -> {
                    List<?> numbers = (List<?>) tasksAndAttempts;
                    for (int i = 0; i + 1 < numbers.size(); i += 2) {
                        int task = ((Number) numbers.get(i)).intValue();
                        long attempt = ((Number) numbers.get(i + 1)).longValue();
                        cluster.workers
                                .get(machine)
                                .execute(
                                        new WorkerCommand(
                                                WorkerCommand.Action.START,
                                                jobId,
                                                task,
                                                attempt,
                                                0));
                    }
                });
    }
}
