package io.kitepath.core.port;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.WorkerCommand;
import java.util.List;
import java.util.function.Consumer;

/**
 * Commands sent straight to a worker, without waiting for its next heartbeat. They may be executed
 * late, so only commands that are right at any time go this way: to stop an attempt that has to end
 * in any case.
 */
public interface DirectCommands {
    /**
     * Sends commands to one incarnation of a worker's agent.
     *
     * @param address the worker's, from its heartbeat
     * @param answer gets the worker's report after the commands, or null if none came or nothing
     *     was executed; on the event loop
     */
    void send(
            String address,
            long fencingToken,
            long agentIncarnation,
            List<WorkerCommand> commands,
            Consumer<Heartbeat> answer);
}
