package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import java.util.ArrayList;
import java.util.function.Consumer;

/**
 * Restarts gangs that have lost a task. The remaining tasks can't finish, so all tasks restart
 * together once the attempts are confirmed ended.
 *
 * <p>Guards against a gang that never starts because its image takes longer to fetch than its tasks
 * wait for each other: tasks that already have the image time out, and if the others were stopped
 * then, their partial fetches would be lost and the gang would start over. Therefore the others
 * continue to fetch, the capacity of the timed-out tasks is reserved, and all tasks restart where
 * the image is present.
 */
final class GangRestarts {
    /** How long the capacity of a timed-out task is reserved, in image fetch times. */
    private static final int RESERVED_FETCH_TIMES = 3;

    private final ClusterSettings settings;
    private final MachineRegistry machines;

    /** Stops an attempt without grace. */
    private final Consumer<Attempt> stopWithoutGrace;

    GangRestarts(
            ClusterSettings settings,
            MachineRegistry machines,
            Consumer<Attempt> stopWithoutGrace) {
        this.settings = settings;
        this.machines = machines;
        this.stopWithoutGrace = stopWithoutGrace;
    }

    /** Handles the end of a gang task that did not complete. */
    void onTaskLost(Attempt attempt, EndCause cause, double now) {
        Job job = attempt.job;
        Machine machine = attempt.machine;
        if (cause == EndCause.GANG_START_TIMEOUT) {
            machines.recordImageUse(attempt);
            boolean isReservable = machine.reservedFor() == null || machine.isBackfillAllowed();
            if (isFetchingImages(job) && isReservable) {
                machine.reserve(
                        job,
                        now
                                + RESERVED_FETCH_TIMES * machines.imageFetchSeconds(job.spec)
                                + settings.workers().gangStartTimeoutSeconds());
            }
        }
        restartOnceImagesFetched(job);
    }

    /** Stops the remaining tasks of an incomplete gang, unless one still fetches the image. */
    void restartOnceImagesFetched(Job job) {
        if (!job.liveAttempts.isEmpty()
                && job.liveAttempts.size() < job.spec.taskCount()
                && !isFetchingImages(job)) {
            new ArrayList<>(job.liveAttempts.values()).forEach(stopWithoutGrace);
        }
    }

    private static boolean isFetchingImages(Job job) {
        return job.liveAttempts.values().stream()
                .anyMatch(
                        attempt ->
                                attempt.isSeen
                                        && !attempt.isUnwanted()
                                        && attempt.state == TaskState.FETCHING_IMAGE);
    }
}
