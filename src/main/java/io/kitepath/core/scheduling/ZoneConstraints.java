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
    private String only;

    /** Tasks by zone, counted only if that matters. */
    private final Map<String, Integer> perZone = new HashMap<>();

    private int somewhere;

    private ZoneConstraints(JobSpec spec) {
        this.spec = spec;
        this.only = spec.zone();
    }

    /** A gang starts anew as a whole, once all that is left of it is over. */
    public static ZoneConstraints of(Job job) {
        ZoneConstraints b = new ZoneConstraints(job.spec);
        if (!job.spec.isGang() && (job.spec.isSingleZone() || job.spec.isSpreadAcrossZones())) {
            for (Attempt attempt : job.liveAttempts().values()) {
                b.count(attempt.machine.zone(), 1);
                if (b.only != null && !job.spec.isSpreadAcrossZones()) {
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

    private void count(String zone, int tasks) {
        if (zone == null) {
            somewhere += tasks;
            return;
        }
        if (spec.isSingleZone()) {
            only = zone;
        }
        perZone.merge(zone, tasks, Integer::sum);
    }

    /** So many tasks more go to that zone. */
    public void add(String zone, int tasks) {
        if (tasks > 0) {
            count(zone, tasks);
        }
    }

    /** Its zone is decided. */
    public void bind(String zone) {
        only = zone;
    }

    /** Whether the zone that the job is bound to is decided, or can't be yet. */
    public boolean decided() {
        return only != null || spec.isSingleZone() && somewhere > 0;
    }

    /**
     * The zone that the job is bound to; null if it is bound to none, or to one that is not known
     * yet.
     */
    public String only() {
        return only;
    }

    /** How many more tasks may go to that zone. */
    public int left(String zone) {
        if (only != null && !only.equals(zone) || only == null && spec.isSingleZone() && somewhere > 0) {
            return 0;
        }
        return spec.isSpreadAcrossZones()
                ? Math.max(0, spec.maxTasksPerZone() - perZone.getOrDefault(zone, 0) - somewhere)
                : Integer.MAX_VALUE;
    }
}
