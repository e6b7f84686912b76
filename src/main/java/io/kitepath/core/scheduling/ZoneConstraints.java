package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks how many more tasks of a job each zone may receive, given the zones of its other tasks
 * that are not confirmed ended. Guards against placing work, reserving or freeing capacity, and
 * renting machines in a zone that the job cannot use because of its other tasks.
 *
 * <p>The zone of a machine is null while the machine is known only from a stored record: the work
 * that runs there may be in any zone.
 */
public final class ZoneConstraints {
    private final JobSpec spec;

    /** The only zone that the job may use; empty if it is not decided yet. */
    private Optional<String> boundZone;

    /**
     * Number of tasks by zone. Running tasks are counted only as far as the zones of the job are
     * restricted.
     */
    private final Map<String, Integer> tasksByZone = new HashMap<>();

    private int tasksInUnknownZone;

    private ZoneConstraints(JobSpec spec) {
        this.spec = spec;
        this.boundZone = Optional.ofNullable(spec.zone());
    }

    /**
     * Returns the constraints of a job with its running tasks. The tasks of a gang are not counted,
     * because a gang restarts as a whole.
     */
    public static ZoneConstraints of(Job job) {
        ZoneConstraints zones = new ZoneConstraints(job.spec);
        if (!job.spec.isGang() && (job.spec.isSingleZone() || job.spec.isSpreadAcrossZones())) {
            for (Attempt attempt : job.liveAttempts().values()) {
                zones.countTasks(attempt.machine.zone(), 1);
                if (zones.boundZone.isPresent() && !job.spec.isSpreadAcrossZones()) {
                    break; // All other tasks are in the same zone.
                }
            }
        }
        return zones;
    }

    /** Returns the constraints of a job that has no tasks on machines. */
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

    /**
     * Counts {@code tasks} more tasks in the zone; binds a job that has to stay in one zone to it.
     */
    public void addTasks(String zone, int tasks) {
        if (tasks > 0) {
            countTasks(zone, tasks);
        }
    }

    /** Binds the job to the zone. */
    public void bindTo(String zone) {
        boundZone = Optional.of(zone);
    }

    /**
     * Whether the zone of the job is decided, or cannot be decided until the zone of its tasks is
     * known.
     */
    public boolean isDecided() {
        return boundZone.isPresent() || isBoundToUnknownZone();
    }

    /** Whether the job is not bound to a zone, or is bound to this one. */
    public boolean allows(String zone) {
        return boundZone.isEmpty() || boundZone.get().equals(zone);
    }

    /**
     * Returns how many more tasks may be placed in the zone; {@code Integer.MAX_VALUE} if there is
     * no limit.
     */
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
