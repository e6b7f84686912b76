package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * A seed of {@link AllTroublesSeedsTest}, outside those of CI, with jobs that had no end once all
 * troubles had been over for eight minutes.
 */
class UnfinishedJobsRegressionTest {
    @Test
    void everyAcceptedJobEndsWithSeed20085() {
        AllTroublesSeedsTest.Run run = new AllTroublesSeedsTest.Run(20085, new TreeMap<>());
        run.play();
        assertEquals(List.of(), run.failures(20085));
    }
}
