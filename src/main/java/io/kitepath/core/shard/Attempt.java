package io.kitepath.core.shard;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobSpec;
import java.util.Optional;

/**
 * One placement of one task on one machine. It counts against all limits until it is confirmed
 * ended; elapsed time alone never confirms that.
 *
 * <p>Not thread-safe; accessed only from the event loop of the shard.
 */
public final class Attempt {
    public final Job job;

    /** The task's index in its job, from 0. */
    public final int task;

    /** Increases with each attempt of a task; tasks that are placed together share a number. */
    public final long number;

    public final Machine machine;

    /** The time of the placement, in seconds on the steady clock. */
    public final double placedAt;

    /**
     * The job's version at the placement, 0 if the attempt was read from a record. A committed
     * write that covers this version makes the attempt durable.
     */
    final int placedVersion;

    /** Whether the placement is stored; see {@link #isDurable()}. */
    boolean isDurable;

    /** Whether this leader launched the attempt, or an earlier leader may have done so. */
    boolean mayBeLaunched;

    /** Whether the last heartbeat response to the machine contained the start command. */
    boolean isStartSent;

    /**
     * The sequence number of the last heartbeat whose response contained the start command; 0 if
     * this leader has not launched the attempt.
     */
    long startAnsweredSequence;

    /** The number of heartbeats after such a response that did not list the attempt. */
    int missedHeartbeats;

    /** Whether a heartbeat in this leader's term has listed the attempt. */
    boolean isSeen;

    /** The reported state; null until a heartbeat has listed the attempt. */
    Heartbeat.TaskState state;

    /** When a heartbeat first reported it running, in seconds on the steady clock; NaN before. */
    double runningSince = Double.NaN;

    /** Whether the attempt is confirmed ended. */
    boolean isEnded;

    /** The job's version at its end; a committed write that covers this version stores the end. */
    int endedVersion;

    /** The time its task has to save its work before it is killed; NaN unless it is to stop. */
    double stopGraceSeconds = Double.NaN;

    /**
     * The job that it was evicted for; empty if it was not evicted, or evicted before this leader's
     * term.
     */
    Optional<Job> evictedFor = Optional.empty();

    /** Whether a direct command to stop the attempt was sent. */
    boolean isStopSent;

    /** The number of its machine's last full heartbeat that listed the attempt. */
    int lastFullHeartbeatNumber;

    Attempt(Job job, int task, long number, Machine machine, double now, int version) {
        this.job = job;
        this.task = task;
        this.number = number;
        this.machine = machine;
        this.placedAt = now;
        this.placedVersion = version;
    }

    /** Whether the placement is stored; the attempt must not be launched before that. */
    public boolean isDurable() {
        return isDurable;
    }

    /** Whether a heartbeat in this leader's term has listed the attempt. */
    public boolean isSeen() {
        return isSeen;
    }

    /** The reported state; null until a heartbeat has listed the attempt. */
    public Heartbeat.TaskState state() {
        return state;
    }

    /** Whether the attempt fetches its image, or will do so if its machine does not have it. */
    boolean isFetching() {
        return !isUnwanted() && (state == null || state == Heartbeat.TaskState.FETCHING_IMAGE);
    }

    /** Whether this attempt itself is to be stopped, independent of its job. */
    public boolean isStopping() {
        return !Double.isNaN(stopGraceSeconds);
    }

    /** Whether the attempt is to be stopped, by itself or because its job is finished. */
    public boolean isUnwanted() {
        return job.isFinished || isStopping();
    }

    /**
     * The job that the capacity of this attempt is promised to, as the attempt was evicted for it;
     * empty if there is none, or if that job has no more tasks to place.
     */
    public Optional<Job> capacityPromisedTo() {
        return evictedFor.filter(other -> !other.isFinished && other.waitingTasks() > 0);
    }

    /**
     * The expected remaining run time in seconds, from the user's estimate: at least a fifth of the
     * estimate, as estimates are exceeded; {@link Double#MAX_VALUE} for a service.
     *
     * @param now in seconds on the steady clock
     */
    public double remainingSeconds(double now) {
        if (job.spec.shape() == JobSpec.Shape.SERVICE) {
            return Double.MAX_VALUE;
        }
        double estimatedSeconds = job.spec.estimatedSeconds();
        return Math.max(estimatedSeconds - elapsedRunSeconds(now), estimatedSeconds / 5);
    }

    private double elapsedRunSeconds(double now) {
        return Double.isNaN(runningSince) ? 0 : now - runningSince;
    }

    /**
     * The seconds of work that are lost if the attempt is stopped now: the work since its start or
     * its last checkpoint, or the time to save a checkpoint if that is less.
     *
     * @param now in seconds on the steady clock
     */
    public double unsavedSeconds(double now) {
        double intervalSeconds = job.spec.checkpointIntervalSeconds();
        return intervalSeconds > 0
                ? Math.min(
                        elapsedRunSeconds(now),
                        Math.min(intervalSeconds, job.spec.checkpointSaveSeconds()))
                : elapsedRunSeconds(now);
    }

    /** Whether a worker's status refers to this attempt, regardless of the reporting machine. */
    boolean matches(Heartbeat.TaskStatus status) {
        return task == status.task()
                && number == status.attempt()
                && job.spec.id().equals(status.jobId());
    }

    /** The log format of an attempt: {@code job/task#number@machine}. */
    @Override
    public String toString() {
        return job.spec.id() + "/" + task + "#" + number + "@" + machine.id;
    }
}
