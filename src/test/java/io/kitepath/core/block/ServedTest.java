package io.kitepath.core.block;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Facts;
import io.kitepath.core.model.JobSpec;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which classes and teams count as served too little, and when they have caught up. */
class ServedTest {
    private final Facts facts = new Facts("n", "a", List.of(), List.of("a"), Map.of(),
            List.of(new Facts.Objective("finished", "tiles", 50, 1, 0.9),
                    new Facts.Objective("finished", "tiles", 100, 1, 0.9)),
            new Facts.Workers(1, 10, 30, 5, 30), new Facts.StoreLimits(1000, 100, 8, 40), new Facts.CloudLimits(10, 2),
            new Facts.Limits(1, 200, 1000), 5);
    private final Served served = new Served(facts);
    private int named;

    private Job job(String of, String team, Double deadlineS) {
        JobSpec s = new JobSpec("j-" + ++named, of, team, JobSpec.Shape.ARRAY, JobSpec.Priority.LOW, 1, 1, 0, 1, null,
                null, false, false, false, "img", 1, 10, 0, 0, deadlineS);
        Job j = new Job(s, 0, facts.startWithinS(s), "k", 1, 256);
        served.came(j);
        return j;
    }

    @Test
    void aClassFallsBehindAndCatchesUp() {
        for (int i = 0; i < 3; i++) {
            served.done(job("tiles", "red", null), 99_000);
        }
        for (int i = 0; i < 3; i++) {
            served.look(List.of(job("tiles", "red", null)), 101_000);
        }
        assertTrue(served.behind(job("tiles", "blue", null).spec), "its class");
        assertTrue(served.behind(job("other", "red", null).spec), "its team");
        assertFalse(served.behind(job("other", "blue", null).spec));
        assertEquals(0.5, served.leastShare(), 0.01);
        for (int i = 0; i < 9; i++) {
            served.done(job("tiles", "red", null), 99_000);
        }
        assertFalse(served.behind(job("tiles", "red", null).spec));
    }

    @Test
    void whatIsLateCountsOnceHoweverOftenItIsLookedAt() {
        Job late = job("tiles", "red", null);
        served.look(List.of(late), 101_000);
        served.look(List.of(late), 102_000);
        served.done(late, 150_000);
        Served.Group g = served.classes().get("tiles");
        assertEquals(List.of(1L, 1L, 0L, 1L), List.of(g.submitted(), g.missed(), g.inTime(), g.done()));
    }

    @Test
    void ownDeadlinesCountWhereNothingElseIsSaid() {
        served.look(List.of(job("other", "red", 20.0), job("quiet", "red", null)), 25_000);
        assertEquals(1, served.classes().get("other").missed());
        assertEquals(0, served.classes().get("quiet").missed());
    }
}
