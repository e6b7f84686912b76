package io.kitepath.simulation;

import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.state.StoreKeys;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

/**
 * Runs the tasks of one {@link SimulatedWorker} in simulated time: single tasks, and gangs whose
 * tasks fetch their image and wait for each other.
 */
final class SimulatedTaskRunner {
    private static final double FAILING_TASK_SECONDS = 0.1;
    private static final double GANG_START_TIMEOUT_SECONDS = 30;

    private final SimulatedCluster cluster;
    private final SimulatedWorker worker;

    SimulatedTaskRunner(SimulatedCluster cluster, SimulatedWorker worker) {
        this.cluster = cluster;
        this.worker = worker;
    }

    /** Starts a task and checks that it may start; the task ends by itself. */
    void start(WorkerCommand command, String key) {
        checkMayStart(command, key);
        worker.started++;
        SimulatedTask task =
                new SimulatedTask(
                        worker,
                        command.jobId(),
                        command.task(),
                        command.attempt(),
                        TaskState.RUNNING);
        worker.tasks.put(key, task);
        cluster.clock.lastStarts.put(command.jobId() + "/" + command.task(), task);
        cluster.clock.started(task);
        cluster.invariants.checkStart(task);
        JobSpec spec = cluster.specs.get(command.jobId());
        if (cluster.imageFetchSeconds != null && spec.isGang()) {
            task.state = TaskState.FETCHING_IMAGE;
            cluster.after(
                    worker.images.contains(spec.image())
                            ? 0
                            : cluster.imageFetchSeconds.applyAsDouble(worker.id),
                    () -> imageFetched(task, key, spec));
            return;
        }
        boolean fails =
                worker.failsTasks || cluster.jobsThatFailEverywhere.contains(command.jobId());
        cluster.after(
                fails ? FAILING_TASK_SECONDS : runSeconds(command.jobId()),
                () -> endTask(task, key, fails));
    }

    private void checkMayStart(WorkerCommand command, String key) {
        SimulatedTask other = cluster.clock.lastStarts.get(command.jobId() + "/" + command.task());
        if (other != null && other.isOnMachine()) {
            cluster.violations.add(
                    "ran twice: " + key + " on " + worker.id + " and " + other.worker.id);
        }
        if (isBeingReleased()) {
            cluster.violations.add("started on a machine that goes: " + key + " on " + worker.id);
        }
    }

    /** Whether the store has a record that this machine is about to be released. */
    private boolean isBeingReleased() {
        // The range of all keys under that prefix.
        return cluster
                .store
                .entries
                .subMap(StoreKeys.RELEASE_INTENTS, StoreKeys.RELEASE_INTENTS + "~")
                .values()
                .stream()
                .anyMatch(
                        entry ->
                                ((Map<?, ?>) entry.value()).get("machines")
                                                instanceof List<?> machines
                                        && machines.contains(worker.id));
    }

    private double runSeconds(String jobId) {
        return cluster.taskSeconds == null
                ? worker.taskSeconds
                : cluster.taskSeconds.applyAsDouble(jobId);
    }

    private void endTask(SimulatedTask task, String key, boolean failed) {
        if (!worker.up || worker.tasks.get(key) != task || task.state == TaskState.ENDED) {
            return;
        }
        task.state = TaskState.ENDED;
        task.cause = failed ? EndCause.ERROR : EndCause.DONE;
        if (!failed) {
            recordCompletion(task);
        }
        cluster.clock.ended(task);
        worker.changed();
        if (!failed) {
            cluster.loadGenerator.onTaskCompleted(task);
        }
    }

    private void recordCompletion(SimulatedTask task) {
        cluster.completedTasks.computeIfAbsent(task.jobId, k -> new HashSet<>()).add(task.number);
    }

    // ---- gangs ----------------------------------------------------------------------------------

    private void imageFetched(SimulatedTask task, String key, JobSpec spec) {
        if (worker.tasks.get(key) != task || task.state != TaskState.FETCHING_IMAGE) {
            return; // Given up, and what was fetched with it.
        }
        worker.images.add(spec.image());
        task.state = TaskState.WAITING_FOR_GANG;
        List<SimulatedTask> gang =
                cluster.workers.values().stream()
                        .flatMap(machine -> machine.tasks.values().stream())
                        .filter(
                                other ->
                                        other.jobId.equals(task.jobId)
                                                && other.attempt == task.attempt
                                                && other.state == TaskState.WAITING_FOR_GANG)
                        .toList();
        if (gang.size() == spec.taskCount()) {
            gang.forEach(member -> member.state = TaskState.RUNNING);
            cluster.after(runSeconds(task.jobId), () -> completeGang(gang));
        } else {
            cluster.after(GANG_START_TIMEOUT_SECONDS, () -> giveUpWaitingForGang(task));
        }
    }

    /** The tasks complete together, and each machine reports that as any other change. */
    private void completeGang(List<SimulatedTask> gang) {
        for (SimulatedTask task : gang) {
            if (task.isOnMachine() && task.state == TaskState.RUNNING) {
                task.state = TaskState.ENDED;
                task.cause = EndCause.DONE;
                recordCompletion(task);
                cluster.clock.ended(task);
                task.worker.changed();
                cluster.loadGenerator.onTaskCompleted(task);
            }
        }
    }

    private static void giveUpWaitingForGang(SimulatedTask task) {
        if (task.state == TaskState.WAITING_FOR_GANG) {
            task.state = TaskState.ENDED;
            task.cause = EndCause.GANG_START_TIMEOUT;
        }
    }
}
