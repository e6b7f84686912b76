package io.kitepath.core;

import static io.kitepath.core.Submissions.good;
import static io.kitepath.core.Submissions.impossible;
import static io.kitepath.core.Submissions.malformed;
import static io.kitepath.core.Submissions.named;
import static io.kitepath.core.Submissions.odd;
import static io.kitepath.core.Submissions.with;
import static io.kitepath.simulation.Worlds.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.MachineType;
import io.kitepath.net.HttpServer.Request;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.users.UsersApi;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.ProtocolCodec;
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

    private SimulatedCluster w;
    private int next = 1000;
    private double answerS = 3;

    /** Three nodes and four machines; a team with a limit, one that has none. */
    private void begin() {
        w = settled(3, 4);
        w.teams.put("blue", new ClusterSettings.Team("blue", 0, 6, 0, 0));
    }

    private static int[] send(SimulatedCluster w, SimulatedNode n, byte[] body) {
        int[] status = new int[1];
        new UsersApi(n.controller)
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
            for (SimulatedNode n : w.nodes.values()) {
                if (n.alive) {
                    each.add(send(w, n, MessagePackCodec.bytes(named(b, "j-" + next++))));
                }
            }
            got.add(each);
        }
        w.run(answerS);
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
        SimulatedNode gone = w.leader();
        gone.crash();
        all(400, malformed());
        assertTrue(
                w.nodes.values().stream()
                        .noneMatch(n -> n.alive && n.controller.leadership.leading()),
                "one leads");
        w.run(15);
        w.leader().crash();
        all(422, impossible());
        assertTrue(
                w.nodes.values().stream()
                        .noneMatch(n -> n.alive && n.controller.leadership.leading()),
                "one leads");
        SimulatedNode anew = w.node(gone.name);
        int[] knowsNoTypes =
                send(w, anew, MessagePackCodec.bytes(with("nameId", "j-900", "crew", "nobody")));
        int[] malformed =
                send(w, anew, MessagePackCodec.bytes(with("nameId", "j-901", "sheets", 0L)));
        w.run(2);
        assertEquals(List.of(503, 400), List.of(knowsNoTypes[0], malformed[0]));
        w.siblings.stream().filter(k -> !w.nodes.get(k).alive).forEach(w::node);
        w.run(15);
        nothingCameOfIt();
    }

    /** While the store is out nobody can tell whether an id is new, unless there is none. */
    @Test
    void duringAnOutageUsersComeAgainUnlessThereIsNoId() {
        begin();
        w.store.outage(40);
        List<Map<String, Object>> bodies = malformed();
        bodies.addAll(impossible());
        all(503, bodies);
        for (Object id :
                Arrays.asList(null, 5L, "", "x-1", "j-", "j-1x", "j-1/0", List.of("j-1"))) {
            for (SimulatedNode n : w.nodes.values()) {
                int[] got = send(w, n, MessagePackCodec.bytes(with("nameId", id)));
                assertEquals(400, got[0], "id " + id);
            }
        }
        for (byte[] unreadable :
                List.of(
                        new byte[0],
                        new byte[] {(byte) 0xc1},
                        MessagePackCodec.bytes(null),
                        MessagePackCodec.bytes("j-1"),
                        MessagePackCodec.bytes(List.of(good("j-1"))),
                        Arrays.copyOf(MessagePackCodec.bytes(good("j-1")), 50))) {
            for (SimulatedNode n : w.nodes.values()) {
                assertEquals(400, send(w, n, unreadable)[0]);
            }
        }
        w.run(60);
        nothingCameOfIt();
    }

    /**
     * One that runs, one that is done, one that is cancelled: repeated with each of these bodies,
     * also in an outage.
     */
    @Test
    void anAcceptedJobIsKnownWhateverItsRepetitionSays() {
        begin();
        w.runsFor = id -> id.equals("j-1") ? 1000 : 3;
        for (String id : KNOWN) {
            assertEquals(201, accept(w.nodes.get("k0"), named(with("sheets", 2L), id)));
        }
        w.cancel(w.nodes.get("k1"), "j-3");
        w.run(8);
        assertEquals("done", w.status(w.nodes.get("k2"), "j-2"));
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
                for (SimulatedNode n : w.nodes.values()) {
                    List<int[]> got = new ArrayList<>();
                    bodies.forEach(b -> got.add(send(w, n, MessagePackCodec.bytes(named(b, id)))));
                    w.run(3);
                    for (int i = 0; i < bodies.size(); i++) {
                        // How a job ended is known for ever where it was told once, so an outage
                        // changes nothing.
                        assertEquals(
                                out == 1 && id.equals("j-1") ? 503 : 200,
                                got.get(i)[0],
                                id + " " + n.name + " " + bodies.get(i));
                    }
                }
            }
            w.nodes.values().forEach(n -> assertEquals("done", w.status(n, "j-2")));
            w.store.outage(200);
            w.run(0.1);
        }
        w.run(240);
        assertEquals(2, w.onMachines("j-1"));
        assertEquals(List.of(), w.broken);
    }

    /** As a user does who hands it in there. */
    private int accept(SimulatedNode n, Map<String, Object> body) {
        String id = (String) body.get("nameId");
        w.specs.put(id, ProtocolCodec.submission(body));
        int[] got = send(w, n, MessagePackCodec.bytes(body));
        w.run(0.1);
        if (got[0] == 201) {
            w.accepted.put(id, w.clock.now);
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
            w.cloud.capacity = 6;
            w.runsFor = id -> 9;
            w.teams.put("tiny", new ClusterSettings.Team("tiny", 0, 0.3, 0, 0));
            assertEquals(201, accept(w.nodes.get("k0"), named(body, "j-1")), body.toString());
            w.run(2);
            assertEquals(
                    201, accept(w.nodes.get("k1"), named(good("j-0"), "j-2")), body.toString());
            w.rules.calm();
            w.run(100);
            assertEquals("done", w.status(w.nodes.get("k2"), "j-2"), "beside " + body);
            assertEquals("done", w.status(w.nodes.get("k2"), "j-1"), body.toString());
            assertEquals(List.of(), w.broken, body.toString());
        }
    }

    /**
     * Where all machines are in one zone and have room, others are rented for the half that has to
     * be elsewhere.
     */
    @Test
    void aGangThatHasToSpreadGetsMachinesInAnotherZone() {
        for (String shape : List.of("group", "service")) {
            w = settled(3, 0);
            for (int i = 0; i < 4; i++) {
                w.worker("i-00000" + i, "a");
            }
            w.cloud.capacity = 4;
            w.cloud.bootS = n -> 5;
            w.runsFor = id -> 200;
            w.run(5);
            assertEquals(
                    201,
                    accept(
                            w.nodes.get("k0"),
                            named(with("shape", shape, "sheets", 4L, "spread", true), "j-1")));
            w.run(60);
            assertEquals(4, w.onMachines("j-1"), shape);
            assertEquals(
                    2,
                    w.workers.values().stream()
                            .filter(x -> x.zone.equals("b"))
                            .mapToInt(x -> x.tasks.size())
                            .sum());
            assertEquals(List.of(), w.broken, shape);
        }
    }

    /** A type that is offered in no zone, or in one only, is as much of a reason. */
    @Test
    void zonesThatTheTypesAreOfferedIn() {
        w = new SimulatedCluster();
        w.type = new MachineType("m4", 4, 0, 16, 50, 1, 1.0, 0.4, 40, List.of("b"));
        w.siblings.add("k0");
        w.node("k0");
        w.run(5);
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
        w = new SimulatedCluster();
        w.type = new MachineType("m4", 4, 0, 16, 50, 1, 1.0, 0.4, 40, List.of());
        w.siblings.add("k0");
        w.node("k0");
        w.run(5);
        all(422, List.of(good("j-0")));
    }

    /**
     * A number that needs all 64 bits, in a field that nobody knows, is ignored as anything else
     * there.
     */
    @Test
    void aNumberOf64BitsInAnUnknownFieldIsIgnored() {
        begin();
        byte[] body = MessagePackCodec.bytes(good("j-1"));
        assertEquals((byte) 0xde, body[0]);
        body[2]++;
        byte[] more = Arrays.copyOf(body, body.length + 11);
        more[body.length] = (byte) 0xa1;
        more[body.length + 1] = 'x';
        more[body.length + 2] = (byte) 0xcf;
        Arrays.fill(more, body.length + 3, more.length, (byte) 0xff);
        w.specs.put("j-1", ProtocolCodec.submission(good("j-1")));
        int[] got = send(w, w.nodes.get("k0"), more);
        w.run(1);
        assertEquals(201, got[0]);
    }

    private void nothingCameOfIt() {
        w.run(30);
        for (SimulatedNode n : w.nodes.values()) {
            for (int i = 1000; i < next; i += 37) {
                assertEquals("NOT_FOUND", w.status(n, "j-" + i));
            }
        }
        assertEquals(0, MeetingsTest.starts(w));
        assertEquals(List.of(), w.broken);
    }
}
