package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Of one round: what found no room, and for what none can be made. Within a round room only
 * shrinks, so that work with the same rights that asks for no less won't find any either. Guards
 * against a look at the whole block for each of hundreds of jobs that wait behind one that does not
 * fit.
 */
final class UnschedulableShapes {
    /** What decides where a job may go and what gives way to it. */
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
            String image) {
        /** {@code image}: null, or the one that the work holds out for. */
        static PlacementRights of(Job job, String image) {
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

    /** {@code tasks}: of a gang, which fits as a whole or not at all; else one. */
    private record ResourceRequest(double cpus, double gpus, double memoryGb, int tasks) {
        static ResourceRequest of(Job job) {
            JobSpec spec = job.spec;
            return new ResourceRequest(
                    spec.cpusPerTask(),
                    spec.gpusPerTask(),
                    spec.memoryGigabytesPerTask(),
                    spec.isGang() ? spec.taskCount() : 1);
        }

        boolean isAtLeast(ResourceRequest o) {
            return cpus >= o.cpus && gpus >= o.gpus && memoryGb >= o.memoryGb && tasks >= o.tasks;
        }
    }

    private final Map<PlacementRights, List<ResourceRequest>> requestsByRights = new HashMap<>();

    void clear() {
        requestsByRights.clear();
    }

    boolean contains(Job job) {
        ResourceRequest ask = ResourceRequest.of(job);
        return requestsByRights.getOrDefault(PlacementRights.of(job, null), List.of()).stream()
                        .anyMatch(ask::isAtLeast)
                || requestsByRights
                        .getOrDefault(PlacementRights.of(job, job.spec.image()), List.of())
                        .stream()
                        .anyMatch(ask::isAtLeast);
    }

    /**
     * {@code holdsOut}: it found no room where its image is, and was not looked for elsewhere, so
     * that it speaks only for work with that image. Guards against one job that waits for its image
     * shutting all others out of machines that are idle.
     */
    void add(Job job, boolean holdsOut) {
        ResourceRequest ask = ResourceRequest.of(job);
        List<ResourceRequest> of =
                requestsByRights.computeIfAbsent(
                        PlacementRights.of(job, holdsOut ? job.spec.image() : null),
                        k -> new ArrayList<>());
        of.removeIf(o -> o.isAtLeast(ask));
        of.add(ask);
    }
}
