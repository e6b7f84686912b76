package io.kitepath.core.model;

import java.util.List;

/**
 * Builds a {@link JobSpec} from named values. Guards against mixing up the twenty constructor
 * arguments. Values that are not set are 0, false or null. The builder does not check whether a job
 * can run with its values.
 */
public final class JobSpecBuilder {
    private final String id;
    private String jobClass;
    private String team;
    private JobSpec.Shape shape;
    private JobSpec.Priority priority;
    private int taskCount;
    private double cpusPerTask;
    private double gpusPerTask;
    private double memoryGigabytesPerTask;
    private List<String> machineTypes;
    private String zone;
    private boolean singleZone;
    private boolean spreadAcrossZones;
    private boolean allowsSpot;
    private String image;
    private double imageGigabytes;
    private double estimatedSeconds;
    private double checkpointIntervalSeconds;
    private double checkpointSaveSeconds;
    private Double deadlineSeconds;

    JobSpecBuilder(String id) {
        this.id = id;
    }

    static JobSpecBuilder copyOf(JobSpec spec) {
        return new JobSpecBuilder(spec.id())
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

    /** Sets {@link JobSpec#jobClass}. */
    public JobSpecBuilder jobClass(String jobClass) {
        this.jobClass = jobClass;
        return this;
    }

    /** Sets {@link JobSpec#team}. */
    public JobSpecBuilder team(String team) {
        this.team = team;
        return this;
    }

    /** Sets {@link JobSpec#shape}. */
    public JobSpecBuilder shape(JobSpec.Shape shape) {
        this.shape = shape;
        return this;
    }

    /** Sets {@link JobSpec#priority}. */
    public JobSpecBuilder priority(JobSpec.Priority priority) {
        this.priority = priority;
        return this;
    }

    /** Sets {@link JobSpec#taskCount}. */
    public JobSpecBuilder taskCount(int taskCount) {
        this.taskCount = taskCount;
        return this;
    }

    /** Sets {@link JobSpec#cpusPerTask}. */
    public JobSpecBuilder cpusPerTask(double cpusPerTask) {
        this.cpusPerTask = cpusPerTask;
        return this;
    }

    /** Sets {@link JobSpec#gpusPerTask}. */
    public JobSpecBuilder gpusPerTask(double gpusPerTask) {
        this.gpusPerTask = gpusPerTask;
        return this;
    }

    /** Sets {@link JobSpec#memoryGigabytesPerTask}. */
    public JobSpecBuilder memoryGigabytesPerTask(double memoryGigabytesPerTask) {
        this.memoryGigabytesPerTask = memoryGigabytesPerTask;
        return this;
    }

    /** Sets the allowed machine types; null, the default, allows all. */
    public JobSpecBuilder machineTypes(List<String> machineTypes) {
        this.machineTypes = machineTypes;
        return this;
    }

    /** Sets the only allowed zone; null, the default, allows all. */
    public JobSpecBuilder zone(String zone) {
        this.zone = zone;
        return this;
    }

    /** Sets {@link JobSpec#isSingleZone}. */
    public JobSpecBuilder singleZone(boolean singleZone) {
        this.singleZone = singleZone;
        return this;
    }

    /** Sets {@link JobSpec#isSpreadAcrossZones}. */
    public JobSpecBuilder spreadAcrossZones(boolean spreadAcrossZones) {
        this.spreadAcrossZones = spreadAcrossZones;
        return this;
    }

    /** Sets {@link JobSpec#allowsSpot}. */
    public JobSpecBuilder allowSpot(boolean allowsSpot) {
        this.allowsSpot = allowsSpot;
        return this;
    }

    /** Sets {@link JobSpec#image}. */
    public JobSpecBuilder image(String image) {
        this.image = image;
        return this;
    }

    /** Sets {@link JobSpec#imageGigabytes}. */
    public JobSpecBuilder imageGigabytes(double imageGigabytes) {
        this.imageGigabytes = imageGigabytes;
        return this;
    }

    /** Sets {@link JobSpec#estimatedSeconds}. */
    public JobSpecBuilder estimatedSeconds(double estimatedSeconds) {
        this.estimatedSeconds = estimatedSeconds;
        return this;
    }

    /** Sets {@link JobSpec#checkpointIntervalSeconds}. */
    public JobSpecBuilder checkpointIntervalSeconds(double checkpointIntervalSeconds) {
        this.checkpointIntervalSeconds = checkpointIntervalSeconds;
        return this;
    }

    /** Sets {@link JobSpec#checkpointSaveSeconds}. */
    public JobSpecBuilder checkpointSaveSeconds(double checkpointSaveSeconds) {
        this.checkpointSaveSeconds = checkpointSaveSeconds;
        return this;
    }

    /** Sets the deadline in seconds after the submission; null, the default, means no deadline. */
    public JobSpecBuilder deadlineSeconds(Double deadlineSeconds) {
        this.deadlineSeconds = deadlineSeconds;
        return this;
    }

    /** Builds the job from the values set so far. */
    public JobSpec build() {
        return new JobSpec(
                id,
                jobClass,
                team,
                shape,
                priority,
                taskCount,
                cpusPerTask,
                gpusPerTask,
                memoryGigabytesPerTask,
                machineTypes,
                zone,
                singleZone,
                spreadAcrossZones,
                allowsSpot,
                image,
                imageGigabytes,
                estimatedSeconds,
                checkpointIntervalSeconds,
                checkpointSaveSeconds,
                deadlineSeconds);
    }
}
