package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * A seed of {@link AllTroublesSeedsTest}, outside those of CI, with a job that waits beside room
 * for longer than it may once all troubles are over.
 */
class LeftWaitingRegressionTest {
    // Guards against a job that waits for 90 s beside a machine with room.
    @Test
    void noJobWaitsBesideRoomWithSeed68186() {
        AllTroublesSeedsTest.Run run = new AllTroublesSeedsTest.Run(68186, new TreeMap<>());
        run.play();
        assertEquals(List.of(), run.failures(68186));
    }
}
