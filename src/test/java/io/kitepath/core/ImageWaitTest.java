package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A job that waits for machines with its image does not stand for jobs with other images.
 *
 * <p>What happens: a job waits as the machines that have its image are full and no other one is
 * half empty. A job behind it, alike but with an image that a machine with room has, is not even
 * tried. Why: the placer asks whether machines were left out for the sake of the image before the
 * search has looked at any, so the answer is always no, and the first job counts as one for which
 * there is no room anywhere. What showed it: {@code launched=} in the leader's log stays as it is
 * while {@code waiting=} counts both.
 */
class ImageWaitTest {
    private final SimulatedCluster cluster = new SimulatedCluster();

    private void submit(String id, int tasks, String image) {
        cluster.submit(
                cluster.leader(),
                SimulatedCluster.onSpot(job(id, Shape.ARRAY, tasks, 1), 100).toBuilder()
                        .image(image)
                        .build());
        cluster.run(4);
    }

    @Test
    void aJobThatWaitsForItsImageHoldsUpNoJobWithAnotherImage() {
        cluster.siblings.add("k0");
        cluster.node("k0");
        cluster.taskSeconds = Map.of("j-1", 60.0, "j-2", 60.0, "j-3", 5.0, "j-4", 5.0)::get;
        cluster.spotWorker("i-000000", "a");
        cluster.run(5);
        submit("j-1", 4, "one");
        assertEquals(4, cluster.onMachines("j-1"), "fills the first machine");
        cluster.spotWorker("i-000001", "a");
        cluster.run(5);
        submit("j-2", 3, "two");
        assertEquals(3, cluster.onMachines("j-2"), "leaves a quarter of the second");
        submit("j-3", 1, "one");
        assertEquals(0, cluster.onMachines("j-3"), "waits for the first machine");
        submit("j-4", 1, "two");
        assertEquals(1, cluster.onMachines("j-4"), "finds its image on the second");
        cluster.run(100);
        assertEquals("done", cluster.ask(cluster.leader(), "j-3").jobStatus().status());
        assertEquals(List.of(), cluster.violations);
    }

    /** No job waits for 90 s while a machine that fits has room, wherever its image is. */
    @Test
    void aJobThatWaitsForItsImageIsPlacedElsewhereInTime() {
        cluster.siblings.add("k0");
        cluster.node("k0");
        cluster.taskSeconds = Map.of("j-1", 900.0, "j-2", 900.0, "j-3", 5.0)::get;
        cluster.spotWorker("i-000000", "a");
        cluster.run(5);
        submit("j-1", 4, "one");
        cluster.spotWorker("i-000001", "a");
        cluster.run(5);
        submit("j-2", 3, "two");
        submit("j-3", 1, "one");
        cluster.invariants.troublesAreOver();
        cluster.run(120);
        assertEquals(List.of(), cluster.violations);
        assertEquals("done", cluster.ask(cluster.leader(), "j-3").jobStatus().status());
    }
}
