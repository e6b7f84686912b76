package io.kitepath.core.shard;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobSpec;

/**
 * One placing of one task on one machine. It stays unproven, and counts against every limit, until
 * something proves that it is over; the mere passing of time never does.
 */
public final class Attempt {
    public final Job job;
    public final int task;
    public final long number;
    public final Machine machine;

    /** Seconds on the steady clock. */
    public final double placedAt;

    /**
     * The job's version when this was placed; a write that covers that version makes it durable.
     */
    final int placedVersion;

    boolean durable;

    /** Launched by us, or perhaps by a holder before us. */
    boolean launched;

    /** The last answer to its machine told it to start. */
    boolean ordered;

    /** Reports after such an answer that did not show it. */
    int missed;

    /** Whether a report of the current holder's time has shown it. */
    boolean seen;

    Heartbeat.TaskState state;
    double runningSince = Double.NaN;
    boolean ended;
    int endedVersion;

    /** Wanted stopped; NaN while it is not. */
    double stopGraceS = Double.NaN;

    /** It was told to stop by a direct command. */
    boolean stopSent;

    /** The reading of its machine's reports that showed it last. */
    int reading;

    Attempt(Job job, int task, long number, Machine machine, double now, int version) {
        this.job = job;
        this.task = task;
        this.number = number;
        this.machine = machine;
        this.placedAt = now;
        this.placedVersion = version;
    }

    /** Whether the store has it. Only then it may be launched. */
    public boolean durable() {
        return durable;
    }

    /** Whether a report of the current holder's time has shown it. */
    public boolean seen() {
        return seen;
    }

    /** Null until a report has shown it. */
    public Heartbeat.TaskState state() {
        return state;
    }

    /** Whether it waits for its image, or will if the machine does not have it. */
    boolean fetching() {
        return !unwanted() && (state == null || state == Heartbeat.TaskState.FETCHING_IMAGE);
    }

    /** Whether it was wanted stopped, so that its end is under way. */
    public boolean stopping() {
        return !Double.isNaN(stopGraceS);
    }

    /** It has to go, or goes already. */
    public boolean unwanted() {
        return job.over || stopping();
    }

    /** How long it will probably still run, by its owner's estimate. */
    public double remainingS(double now) {
        double estimate = job.spec.estimatedSeconds();
        if (job.spec.shape() == JobSpec.Shape.SERVICE) {
            return Double.MAX_VALUE;
        }
        return Math.max(estimate - ranS(now), estimate / 5);
    }

    private double ranS(double now) {
        return Double.isNaN(runningSince) ? 0 : now - runningSince;
    }

    /**
     * The time that is lost if it is stopped now: what it did since it began or saved last, or what
     * saving takes.
     */
    public double unsavedS(double now) {
        double every = job.spec.checkpointIntervalSeconds();
        return every > 0 ? Math.min(ranS(now), Math.min(every, job.spec.checkpointSaveSeconds())) : ranS(now);
    }

    boolean is(Heartbeat.TaskStatus status) {
        return task == status.task()
                && number == status.attempt()
                && job.spec.id().equals(status.jobId());
    }

    @Override
    public String toString() {
        return job.spec.id() + "/" + task + "#" + number + "@" + machine.id;
    }
}
