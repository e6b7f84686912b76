package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.shard.Job;

/**
 * Builds jobs for the tests of this package: by default an array of one task of team red, of one
 * CPU and 10 s, submitted at 0 and to be started within 10 s.
 */
final class JobBuilder {
    private final String id;
    private String jobClass = "work";
    private String team = "red";
    private Shape shape = Shape.ARRAY;
    private Priority priority = Priority.NORMAL;
    private int tasks = 1;
    private double cpus = 1;
    private boolean spot;
    private String image = "img";
    private double submittedMillis;
    private double[] startWithinSeconds = {10};

    private JobBuilder(String id) {
        this.id = id;
    }

    static JobBuilder job(String id) {
        return new JobBuilder(id);
    }

    JobBuilder jobClass(String name) {
        jobClass = name;
        return this;
    }

    JobBuilder team(String name) {
        team = name;
        return this;
    }

    JobBuilder shape(Shape itsShape) {
        shape = itsShape;
        return this;
    }

    JobBuilder priority(Priority itsPriority) {
        priority = itsPriority;
        return this;
    }

    JobBuilder tasks(int count) {
        tasks = count;
        return this;
    }

    JobBuilder cpus(double perTask) {
        cpus = perTask;
        return this;
    }

    JobBuilder spot(boolean mayUseSpot) {
        spot = mayUseSpot;
        return this;
    }

    JobBuilder image(String name) {
        image = name;
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
        return new JobSpec(
                id, jobClass, team, shape, priority, tasks, cpus, 0, 1, null, null, false, false,
                spot, image, 1, 10, 0, 0, null);
    }

    Job build() {
        return new Job(spec(), submittedMillis, startWithinSeconds, "k", 1, 256);
    }
}
