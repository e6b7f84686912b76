package io.kitepath.simulation;

import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;

/** One attempt of a task on a worker. */
public final class SimulatedTask {
    public final SimulatedWorker worker;
    public final String jobId;
    public final int number;
    public final long attempt;
    public TaskState state;
    public EndCause cause;

    /** An attempt that a worker was told to start. */
    public SimulatedTask(
            SimulatedWorker worker, String jobId, int number, long attempt, TaskState state) {
        this.worker = worker;
        this.jobId = jobId;
        this.number = number;
        this.attempt = attempt;
        this.state = state;
    }

    /** Whether it is on its machine. */
    public boolean isOnMachine() {
        return worker.up && state != TaskState.ENDED && worker.tasks.get(key()) == this;
    }

    /** The attempt as reports of violations name it: job, task and number of the attempt. */
    public String key() {
        return jobId + "/" + number + "#" + attempt;
    }
}
