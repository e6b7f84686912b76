package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What was found to have no room in a scheduling round. Within a round room only shrinks, so that a
 * job with the same rights that asks for at least as much won't find any either, and the shard is
 * not inspected for each of them.
 */
final class UnschedulableShapes {
    /**
     * What decides where a job may go and what gives way to it.
     *
     * @param image the image that the job waits for, if machines without it were left out
     */
    private record PlacementRights(
            JobSpec.Shape shape,
            JobSpec.Priority priority,
            String team,
            boolean guaranteed,
            List<String> types,
            String zone,
            boolean oneZone,
            boolean spread,
            boolean spot,
            Optional<String> image) {
        static PlacementRights of(Job job, Optional<String> image) {
            JobSpec spec = job.spec;
            return new PlacementRights(
                    spec.shape(),
                    job.effectivePriority(),
                    spec.team(),
                    job.isWithinGuarantee(),
                    spec.machineTypes(),
                    spec.zone(),
                    spec.isSingleZone(),
                    spec.isSpreadAcrossZones(),
                    spec.allowsSpot(),
                    image);
        }
    }

    /**
     * What a job needs at least to place anything.
     *
     * @param tasks all of a gang, which fits as a whole or not at all; else one
     */
    private record ResourceRequest(double cpus, double gpus, double memoryGb, int tasks) {
        static ResourceRequest of(Job job) {
            JobSpec spec = job.spec;
            return new ResourceRequest(
                    spec.cpusPerTask(),
                    spec.gpusPerTask(),
                    spec.memoryGigabytesPerTask(),
                    spec.isGang() ? spec.taskCount() : 1);
        }

        boolean isAtLeast(ResourceRequest other) {
            return cpus >= other.cpus
                    && gpus >= other.gpus
                    && memoryGb >= other.memoryGb
                    && tasks >= other.tasks;
        }
    }

    private final Map<PlacementRights, List<ResourceRequest>> requestsByRights = new HashMap<>();

    /** Forgets everything, for a new round. */
    void clear() {
        requestsByRights.clear();
    }

    /** Whether the job can't find room, judged by those that did not. */
    boolean contains(Job job) {
        return containsForAnyImage(job) || contains(job, Optional.ofNullable(job.spec.image()));
    }

    /** The same for a job that does not leave machines out because they lack its image. */
    boolean containsForAnyImage(Job job) {
        return contains(job, Optional.empty());
    }

    private boolean contains(Job job, Optional<String> image) {
        ResourceRequest request = ResourceRequest.of(job);
        return requestsByRights.getOrDefault(PlacementRights.of(job, image), List.of()).stream()
                .anyMatch(request::isAtLeast);
    }

    /**
     * Records that the job found no room.
     *
     * @param waitingForImage whether machines without its image were left out, so that it stands
     *     only for work with that image. Guards against one job that waits for its image shutting
     *     all others out of idle machines
     */
    void add(Job job, boolean waitingForImage) {
        Optional<String> image =
                waitingForImage ? Optional.ofNullable(job.spec.image()) : Optional.empty();
        ResourceRequest request = ResourceRequest.of(job);
        List<ResourceRequest> requests =
                requestsByRights.computeIfAbsent(
                        PlacementRights.of(job, image), key -> new ArrayList<>());
        requests.removeIf(other -> other.isAtLeast(request));
        requests.add(request);
    }
}
