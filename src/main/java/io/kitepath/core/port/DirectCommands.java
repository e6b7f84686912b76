package io.kitepath.core.port;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.WorkerCommand;
import java.util.List;
import java.util.function.Consumer;

/**
 * Sends commands directly to a worker, without waiting for its next heartbeat. They may be executed
 * late, so only commands that are valid at any time are sent directly: those that stop an attempt
 * which has to end in any case.
 */
public interface DirectCommands {
    /**
     * Sends commands to one incarnation of a worker's agent.
     *
     * @param address the worker's address, from its heartbeat
     * @param callback receives, on the event loop, the worker's heartbeat after the commands, or
     *     null if there was no response or nothing was executed
     */
    void send(
            String address,
            long fencingToken,
            long agentIncarnation,
            List<WorkerCommand> commands,
            Consumer<Heartbeat> callback);
}
