package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.model.JobSpecBuilder;
import io.kitepath.core.shard.Job;

/**
 * Builds jobs for the tests of this package. The default is an array of one task of team red, with
 * one CPU and 10 s, submitted at 0 and to be started within 10 s.
 */
final class JobBuilder {
    private final JobSpecBuilder spec;
    private double submittedMillis;
    private double[] startWithinSeconds = {10};

    private JobBuilder(String id) {
        spec =
                JobSpec.builder(id)
                        .jobClass("work")
                        .team("red")
                        .shape(Shape.ARRAY)
                        .priority(Priority.NORMAL)
                        .taskCount(1)
                        .cpusPerTask(1)
                        .memoryGigabytesPerTask(1)
                        .image("img")
                        .imageGigabytes(1)
                        .estimatedSeconds(10);
    }

    static JobBuilder job(String id) {
        return new JobBuilder(id);
    }

    JobBuilder jobClass(String name) {
        spec.jobClass(name);
        return this;
    }

    JobBuilder team(String name) {
        spec.team(name);
        return this;
    }

    JobBuilder shape(Shape jobShape) {
        spec.shape(jobShape);
        return this;
    }

    JobBuilder priority(Priority jobPriority) {
        spec.priority(jobPriority);
        return this;
    }

    JobBuilder tasks(int count) {
        spec.taskCount(count);
        return this;
    }

    JobBuilder cpus(double cpusPerTask) {
        spec.cpusPerTask(cpusPerTask);
        return this;
    }

    JobBuilder spot(boolean mayUseSpot) {
        spec.allowSpot(mayUseSpot);
        return this;
    }

    JobBuilder image(String name) {
        spec.image(name);
        return this;
    }

    JobBuilder submittedSeconds(double seconds) {
        submittedMillis = 1000 * seconds;
        return this;
    }

    JobBuilder startWithinSeconds(double... goals) {
        startWithinSeconds = goals;
        return this;
    }

    JobSpec spec() {
        return spec.build();
    }

    Job build() {
        return new Job(spec(), submittedMillis, startWithinSeconds, "k", 1, 256);
    }
}
