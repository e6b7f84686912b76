package io.kitepath.core.shard;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobSpec;
import java.util.Optional;

/**
 * One placement of one task on one machine. It counts against every limit until something proves
 * that it is over; the passing of time alone never does.
 *
 * <p>Not thread safe: it belongs to the event loop of the shard.
 */
public final class Attempt {
    public final Job job;

    /** The task's index in its job, from 0. */
    public final int task;

    /** Later attempts of a task have higher numbers; tasks that are placed together share one. */
    public final long number;

    public final Machine machine;

    /** In seconds on the steady clock. */
    public final double placedAt;

    /**
     * The job's version when this was placed, 0 if it was read from a record; a write that covers
     * that version makes it durable.
     */
    final int placedVersion;

    /** Whether the store has it; see {@link #isDurable()}. */
    boolean isDurable;

    /** Launched by this leader, or perhaps by one before. */
    boolean mayBeLaunched;

    /** The last heartbeat response to its machine told it to start. */
    boolean isStartSent;

    /** The heartbeat that such a response last answered; 0 if this leader has not launched it. */
    long startAnsweredSequence;

    /** How many heartbeats after such a response did not show it. */
    int missedReports;

    /** Whether a heartbeat since this leader's term began has shown it. */
    boolean isSeen;

    /** Null until a heartbeat has shown it. */
    Heartbeat.TaskState state;

    /** When a heartbeat first showed it running, in seconds on the steady clock; NaN before. */
    double runningSince = Double.NaN;

    /** Proven over. */
    boolean isEnded;

    /** The job's version that has its end; a write that covers that version records it. */
    int endedVersion;

    /** How long its task has to save its work before it is killed; NaN while it may run on. */
    double stopGraceSeconds = Double.NaN;

    /**
     * The job that it was evicted for; empty while it was not, or was before this leader's term.
     */
    Optional<Job> evictedFor = Optional.empty();

    /** Whether it was told to stop by a direct command. */
    boolean isStopSent;

    /** The number of the last of its machine's full reports that showed it. */
    int lastSeenReading;

    Attempt(Job job, int task, long number, Machine machine, double now, int version) {
        this.job = job;
        this.task = task;
        this.number = number;
        this.machine = machine;
        this.placedAt = now;
        this.placedVersion = version;
    }

    /** Whether the store has it; it must not be launched before. */
    public boolean isDurable() {
        return isDurable;
    }

    /** Whether a heartbeat since this leader's term began has shown it. */
    public boolean isSeen() {
        return isSeen;
    }

    /** Null until a heartbeat has shown it. */
    public Heartbeat.TaskState state() {
        return state;
    }

    /** Whether it fetches its image, or will if its machine lacks it. */
    boolean isFetching() {
        return !isUnwanted() && (state == null || state == Heartbeat.TaskState.FETCHING_IMAGE);
    }

    /** Whether this attempt itself is to be stopped, whatever becomes of its job. */
    public boolean isStopping() {
        return !Double.isNaN(stopGraceSeconds);
    }

    /** Whether it is to be stopped, by itself or because its job is finished. */
    public boolean isUnwanted() {
        return job.isFinished || isStopping();
    }

    /**
     * The job that is to have the room of this attempt, since it was evicted for it; empty if there
     * is none, or if that job has nothing to place any more.
     */
    public Optional<Job> roomPromisedTo() {
        return evictedFor.filter(other -> !other.isFinished && other.waitingTasks() > 0);
    }

    /**
     * How many seconds it will probably still run, by its owner's estimate: at least a fifth of
     * that, as estimates are exceeded; without end for a service.
     *
     * @param now in seconds on the steady clock
     */
    public double remainingSeconds(double now) {
        if (job.spec.shape() == JobSpec.Shape.SERVICE) {
            return Double.MAX_VALUE;
        }
        double estimate = job.spec.estimatedSeconds();
        return Math.max(estimate - ranSeconds(now), estimate / 5);
    }

    private double ranSeconds(double now) {
        return Double.isNaN(runningSince) ? 0 : now - runningSince;
    }

    /**
     * How many seconds of work are lost if it is stopped now: what it did since it began or since
     * its last checkpoint, or what saving a checkpoint takes.
     *
     * @param now in seconds on the steady clock
     */
    public double unsavedSeconds(double now) {
        double interval = job.spec.checkpointIntervalSeconds();
        return interval > 0
                ? Math.min(ranSeconds(now), Math.min(interval, job.spec.checkpointSaveSeconds()))
                : ranSeconds(now);
    }

    /** Whether a worker's status is about this very attempt, whatever machine it came from. */
    boolean matches(Heartbeat.TaskStatus status) {
        return task == status.task()
                && number == status.attempt()
                && job.spec.id().equals(status.jobId());
    }

    /** {@code job/task#number@machine}, as log lines have it. */
    @Override
    public String toString() {
        return job.spec.id() + "/" + task + "#" + number + "@" + machine.id;
    }
}
