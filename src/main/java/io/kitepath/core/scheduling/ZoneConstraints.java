package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import java.util.HashMap;
import java.util.Map;

/**
 * How many more tasks of a job each zone may have, given where its other tasks are that are not
 * proven over. Guards against work placed, room kept or emptied, and machines rented in a zone that
 * the job can't use for its other tasks' sake. Where a machine is of which only a record has said
 * the name is not known: what is on it may be in any zone.
 */
public final class ZoneConstraints {
    private final JobSpec spec;

    /** The only zone that the job may use; null if that is not decided. */
    private String boundZone;

    /** Tasks by zone, counted only if that matters. */
    private final Map<String, Integer> tasksByZone = new HashMap<>();

    private int tasksInUnknownZone;

    private ZoneConstraints(JobSpec spec) {
        this.spec = spec;
        this.boundZone = spec.zone();
    }

    /** A gang starts anew as a whole, once all that is left of it is over. */
    public static ZoneConstraints of(Job job) {
        ZoneConstraints b = new ZoneConstraints(job.spec);
        if (!job.spec.isGang() && (job.spec.isSingleZone() || job.spec.isSpreadAcrossZones())) {
            for (Attempt attempt : job.liveAttempts().values()) {
                b.countTasks(attempt.machine.zone(), 1);
                if (b.boundZone != null && !job.spec.isSpreadAcrossZones()) {
                    break; // All the others are in the same zone.
                }
            }
        }
        return b;
    }

    /** Of a job none of whose tasks is on a machine. */
    public static ZoneConstraints of(JobSpec spec) {
        return new ZoneConstraints(spec);
    }

    private void countTasks(String zone, int tasks) {
        if (zone == null) {
            tasksInUnknownZone += tasks;
            return;
        }
        if (spec.isSingleZone()) {
            boundZone = zone;
        }
        tasksByZone.merge(zone, tasks, Integer::sum);
    }

    /** So many tasks more go to that zone. */
    public void addTasks(String zone, int tasks) {
        if (tasks > 0) {
            countTasks(zone, tasks);
        }
    }

    /** Its zone is decided. */
    public void bindTo(String zone) {
        boundZone = zone;
    }

    /** Whether the zone that the job is bound to is decided, or can't be yet. */
    public boolean isDecided() {
        return boundZone != null || spec.isSingleZone() && tasksInUnknownZone > 0;
    }

    /**
     * The zone that the job is bound to; null if it is bound to none, or to one that is not known
     * yet.
     */
    public String boundZone() {
        return boundZone;
    }

    /** How many more tasks may go to that zone. */
    public int remainingTasks(String zone) {
        if (boundZone != null && !boundZone.equals(zone)
                || boundZone == null && spec.isSingleZone() && tasksInUnknownZone > 0) {
            return 0;
        }
        return spec.isSpreadAcrossZones()
                ? Math.max(
                        0,
                        spec.maxTasksPerZone()
                                - tasksByZone.getOrDefault(zone, 0)
                                - tasksInUnknownZone)
                : Integer.MAX_VALUE;
    }
}
