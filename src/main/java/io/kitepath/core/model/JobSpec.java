package io.kitepath.core.model;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A job as described by its user. Amounts are per task.
 *
 * @param id the job id given by the user, such as {@code j-000412}; never reused
 * @param jobClass the class that selects service-level objectives and groups statistics
 * @param team the team whose quota and guarantee apply
 * @param shape which of the job's tasks run together
 * @param taskCount the number of tasks; tasks are numbered from 0
 * @param memoryGigabytesPerTask the main memory of a task
 * @param machineTypes the names of the allowed machine types, or null for all
 * @param zone the only allowed zone, or null for all
 * @param isSingleZone whether all tasks have to be in one zone at a time
 * @param isSpreadAcrossZones whether at most half of the tasks, rounded up, may be in one zone
 * @param allowsSpot whether the job may run on spot instances
 * @param image the name of the container image that a machine has to fetch first
 * @param imageGigabytes the size of the image
 * @param estimatedSeconds the user's estimate of a task's run time, excluding the time to fetch the
 *     image; 0 for services
 * @param checkpointIntervalSeconds the interval at which a task saves its progress; 0 if it never
 *     does
 * @param checkpointSaveSeconds how long a stopped task takes to save its progress
 * @param deadlineSeconds the time after the submission by which the job should be done, or null
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        Shape shape,
        Priority priority,
        int taskCount,
        double cpusPerTask,
        double gpusPerTask,
        double memoryGigabytesPerTask,
        List<String> machineTypes,
        String zone,
        boolean isSingleZone,
        boolean isSpreadAcrossZones,
        boolean allowsSpot,
        String image,
        double imageGigabytes,
        double estimatedSeconds,
        double checkpointIntervalSeconds,
        double checkpointSaveSeconds,
        Double deadlineSeconds) {

    /** Tolerance for the rounding error of sums of decimal numbers. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** States which of a job's tasks run together. The names are part of stored records. */
    public enum Shape {
        /** Independent tasks; each runs once, in any order. */
        ARRAY,
        /** All tasks run at the same time and stop together. */
        GANG,
        /** Replicas that run until the job is cancelled. */
        SERVICE
    }

    /** The priority of a job, highest first. The names are part of stored records. */
    public enum Priority {
        PRODUCTION,
        HIGH,
        NORMAL,
        LOW
    }

    /** Returns a builder for a job with this id; see {@link JobSpecBuilder}. */
    public static JobSpecBuilder builder(String id) {
        return new JobSpecBuilder(id);
    }

    /** Returns a builder that is initialized with the values of this job. */
    public JobSpecBuilder toBuilder() {
        return JobSpecBuilder.copyOf(this);
    }

    /** Whether all tasks have to run at the same time. */
    public boolean isGang() {
        return shape == Shape.GANG;
    }

    /** Returns how long a stopped task has to save its progress; 0 if it saves none. */
    public double stopGraceSeconds() {
        return checkpointIntervalSeconds > 0 ? checkpointSaveSeconds : 0;
    }

    /** Returns the maximum number of the job's tasks in one zone. */
    public int maxTasksPerZone() {
        return isSpreadAcrossZones ? (taskCount + 1) / 2 : taskCount;
    }

    /** Returns the stored form, which is a part of {@link JobRecord}. */
    public Map<String, Object> toRecord() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("class", jobClass);
        fields.put("team", team);
        fields.put("shape", shape.name());
        fields.put("priority", priority.name());
        fields.put("tasks", (long) taskCount);
        fields.put("cpus", cpusPerTask);
        fields.put("gpus", gpusPerTask);
        fields.put("memory", memoryGigabytesPerTask);
        fields.put("types", machineTypes);
        fields.put("zone", zone);
        fields.put("oneZone", isSingleZone);
        fields.put("spread", isSpreadAcrossZones);
        fields.put("spot", allowsSpot);
        fields.put("image", image);
        fields.put("imageGb", imageGigabytes);
        fields.put("estimate", estimatedSeconds);
        fields.put("checkpoint", checkpointIntervalSeconds);
        fields.put("save", checkpointSaveSeconds);
        fields.put("deadline", deadlineSeconds);
        return fields;
    }

    /**
     * Reads a map made by {@link #toRecord} of any version.
     *
     * @throws InvalidInputException if a field is missing or of the wrong type
     * @throws IllegalArgumentException if the shape or priority is unknown to this version
     */
    public static JobSpec fromRecord(String id, Object record) {
        DocumentReader document = DocumentReader.of(record);
        return builder(id)
                .jobClass(document.text("class"))
                .team(document.text("team"))
                .shape(JobRecord.parseShape(document.text("shape")))
                .priority(Priority.valueOf(document.text("priority")))
                .taskCount((int) document.integer("tasks", 1, Integer.MAX_VALUE))
                .cpusPerTask(document.number("cpus", 0))
                .gpusPerTask(document.number("gpus", 0))
                .memoryGigabytesPerTask(document.number("memory", 0))
                .machineTypes(document.has("types") ? document.texts("types") : null)
                .zone(document.textOr("zone", null))
                .singleZone(document.flag("oneZone"))
                .spreadAcrossZones(document.flag("spread"))
                .allowSpot(document.flag("spot"))
                .image(document.text("image"))
                .imageGigabytes(document.number("imageGb", 0))
                .estimatedSeconds(document.number("estimate", 0))
                .checkpointIntervalSeconds(document.number("checkpoint", 0))
                .checkpointSaveSeconds(document.number("save", 0))
                .deadlineSeconds(document.has("deadline") ? document.number("deadline", 0) : null)
                .build();
    }

    /**
     * Returns the reason why the job can never run with these machine types and limits, or null if
     * it can run.
     *
     * @param knownTypes the known machine types by name
     * @param otherCellsZones the zones of other cells, where all machine types may be available
     */
    public String infeasibilityReason(
            Map<String, MachineType> knownTypes,
            ClusterSettings settings,
            Set<String> otherCellsZones) {
        ClusterSettings.Team quota = settings.teams().get(team);
        if (quota == null) {
            return "unknown team " + team;
        }
        Set<String> zones = feasibleZones(knownTypes, otherCellsZones);
        if (zones.isEmpty()) {
            return "a task fits no allowed machine type";
        }
        int simultaneousTasks = shape == Shape.ARRAY ? 1 : taskCount;
        if (exceeds(simultaneousTasks * cpusPerTask, quota.maxCpus())
                || exceeds(simultaneousTasks * gpusPerTask, quota.maxGpus())) {
            return "more than the limit of team " + team;
        }
        // The tasks of an array may run one half after the other; other shapes need all tasks at
        // the same time.
        if (shape != Shape.ARRAY
                && isSpreadAcrossZones
                && taskCount > 1
                && (isSingleZone || zones.size() == 1)) {
            return "only half of the tasks may be in one zone, and no other is allowed";
        }
        return null;
    }

    private static boolean exceeds(double amount, double limit) {
        return limit > 0 && amount > limit + ROUNDING_TOLERANCE;
    }

    /** Returns the allowed zones that may have machines with capacity for a task. */
    private Set<String> feasibleZones(
            Map<String, MachineType> knownTypes, Set<String> otherCellsZones) {
        Set<String> zones = new HashSet<>();
        knownTypes.values().stream()
                .filter(this::fitsOn)
                .forEach(
                        type -> {
                            zones.addAll(type.zones());
                            zones.addAll(otherCellsZones);
                        });
        zones.removeIf(candidate -> zone != null && !zone.equals(candidate));
        return zones;
    }

    private boolean fitsOn(MachineType type) {
        return (machineTypes == null || machineTypes.contains(type.name()))
                && cpusPerTask <= type.cpus()
                && gpusPerTask <= type.gpus()
                && memoryGigabytesPerTask <= type.memoryGigabytes();
    }
}
