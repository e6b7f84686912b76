package io.kitepath.core;

import static io.kitepath.core.Submissions.good;
import static io.kitepath.core.Submissions.impossible;
import static io.kitepath.core.Submissions.malformed;
import static io.kitepath.core.Submissions.named;
import static io.kitepath.core.Submissions.odd;
import static io.kitepath.core.Submissions.with;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.MachineType;
import io.kitepath.net.HttpServer.Request;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.users.UsersApi;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.UserCodec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * What users send that is no job, or none that can ever run: 400 or 422 at every node, or 503 while
 * it can't be known that the id is new, and never accepted. What was accepted is answered with its
 * state whatever a repetition says.
 */
class BadInputTest {
    private static final List<String> KNOWN = List.of("j-1", "j-2", "j-3");

    private SimulatedCluster cluster;
    private int next = 1000;
    private double answerS = 3;

    /** Three nodes and four machines; a team with a limit, one that has none. */
    private void begin() {
        cluster = settled(3, 4);
        cluster.teams.put("blue", new ClusterSettings.Team("blue", 0, 6, 0, 0));
    }

    private static int[] send(SimulatedCluster cluster, SimulatedNode node, byte[] body) {
        int[] status = new int[1];
        new UsersApi(node.controller)
                .handle(
                        new Request("POST", UsersApi.JOBS, "", body),
                        (s, b, retry) -> status[0] = s);
        return status;
    }

    /** Each body at each node, under ids that nobody has used; the statuses, node by node. */
    private List<List<Integer>> post(List<Map<String, Object>> bodies) {
        List<List<int[]>> got = new ArrayList<>();
        for (Map<String, Object> b : bodies) {
            List<int[]> each = new ArrayList<>();
            for (SimulatedNode node : cluster.nodes.values()) {
                if (node.alive) {
                    each.add(send(cluster, node, MessagePackCodec.encode(named(b, "j-" + next++))));
                }
            }
            got.add(each);
        }
        cluster.run(answerS);
        return got.stream().map(e -> e.stream().map(x -> x[0]).toList()).toList();
    }

    private void all(int status, List<Map<String, Object>> bodies) {
        List<List<Integer>> got = post(bodies);
        List<String> wrong = new ArrayList<>();
        for (int i = 0; i < bodies.size(); i++) {
            if (!got.get(i).stream().allMatch(s -> s == status)) {
                wrong.add(got.get(i) + " for " + bodies.get(i));
            }
        }
        assertEquals(List.of(), wrong, status + " expected");
    }

    @Test
    void whatIsMalformedGets400AtEveryNode() {
        begin();
        List<Map<String, Object>> bodies = malformed();
        assertTrue(bodies.size() > 150, bodies.size() + " bodies");
        all(400, bodies);
        nothingCameOfIt();
    }

    @Test
    void whatCanNeverRunGets422AtEveryNode() {
        begin();
        all(422, impossible());
        nothingCameOfIt();
    }

    /**
     * Without a leader it can be told as well; before a node knows the machine types only what is
     * malformed.
     */
    @Test
    void alsoWithoutALeaderAndByANodeThatHasJustBegun() {
        begin();
        answerS = 0.6; // Before another leads.
        SimulatedNode gone = cluster.leader();
        gone.crash();
        all(400, malformed());
        assertTrue(
                cluster.nodes.values().stream()
                        .noneMatch(node -> node.alive && node.controller.leadership.isLeading()),
                "one leads");
        cluster.run(15);
        cluster.leader().crash();
        all(422, impossible());
        assertTrue(
                cluster.nodes.values().stream()
                        .noneMatch(node -> node.alive && node.controller.leadership.isLeading()),
                "one leads");
        SimulatedNode anew = cluster.node(gone.name);
        int[] knowsNoTypes =
                send(
                        cluster,
                        anew,
                        MessagePackCodec.encode(with("nameId", "j-900", "crew", "nobody")));
        int[] malformed =
                send(cluster, anew, MessagePackCodec.encode(with("nameId", "j-901", "sheets", 0L)));
        cluster.run(2);
        assertEquals(List.of(503, 400), List.of(knowsNoTypes[0], malformed[0]));
        cluster.siblings.stream()
                .filter(key -> !cluster.nodes.get(key).alive)
                .forEach(cluster::node);
        cluster.run(15);
        nothingCameOfIt();
    }

    /** While the store is out nobody can tell whether an id is new, unless there is none. */
    @Test
    void duringAnOutageUsersComeAgainUnlessThereIsNoId() {
        begin();
        cluster.store.outage(40);
        List<Map<String, Object>> bodies = malformed();
        bodies.addAll(impossible());
        all(503, bodies);
        for (Object id :
                Arrays.asList(null, 5L, "", "x-1", "j-", "j-1x", "j-1/0", List.of("j-1"))) {
            for (SimulatedNode node : cluster.nodes.values()) {
                int[] got = send(cluster, node, MessagePackCodec.encode(with("nameId", id)));
                assertEquals(400, got[0], "id " + id);
            }
        }
        for (byte[] unreadable :
                List.of(
                        new byte[0],
                        new byte[] {(byte) 0xc1},
                        MessagePackCodec.encode(null),
                        MessagePackCodec.encode("j-1"),
                        MessagePackCodec.encode(List.of(good("j-1"))),
                        Arrays.copyOf(MessagePackCodec.encode(good("j-1")), 50))) {
            for (SimulatedNode node : cluster.nodes.values()) {
                assertEquals(400, send(cluster, node, unreadable)[0]);
            }
        }
        cluster.run(60);
        nothingCameOfIt();
    }

    /**
     * One that runs, one that is done, one that is cancelled: repeated with each of these bodies,
     * also in an outage.
     */
    @Test
    void anAcceptedJobIsKnownWhateverItsRepetitionSays() {
        begin();
        cluster.taskSeconds = id -> id.equals("j-1") ? 1000 : 3;
        for (String id : KNOWN) {
            assertEquals(201, accept(cluster.nodes.get("k0"), named(with("sheets", 2L), id)));
        }
        cluster.cancel(cluster.nodes.get("k1"), "j-3");
        cluster.run(8);
        assertEquals("done", cluster.status(cluster.nodes.get("k2"), "j-2"));
        List<Map<String, Object>> bodies = malformed();
        bodies.addAll(impossible());
        bodies.add(good("j-0"));
        bodies.add(with("awaits", List.of("j-77")));
        bodies.add(with("awaits", List.of("j-1", "j-2", "j-3")));
        bodies.add(with("kit", "x".repeat(40_000)));
        // A submission that has no id is no repetition.
        bodies.removeIf(b -> !b.get("nameId").equals("j-0"));
        for (int out = 0; out < 2; out++) {
            for (String id : KNOWN) {
                for (SimulatedNode node : cluster.nodes.values()) {
                    List<int[]> got = new ArrayList<>();
                    bodies.forEach(
                            b ->
                                    got.add(
                                            send(
                                                    cluster,
                                                    node,
                                                    MessagePackCodec.encode(named(b, id)))));
                    cluster.run(3);
                    for (int i = 0; i < bodies.size(); i++) {
                        // How a job ended is known for ever where it was told once, so an outage
                        // changes nothing.
                        assertEquals(
                                out == 1 && id.equals("j-1") ? 503 : 200,
                                got.get(i)[0],
                                id + " " + node.name + " " + bodies.get(i));
                    }
                }
            }
            cluster.nodes
                    .values()
                    .forEach(node -> assertEquals("done", cluster.status(node, "j-2")));
            cluster.store.outage(200);
            cluster.run(0.1);
        }
        cluster.run(240);
        assertEquals(2, cluster.onMachines("j-1"));
        assertEquals(List.of(), cluster.violations);
    }

    /** As a user does who hands it in there. */
    private int accept(SimulatedNode node, Map<String, Object> body) {
        String id = (String) body.get("nameId");
        cluster.specs.put(id, UserCodec.decodeSubmission(body));
        int[] got = send(cluster, node, MessagePackCodec.encode(body));
        cluster.run(0.1);
        if (got[0] == 201) {
            cluster.acceptedAt.put(id, cluster.clock.now);
        }
        return got[0];
    }

    /**
     * Whatever is accepted runs, and nothing that is odd in it keeps a job beside it from running.
     */
    @Test
    void whatIsAcceptedRunsAndSpoilsNothing() {
        for (Map<String, Object> body : odd()) {
            begin();
            cluster.cloud.capacity = 6;
            cluster.taskSeconds = id -> 9;
            cluster.teams.put("tiny", new ClusterSettings.Team("tiny", 0, 0.3, 0, 0));
            assertEquals(201, accept(cluster.nodes.get("k0"), named(body, "j-1")), body.toString());
            cluster.run(2);
            assertEquals(
                    201,
                    accept(cluster.nodes.get("k1"), named(good("j-0"), "j-2")),
                    body.toString());
            cluster.invariants.troublesAreOver();
            cluster.run(100);
            assertEquals("done", cluster.status(cluster.nodes.get("k2"), "j-2"), "beside " + body);
            assertEquals("done", cluster.status(cluster.nodes.get("k2"), "j-1"), body.toString());
            assertEquals(List.of(), cluster.violations, body.toString());
        }
    }

    /**
     * Where all machines are in one zone and have room, others are rented for the half that has to
     * be elsewhere.
     */
    @Test
    void aGangThatHasToSpreadGetsMachinesInAnotherZone() {
        for (String shape : List.of("group", "service")) {
            cluster = settled(3, 0);
            for (int i = 0; i < 4; i++) {
                cluster.worker("i-00000" + i, "a");
            }
            cluster.cloud.capacity = 4;
            cluster.cloud.bootSeconds = n -> 5;
            cluster.taskSeconds = id -> 200;
            cluster.run(5);
            assertEquals(
                    201,
                    accept(
                            cluster.nodes.get("k0"),
                            named(with("shape", shape, "sheets", 4L, "spread", true), "j-1")));
            cluster.run(60);
            assertEquals(4, cluster.onMachines("j-1"), shape);
            assertEquals(
                    2,
                    cluster.workers.values().stream()
                            .filter(worker -> worker.zone.equals("b"))
                            .mapToInt(worker -> worker.tasks.size())
                            .sum());
            assertEquals(List.of(), cluster.violations, shape);
        }
    }

    /** A type that is offered in no zone, or in one only, is as much of a reason. */
    @Test
    void zonesThatTheTypesAreOfferedIn() {
        cluster = new SimulatedCluster();
        cluster.type = new MachineType("m4", 4, 0, 16, 50, 1, 1.0, 0.4, 40, List.of("b"));
        cluster.siblings.add("k0");
        cluster.node("k0");
        cluster.run(5);
        all(
                422,
                List.of(
                        with("field", "a"),
                        with("shape", "group", "sheets", 2L, "spread", true),
                        with("shape", "service", "sheets", 9L, "spread", true)));
        assertEquals(
                List.of(List.of(201), List.of(201), List.of(201)),
                post(
                        List.of(
                                with("field", "b"),
                                with("sheets", 2L, "spread", true),
                                with("shape", "group", "spread", true))));
        cluster = new SimulatedCluster();
        cluster.type = new MachineType("m4", 4, 0, 16, 50, 1, 1.0, 0.4, 40, List.of());
        cluster.siblings.add("k0");
        cluster.node("k0");
        cluster.run(5);
        all(422, List.of(good("j-0")));
    }

    /**
     * A number that needs all 64 bits, in a field that nobody knows, is ignored as anything else
     * there.
     */
    @Test
    void aNumberOf64BitsInAnUnknownFieldIsIgnored() {
        begin();
        byte[] body = MessagePackCodec.encode(good("j-1"));
        assertEquals((byte) 0xde, body[0]);
        body[2]++;
        byte[] more = Arrays.copyOf(body, body.length + 11);
        more[body.length] = (byte) 0xa1;
        more[body.length + 1] = 'x';
        more[body.length + 2] = (byte) 0xcf;
        Arrays.fill(more, body.length + 3, more.length, (byte) 0xff);
        cluster.specs.put("j-1", UserCodec.decodeSubmission(good("j-1")));
        int[] got = send(cluster, cluster.nodes.get("k0"), more);
        cluster.run(1);
        assertEquals(201, got[0]);
    }

    private void nothingCameOfIt() {
        cluster.run(30);
        for (SimulatedNode node : cluster.nodes.values()) {
            for (int i = 1000; i < next; i += 37) {
                assertEquals("NOT_FOUND", cluster.status(node, "j-" + i));
            }
        }
        assertEquals(0, ConcurrentFaultsTest.starts(cluster));
        assertEquals(List.of(), cluster.violations);
    }
}
