package io.kitepath.core.model;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A job as its user described it. Amounts are those of one task.
 *
 * @param id the user's name for the job, such as {@code j-000412}; unique for ever
 * @param jobClass what service-level objectives and statistics go by
 * @param team whose quota and guarantee it runs under
 * @param shape which of its tasks run together
 * @param taskCount its tasks are numbered from 0
 * @param memoryGigabytesPerTask main memory
 * @param machineTypes names of the machine types that are allowed, or null for all
 * @param zone the only zone that is allowed, or null for all
 * @param isSingleZone whether all its tasks have to be in one zone at a time
 * @param isSpreadAcrossZones whether at most half of its tasks, rounded up, may be in one zone
 * @param allowsSpot whether it may run on spot instances
 * @param image name of the container image that a machine has to fetch first
 * @param imageGigabytes its size
 * @param estimatedSeconds the user's estimate of a task's run time without fetching the image; 0
 *     for services
 * @param checkpointIntervalSeconds how often a task saves its progress; 0 if it never does
 * @param checkpointSaveSeconds how long it takes a stopped task to save its progress
 * @param deadlineSeconds by when after its submission the job is to be done, or null
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

    /** How far sums of decimal numbers may be apart from the exact ones. */
    private static final double ROUNDING = 1e-9;

    /** Which of a job's tasks run together. The names are part of stored records. */
    public enum Shape {
        /** Independent tasks; each runs once, in any order. */
        ARRAY,
        /** All tasks run at the same time, and stop together. */
        GANG,
        /** Replicas that run until the job is cancelled. */
        SERVICE
    }

    /** Highest first. The names are part of stored records. */
    public enum Priority {
        PRODUCTION,
        HIGH,
        NORMAL,
        LOW
    }

    /** Starts the description of a job; see {@link JobSpecBuilder}. */
    public static JobSpecBuilder builder(String id) {
        return new JobSpecBuilder(id);
    }

    /** Starts the description of a job that is like this one but for what is set afterwards. */
    public JobSpecBuilder toBuilder() {
        return JobSpecBuilder.copyOf(this);
    }

    /** Whether all tasks have to run at the same time. */
    public boolean isGang() {
        return shape == Shape.GANG;
    }

    /** How long a task that is stopped gets to save its progress; 0 if it can't. */
    public double stopGraceSeconds() {
        return checkpointIntervalSeconds > 0 ? checkpointSaveSeconds : 0;
    }

    /** How many tasks the job may have in one zone. */
    public int maxTasksPerZone() {
        return isSpreadAcrossZones ? (taskCount + 1) / 2 : taskCount;
    }

    /** The form that is kept in the state service, as a part of {@link JobRecord}. */
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
     * Reads what {@link #toRecord} made, in any version.
     *
     * @throws InvalidInputException if a field is missing or of the wrong kind
     * @throws IllegalArgumentException if shape or priority have names that this version does not
     *     know
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
     * Why the job can never run with these machine types and limits, or null if it can.
     *
     * @param knownTypes machine types by name
     * @param otherCellsZones zones of other cells, where all types may be had
     */
    public String reasonImpossible(
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
        int tasksAtOnce = shape == Shape.ARRAY ? 1 : taskCount;
        if (isAbove(tasksAtOnce * cpusPerTask, quota.maxCpus())
                || isAbove(tasksAtOnce * gpusPerTask, quota.maxGpus())) {
            return "more than the limit of team " + team;
        }
        // An array may run half by half, but the others need all their tasks at the same time.
        if (shape != Shape.ARRAY
                && isSpreadAcrossZones
                && taskCount > 1
                && (isSingleZone || zones.size() == 1)) {
            return "only half of the tasks may be in one zone, and no other is allowed";
        }
        return null;
    }

    private static boolean isAbove(double amount, double limit) {
        return limit > 0 && amount > limit + ROUNDING;
    }

    /** Allowed zones in which there may be machines that hold a task. */
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
