package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Records in the store that no version of this program wrote, as after a mistake of an operator.
 *
 * <p>What happens: the node that reads such a record throws while it takes in the store's answer,
 * and whatever waited for that answer waits for good: a user's question, the claim of a role, the
 * campaign for leadership, the reading of all jobs by a new leader. Why: the fields were read
 * without a way out. What shows it in the log: "response handler failed: status=200 method=GET
 * path=/keys/..." and nothing after it.
 */
class MalformedRecordsTest {
    private static final Object NO_DOCUMENT = List.of("x");

    private final SimulatedCluster cluster = settled(3, 4);

    private void put(String key, Object value) {
        cluster.store.put(key, value, 0, ++cluster.store.revision);
    }

    private JobResponse asked(String id) {
        JobResponse response = cluster.ask(cluster.leader(), id);
        assertNotNull(response, "no answer about " + id);
        return response;
    }

    // ---- a job's end ----------------------------------------------------------------------------

    @Test
    void aUserIsToldToComeAgainIfTheRecordOfAJobsEndCannotBeRead() {
        List<Object> unreadable =
                List.of(NO_DOCUMENT, Map.of(), Map.of("status", 7L), Map.of("status", "odd"));
        for (int i = 0; i < unreadable.size(); i++) {
            String id = "j-" + (900 + i);
            put(StoreKeys.ENDED_JOBS + id, unreadable.get(i));
            assertEquals(Verdict.LATER, asked(id).verdict(), id);
            assertEquals(Verdict.LATER, cluster.cancel(cluster.leader(), id).verdict(), id);
            JobResponse again = cluster.submit(cluster.leader(), job(id, Shape.ARRAY, 1, 1));
            assertEquals(Verdict.LATER, again.verdict(), id);
        }
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 2, 1));
        cluster.run(40);
        assertEquals("done", asked("j-1").jobStatus().status(), "nothing else is held up");
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void aJobsEndIsToldAlsoWithoutTheNumberOfItsTasks() {
        put(StoreKeys.ENDED_JOBS + "j-900", Map.of("status", "cancelled"));
        put(StoreKeys.ENDED_JOBS + "j-901", Map.of("status", "done", "done", "all"));
        assertEquals("cancelled", asked("j-900").jobStatus().status());
        assertEquals("done", asked("j-901").jobStatus().status());
    }

    /** Read by the leader, for a job that depends on it, as strictly as for its own user. */
    @Test
    void noJobIsCancelledSinceTheRecordOfWhatItDependsOnCannotBeRead() {
        cluster.submit(cluster.leader(), job("j-900", Shape.ARRAY, 1, 1));
        cluster.run(40);
        String key = StoreKeys.ENDED_JOBS + "j-900";
        Object sound = cluster.store.entries.get(key).value();
        put(key, Map.of("status", "odd"));
        cluster.leader().crash(); // The next one has to read it.
        cluster.run(8);
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 1, 1), "j-900");
        cluster.run(10);
        assertEquals("pending", asked("j-1").jobStatus().status());
        put(key, sound);
        cluster.run(60);
        assertEquals("done", asked("j-1").jobStatus().status());
        assertEquals(List.of(), cluster.violations);
    }

    // ---- tokens and holders ---------------------------------------------------------------------

    @Test
    void aRoleIsClaimedWithAHigherTokenIfItsTokenRecordCannotBeRead() {
        for (Object unreadable : List.of(NO_DOCUMENT, Map.of("token", "x"))) {
            String key = StoreKeys.ROLE_FENCING_TOKENS + "cloud";
            long before = tokenAt(key);
            String first = holderOfCloudRole();
            put(key, unreadable);
            cluster.nodes.get(first).crash();
            cluster.run(8);
            assertNotEquals(first, holderOfCloudRole());
            assertTrue(tokenAt(key) > before, tokenAt(key) + " after " + before);
            cluster.node(first);
            cluster.run(4);
        }
    }

    private long tokenAt(String key) {
        return (Long) ((Map<?, ?>) cluster.store.entries.get(key).value()).get("token");
    }

    private String holderOfCloudRole() {
        Map<?, ?> record = (Map<?, ?>) cluster.store.entries.get(StoreKeys.ROLES + "cloud").value();
        return (String) record.get("node");
    }

    @Test
    void aNodeLeadsWithAHigherTokenIfTheTokenRecordCannotBeRead() {
        for (Object unreadable : List.of(NO_DOCUMENT, Map.of("token", "x"))) {
            SimulatedNode first = cluster.leader();
            long before = cluster.store.leaderFencingToken();
            put(StoreKeys.FENCING_TOKEN, unreadable);
            first.crash();
            cluster.run(8);
            assertNotEquals(first, cluster.leader());
            assertTrue(cluster.store.leaderFencingToken() > before);
            cluster.node(first.name);
            cluster.run(4);
        }
    }

    @Test
    void nodesFindALeaderAgainOnceItsRecordCanBeRead() {
        String held = cluster.leader().name;
        Object sound = cluster.store.entries.get(StoreKeys.LEADER).value();
        put(StoreKeys.LEADER, NO_DOCUMENT);
        cluster.run(5);
        put(StoreKeys.LEADER, sound);
        cluster.run(5);
        cluster.nodes.get(held).crash();
        cluster.store.entries.remove(StoreKeys.LEADER);
        cluster.run(8);
        assertNotEquals(held, cluster.leader().name);
    }

    // ---- layout ---------------------------------------------------------------------------------

    /** Without the layout no record of a part can be read, so nothing is placed until it can be. */
    @Test
    void aNewLeaderLoadsTheJobsOnceTheirLayoutCanBeRead() {
        Object sound = cluster.store.entries.get(StoreKeys.LAYOUT).value();
        for (Object unreadable : List.of(NO_DOCUMENT, Map.of("partTasks", "x"))) {
            put(StoreKeys.LAYOUT, unreadable);
            SimulatedNode first = cluster.leader();
            first.crash();
            cluster.run(8);
            put(StoreKeys.LAYOUT, sound);
            cluster.node(first.name);
            String id = "j-" + cluster.store.revision;
            cluster.submit(cluster.leader(), job(id, Shape.ARRAY, 2, 1));
            cluster.run(40);
            assertEquals("done", asked(id).jobStatus().status());
        }
        assertEquals(List.of(), cluster.violations);
    }

    // ---- parts of open jobs ---------------------------------------------------------------------

    @Test
    void aNewLeaderPlacesAllOtherWorkIfAPartsRecordCannotBeRead() {
        List<Object> unreadable =
                List.of(
                        NO_DOCUMENT,
                        Map.of(),
                        Map.of("next", 2L, "done", "", "live", List.of()),
                        Map.of("next", 2L, "done", "", "live", Map.of("i-000000", "x")),
                        Map.of(
                                "next",
                                2L,
                                "done",
                                "",
                                "live",
                                Map.of("i-000000", List.of("x", 1L))),
                        Map.of("next", 2L, "done", "%", "live", Map.of()));
        for (int i = 0; i < unreadable.size(); i++) {
            String damaged = "j-" + (900 + i);
            cluster.taskSeconds = id -> id.equals(damaged) ? 500 : 5;
            cluster.submit(cluster.leader(), job(damaged, Shape.ARRAY, 1, 1));
            cluster.run(3);
            put(StoreKeys.JOB_PARTS + damaged + "/0", unreadable.get(i));
            SimulatedNode first = cluster.leader();
            first.crash();
            cluster.run(8);
            cluster.node(first.name);
            String other = "j-" + (100 + i);
            cluster.submit(cluster.leader(), job(other, Shape.ARRAY, 2, 1));
            cluster.run(20);
            assertEquals("done", asked(other).jobStatus().status(), "beside " + unreadable.get(i));
            assertTrue(asked(damaged).jobStatus().note().contains("damaged"), damaged);
            assertEquals(Verdict.KNOWN, cluster.cancel(cluster.leader(), damaged).verdict());
        }
        assertEquals(List.of(), cluster.violations);
    }
}
