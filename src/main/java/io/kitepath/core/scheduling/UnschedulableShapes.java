package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Records the shapes of jobs that found no capacity in a scheduling round. Capacity only shrinks
 * within a round, so a job with the same rights that requests at least as much finds none either,
 * and the shard is not inspected again for it.
 */
final class UnschedulableShapes {
    /**
     * The properties that decide where a job may be placed and which work it may preempt.
     *
     * @param image the image that the job waits for, if machines without it were left out
     */
    private record PlacementRights(
            JobSpec.Shape shape,
            JobSpec.Priority priority,
            String team,
            boolean guaranteed,
            List<String> machineTypes,
            String zone,
            boolean singleZone,
            boolean spreadAcrossZones,
            boolean allowsSpot,
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
     * The minimum that a job needs to place any task.
     *
     * @param tasks all tasks of a gang, which fits as a whole or not at all; otherwise one
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

    /** Removes all shapes at the start of a scheduling round. */
    void clear() {
        requestsByRights.clear();
    }

    /** Whether the job cannot find capacity, judged by the jobs that found none. */
    boolean contains(Job job) {
        return containsForAnyImage(job) || contains(job, Optional.ofNullable(job.spec.image()));
    }

    /**
     * Same as {@link #contains(Job)} for a job that does not leave out machines that lack its
     * image.
     */
    boolean containsForAnyImage(Job job) {
        return contains(job, Optional.empty());
    }

    private boolean contains(Job job, Optional<String> image) {
        ResourceRequest request = ResourceRequest.of(job);
        return requestsByRights.getOrDefault(PlacementRights.of(job, image), List.of()).stream()
                .anyMatch(request::isAtLeast);
    }

    /**
     * Records that the job found no capacity.
     *
     * @param waitingForImage whether machines without its image were left out, so that the result
     *     applies only to work with that image. Guards against one job that waits for its image
     *     keeping all others from idle machines
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
