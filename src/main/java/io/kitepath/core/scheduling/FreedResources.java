package io.kitepath.core.scheduling;

import io.kitepath.core.shard.Attempt;

/** Sums up the resources that attempts would free by ending. */
final class FreedResources {
    private double cpus;
    private double gpus;
    private double memoryGb;

    /** Adds the resources that the attempt uses. */
    void add(Attempt attempt) {
        cpus += attempt.job.spec.cpusPerTask();
        gpus += attempt.job.spec.gpusPerTask();
        memoryGb += attempt.job.spec.memoryGigabytesPerTask();
    }

    double cpus() {
        return cpus;
    }

    double gpus() {
        return gpus;
    }

    double memoryGb() {
        return memoryGb;
    }
}
