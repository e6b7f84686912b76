package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import java.util.ArrayList;
import java.util.function.Consumer;

/**
 * Restarts gangs that have lost a task: the rest can't finish, so all tasks restart together once
 * they are proven over. Guards against a gang that never starts because its image takes longer to
 * fetch than its tasks wait for each other: tasks that have the image give up, and if the others
 * were stopped then, what they had fetched was lost, and the gang began anew. So they fetch on, the
 * room of those that gave up is reserved, and all restart where the image is.
 */
final class GangRestarts {
    /** Fetches of the image for which the room of a task that gave up is reserved. */
    private static final int RESERVED_FETCHES = 3;

    private final ClusterSettings settings;
    private final MachineRegistry machines;

    /** Stops an attempt without grace. */
    private final Consumer<Attempt> stopAtOnce;

    GangRestarts(ClusterSettings settings, MachineRegistry machines, Consumer<Attempt> stopAtOnce) {
        this.settings = settings;
        this.machines = machines;
        this.stopAtOnce = stopAtOnce;
    }

    /** A task of a gang has ended without completing. */
    void onTaskLost(Attempt attempt, EndCause cause, double now) {
        Job job = attempt.job;
        Machine machine = attempt.machine;
        if (cause == EndCause.GANG_START_TIMEOUT) {
            machines.recordImageUse(attempt);
            boolean isRoomFree = machine.reservedFor() == null || machine.isBackfillAllowed();
            if (isFetchingImages(job) && isRoomFree) {
                machine.reserve(
                        job,
                        now
                                + RESERVED_FETCHES * machines.imageFetchSeconds(job.spec)
                                + settings.workers().gangStartTimeoutSeconds());
            }
        }
        restartOnceImagesFetched(job);
    }

    /** Stops the rest of an incomplete gang, unless some of it still fetches the image. */
    void restartOnceImagesFetched(Job job) {
        if (!job.liveAttempts.isEmpty()
                && job.liveAttempts.size() < job.spec.taskCount()
                && !isFetchingImages(job)) {
            new ArrayList<>(job.liveAttempts.values()).forEach(stopAtOnce);
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
