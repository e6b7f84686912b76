package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.simulation.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which images a machine is estimated to have and to be fetching. */
class MachineImagesTest {
    private final List<Attempt> attempts = new ArrayList<>();
    private final MachineImages images = new MachineImages(attempts);

    private List<String> cached() {
        return List.copyOf(images.cachedGigabytes().keySet());
    }

    @Test
    void leastRecentlyUsedImageIsDroppedWhenCacheIsFull() {
        images.recordUse("a", 4, 10);
        images.recordUse("b", 4, 10);
        images.recordUse("a", 4, 10);
        images.recordUse("c", 4, 10);
        assertEquals(List.of("a", "c"), cached());
    }

    @Test
    void imageLargerThanCacheIsKeptWhileItIsUsed() {
        images.recordUse("a", 4, 10);
        images.recordUse("b", 20, 10);
        assertEquals(List.of("b"), cached());
    }

    @Test
    void restoredImageDoesNotReplaceOneThatWasSeen() {
        images.recordUse("a", 4, 10);
        images.restore("a", 9);
        images.restore("b", 2);
        assertEquals(4, images.cachedGigabytes().get("a"));
        assertTrue(images.has("b"));
    }

    @Test
    void placedAttemptFetchesItsImageUnlessMachineHasIt() {
        JobSpec spec = SimulatedCluster.job("j-1", JobSpec.Shape.ARRAY, 1, 1);
        Job job = new Job(spec, 0, new double[] {60}, "jobs/open/j-1", 1, 256);
        assertFalse(images.isFetchingAny());
        attempts.add(new Attempt(job, 0, 1, new Machine("i-1", 0), 0, 1));
        assertFalse(images.isFetchingAny(), "cached until an attempt changes");
        images.invalidateFetching();
        assertTrue(images.isFetching(spec.image()));
        images.recordUse(spec.image(), 1, 10);
        assertFalse(images.isFetching(spec.image()));
    }
}
