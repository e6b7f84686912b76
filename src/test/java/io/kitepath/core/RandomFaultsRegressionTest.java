package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Seeds of {@link AllTroublesSeedsTest} that violated an invariant once, outside those of CI. */
class RandomFaultsRegressionTest {
    @Test
    void noTaskRunsTwiceWithSeed437() {
        AllTroublesSeedsTest.Run run = new AllTroublesSeedsTest.Run(437, new TreeMap<>());
        run.play();
        assertEquals(List.of(), run.cluster.violations);
    }
}
