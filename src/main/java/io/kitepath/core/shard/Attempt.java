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

    boolean isDurable;

    /** Launched by us, or perhaps by a holder before us. */
    boolean mayBeLaunched;

    /** The last answer to its machine told it to start. */
    boolean isStartSent;

    /** Reports after such an answer that did not show it. */
    int missedReports;

    /** Whether a report of the current holder's time has shown it. */
    boolean isSeen;

    Heartbeat.TaskState state;
    double runningSince = Double.NaN;
    boolean isEnded;
    int endedVersion;

    /** Wanted stopped; NaN while it is not. */
    double stopGraceSeconds = Double.NaN;

    /** It was told to stop by a direct command. */
    boolean isStopSent;

    /** The reading of its machine's reports that showed it last. */
    int lastSeenReading;

    Attempt(Job job, int task, long number, Machine machine, double now, int version) {
        this.job = job;
        this.task = task;
        this.number = number;
        this.machine = machine;
        this.placedAt = now;
        this.placedVersion = version;
    }

    /** Whether the store has it. Only then it may be launched. */
    public boolean isDurable() {
        return isDurable;
    }

    /** Whether a report of the current holder's time has shown it. */
    public boolean isSeen() {
        return isSeen;
    }

    /** Null until a report has shown it. */
    public Heartbeat.TaskState state() {
        return state;
    }

    /** Whether it waits for its image, or will if the machine does not have it. */
    boolean isFetching() {
        return !isUnwanted() && (state == null || state == Heartbeat.TaskState.FETCHING_IMAGE);
    }

    /** Whether it was wanted stopped, so that its end is under way. */
    public boolean isStopping() {
        return !Double.isNaN(stopGraceSeconds);
    }

    /** It has to go, or goes already. */
    public boolean isUnwanted() {
        return job.isFinished || isStopping();
    }

    /** How long it will probably still run, by its owner's estimate. */
    public double remainingSeconds(double now) {
        double estimate = job.spec.estimatedSeconds();
        if (job.spec.shape() == JobSpec.Shape.SERVICE) {
            return Double.MAX_VALUE;
        }
        return Math.max(estimate - ranSeconds(now), estimate / 5);
    }

    private double ranSeconds(double now) {
        return Double.isNaN(runningSince) ? 0 : now - runningSince;
    }

    /**
     * The time that is lost if it is stopped now: what it did since it began or saved last, or what
     * saving takes.
     */
    public double unsavedSeconds(double now) {
        double every = job.spec.checkpointIntervalSeconds();
        return every > 0
                ? Math.min(ranSeconds(now), Math.min(every, job.spec.checkpointSaveSeconds()))
                : ranSeconds(now);
    }

    boolean matches(Heartbeat.TaskStatus status) {
        return task == status.task()
                && number == status.attempt()
                && job.spec.id().equals(status.jobId());
    }

    @Override
    public String toString() {
        return job.spec.id() + "/" + task + "#" + number + "@" + machine.id;
    }
}
