package io.kitepath.core.model;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A job as its user described it. */
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

    public enum Shape {
        ARRAY,
        GANG,
        SERVICE
    }

    /** Highest first. */
    public enum Priority {
        PRODUCTION,
        HIGH,
        NORMAL,
        LOW
    }

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
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("class", jobClass);
        m.put("team", team);
        m.put("shape", shape.name());
        m.put("priority", priority.name());
        m.put("tasks", (long) taskCount);
        m.put("cpus", cpusPerTask);
        m.put("gpus", gpusPerTask);
        m.put("memory", memoryGigabytesPerTask);
        m.put("types", machineTypes);
        m.put("zone", zone);
        m.put("oneZone", isSingleZone);
        m.put("spread", isSpreadAcrossZones);
        m.put("spot", allowsSpot);
        m.put("image", image);
        m.put("imageGb", imageGigabytes);
        m.put("estimate", estimatedSeconds);
        m.put("checkpoint", checkpointIntervalSeconds);
        m.put("save", checkpointSaveSeconds);
        m.put("deadline", deadlineSeconds);
        return m;
    }

    public static JobSpec fromRecord(String id, Object record) {
        DocumentReader document = DocumentReader.of(record);
        return new JobSpec(
                id,
                document.text("class"),
                document.text("team"),
                JobRecord.parseShape(document.text("shape")),
                Priority.valueOf(document.text("priority")),
                (int) document.integer("tasks", 1, Integer.MAX_VALUE),
                document.number("cpus", 0),
                document.number("gpus", 0),
                document.number("memory", 0),
                document.has("types") ? document.texts("types") : null,
                document.textOr("zone", null),
                document.flag("oneZone"),
                document.flag("spread"),
                document.flag("spot"),
                document.text("image"),
                document.number("imageGb", 0),
                document.number("estimate", 0),
                document.number("checkpoint", 0),
                document.number("save", 0),
                document.has("deadline") ? document.number("deadline", 0) : null);
    }

    /**
     * Why the job can never run with these machine types and limits, or null if it can.
     *
     * @param elsewhere zones of other cells, where all types may be had
     */
    public String reasonImpossible(
            Map<String, MachineType> known, ClusterSettings settings, Set<String> elsewhere) {
        ClusterSettings.Team t = settings.teams().get(team);
        if (t == null) {
            return "unknown team " + team;
        }
        Set<String> zones = feasibleZones(known, elsewhere);
        if (zones.isEmpty()) {
            return "a task fits no allowed machine type";
        }
        int atOnce = shape == Shape.ARRAY ? 1 : taskCount;
        if (t.maxCpus() > 0 && atOnce * cpusPerTask > t.maxCpus() + 1e-9
                || t.maxGpus() > 0 && atOnce * gpusPerTask > t.maxGpus() + 1e-9) {
            return "more than the limit of team " + team;
        }
        // An array runs by halves, but the others need all their tasks at the same time.
        if (shape != Shape.ARRAY
                && isSpreadAcrossZones
                && taskCount > 1
                && (isSingleZone || zones.size() == 1)) {
            return "only half of the tasks may be in one zone, and no other is allowed";
        }
        return null;
    }

    /** Allowed zones in which there may be machines that hold a task. */
    private Set<String> feasibleZones(Map<String, MachineType> known, Set<String> elsewhere) {
        Set<String> out = new HashSet<>();
        known.values().stream()
                .filter(this::fitsOn)
                .forEach(
                        type -> {
                            out.addAll(type.zones());
                            out.addAll(elsewhere);
                        });
        out.removeIf(z -> zone != null && !zone.equals(z));
        return out;
    }

    private boolean fitsOn(MachineType type) {
        return (machineTypes == null || machineTypes.contains(type.name()))
                && cpusPerTask <= type.cpus()
                && gpusPerTask <= type.gpus()
                && memoryGigabytesPerTask <= type.memoryGigabytes();
    }
}
