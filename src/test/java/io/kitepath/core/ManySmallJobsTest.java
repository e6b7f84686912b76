package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * One-task jobs come four a second for minutes, a quarter of them cancelled in whatever state they
 * are, under a store that enforces low rates; also with a leader's end and a short outage. What is
 * in memory and on record stays in proportion to what is unfinished, other work begins beside them,
 * submissions are quick, no end is late, and what is over costs nothing.
 */
class ManySmallJobsTest {
    /** As for whatever waits beside room. */
    private static final double BEGINS_WITHIN_SECONDS = 90;

    @Test
    void laterMinutesOfManySmallJobsCostNoMoreThanTheFirst() {
        for (long seed = 0; seed < 1; seed++) {
            ManySmallJobsScenario swarm = new ManySmallJobsScenario(seed, 5);
            swarm.submitFor(60);
            int from = swarm.requests();
            swarm.submitFor(60);
            int second = swarm.requests() - from;
            swarm.submitFor(120);
            from = swarm.requests();
            swarm.submitFor(60);
            int last = swarm.requests() - from;
            System.out.println(
                    "swarm "
                            + seed
                            + ": "
                            + swarm.summary()
                            + ", requests "
                            + second
                            + " then "
                            + last);
            swarm.checkAllOver("seed " + seed);
            assertTrue(last < 1.1 * second, "requests a minute: " + second + ", then " + last);
            checkBounds(swarm, "seed " + seed);
            assertTrue(
                    swarm.stages.keySet().containsAll(Set.of(ManySmallJobsScenario.Stage.values())),
                    "seed " + seed + ": called off " + swarm.stages);
            assertTrue(
                    swarm.looked > 0.5 * swarm.submittedCount(),
                    "seed " + seed + ": " + swarm.looked + " ends looked at");
        }
    }

    /** In proportion to what comes in ten seconds, about as long as such a job is unfinished. */
    private static void checkBounds(ManySmallJobsScenario swarm, String at) {
        double lively = 10 / ManySmallJobsScenario.SUBMISSION_INTERVAL_SECONDS;
        assertTrue(swarm.mostJobs < 2 * lively, at + ": jobs in memory " + swarm.mostJobs);
        assertTrue(swarm.mostUnwritten < lively, at + ": unwritten " + swarm.mostUnwritten);
        assertTrue(swarm.mostKeys < 4 * lively, at + ": keys " + swarm.mostKeys);
        // At rates this low a submission may meet a burst of the holder's writes; its user repeats
        // it once.
        assertTrue(swarm.slowestAnswer() < 2, at + ": submission took " + swarm.slowestAnswer());
        assertTrue(
                swarm.repeated() <= 0.01 * swarm.submittedCount(),
                at + ": submissions repeated " + swarm.repeated());
        assertTrue(
                swarm.slowestStart() < BEGINS_WITHIN_SECONDS,
                at + ": others began after " + swarm.slowestStart());
    }

    @Test
    void aLeaderEndsAndTheStoreIsOutMeanwhile() {
        for (long seed = 10; seed < 14; seed++) {
            ManySmallJobsScenario swarm = new ManySmallJobsScenario(seed, 5);
            swarm.submitFor(20);
            swarm.crashLeader(seed % 2 == 0 ? 0.3 : 5);
            swarm.submitFor(seed % 3 == 0 ? 0.5 : 20);
            swarm.outage(4);
            swarm.submitFor(30);
            String at = "seed " + seed;
            System.out.println("swarm with troubles " + seed + ": " + swarm.summary());
            swarm.checkAllOver(at);
            checkBounds(swarm, at);
            assertTrue(swarm.cluster.store.leaderFencingToken() > 1, at);
        }
    }
}
