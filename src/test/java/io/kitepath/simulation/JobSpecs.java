package io.kitepath.simulation;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpecBuilder;

/** Descriptions of jobs that differ from a given one in some values. */
public final class JobSpecs {
    private JobSpecs() {}

    /** A builder with all values of the given job, its id included. */
    public static JobSpecBuilder copyOf(JobSpec spec) {
        return copyOf(spec, spec.id());
    }

    /** A builder with all values of the given job but its id. */
    public static JobSpecBuilder copyOf(JobSpec spec, String id) {
        return JobSpec.builder(id)
                .jobClass(spec.jobClass())
                .team(spec.team())
                .shape(spec.shape())
                .priority(spec.priority())
                .taskCount(spec.taskCount())
                .cpusPerTask(spec.cpusPerTask())
                .gpusPerTask(spec.gpusPerTask())
                .memoryGigabytesPerTask(spec.memoryGigabytesPerTask())
                .machineTypes(spec.machineTypes())
                .zone(spec.zone())
                .singleZone(spec.isSingleZone())
                .spreadAcrossZones(spec.isSpreadAcrossZones())
                .allowSpot(spec.allowsSpot())
                .image(spec.image())
                .imageGigabytes(spec.imageGigabytes())
                .estimatedSeconds(spec.estimatedSeconds())
                .checkpointIntervalSeconds(spec.checkpointIntervalSeconds())
                .checkpointSaveSeconds(spec.checkpointSaveSeconds())
                .deadlineSeconds(spec.deadlineSeconds());
    }
}
