package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * How many more tasks of a job each zone may have, given where those of its other tasks are that
 * are not proven over. Guards against work placed, room reserved or emptied, and machines rented in
 * a zone that the job can't use because of its other tasks.
 *
 * <p>The zone of a machine is null while only a record has named the machine: what runs there may
 * be in any zone.
 */
public final class ZoneConstraints {
    private final JobSpec spec;

    /** The only zone that the job may use; empty if that is not decided. */
    private Optional<String> boundZone;

    /** Tasks by zone, counted only if that matters. */
    private final Map<String, Integer> tasksByZone = new HashMap<>();

    private int tasksInUnknownZone;

    private ZoneConstraints(JobSpec spec) {
        this.spec = spec;
        this.boundZone = Optional.ofNullable(spec.zone());
    }

    /** Of a job with its running tasks; not of a gang, which starts anew as a whole. */
    public static ZoneConstraints of(Job job) {
        ZoneConstraints zones = new ZoneConstraints(job.spec);
        if (!job.spec.isGang() && (job.spec.isSingleZone() || job.spec.isSpreadAcrossZones())) {
            for (Attempt attempt : job.liveAttempts().values()) {
                zones.countTasks(attempt.machine.zone(), 1);
                if (zones.boundZone.isPresent() && !job.spec.isSpreadAcrossZones()) {
                    break; // All the others are in the same zone.
                }
            }
        }
        return zones;
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
            boundZone = Optional.of(zone);
        }
        tasksByZone.merge(zone, tasks, Integer::sum);
    }

    /** Counts so many more tasks in the zone; binds a job that has to stay in one zone to it. */
    public void addTasks(String zone, int tasks) {
        if (tasks > 0) {
            countTasks(zone, tasks);
        }
    }

    /** Binds the job to the zone. */
    public void bindTo(String zone) {
        boundZone = Optional.of(zone);
    }

    /** Whether the zone of the job is decided, or can't be until its tasks' zone is known. */
    public boolean isDecided() {
        return boundZone.isPresent() || isBoundToUnknownZone();
    }

    /** Whether the job is bound to no zone, or to this one. */
    public boolean allows(String zone) {
        return boundZone.isEmpty() || boundZone.get().equals(zone);
    }

    /** How many more tasks may go to that zone; {@code Integer.MAX_VALUE} without a limit. */
    public int remainingTasks(String zone) {
        if (!allows(zone) || boundZone.isEmpty() && isBoundToUnknownZone()) {
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

    private boolean isBoundToUnknownZone() {
        return spec.isSingleZone() && tasksInUnknownZone > 0;
    }
}
