package io.kitepath.core.port;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.WorkerCommand;
import java.util.List;
import java.util.function.Consumer;

/**
 * Commands sent straight to a worker, without waiting for its next report. They may run late, so
 * only such go this way as are right whenever they run: to stop an attempt that is to end in any
 * case.
 */
public interface DirectCommands {
    /**
     * The answer is the worker's report after the commands, or null if none came or nothing was
     * executed.
     */
    void send(
            String address,
            long token,
            long session,
            List<WorkerCommand> orders,
            Consumer<Heartbeat> answer);
}
