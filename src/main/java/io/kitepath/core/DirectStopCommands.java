package io.kitepath.core;

import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.port.DirectCommands;
import io.kitepath.core.port.Timers;
import io.kitepath.core.service.HeartbeatService;
import io.kitepath.core.shard.HeartbeatProcessor;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.List;

/**
 * Sends stop commands directly to workers. With heartbeats alone, a worker would receive commands
 * only once per heartbeat interval. The number of requests in flight is limited.
 */
final class DirectStopCommands {
    /** Requests in flight may use at most one in ten of the process's sockets. */
    private static final int SOCKETS_PER_REQUEST = 10;

    private final ShardState shard;
    private final HeartbeatProcessor heartbeatProcessor;
    private final HeartbeatService heartbeatService;
    private final Leadership leadership;
    private final DirectCommands directCommands;
    private final Timers timers;
    private final Runnable requestRound;
    private int requestsInFlight;
    private long sentRequests;

    /**
     * @param requestRound called when a worker's response may allow tasks to be placed
     */
    DirectStopCommands(
            ShardState shard,
            HeartbeatProcessor heartbeatProcessor,
            HeartbeatService heartbeatService,
            Leadership leadership,
            DirectCommands directCommands,
            Timers timers,
            Runnable requestRound) {
        this.shard = shard;
        this.heartbeatProcessor = heartbeatProcessor;
        this.heartbeatService = heartbeatService;
        this.leadership = leadership;
        this.directCommands = directCommands;
        this.timers = timers;
        this.requestRound = requestRound;
    }

    /** Returns how many requests with commands were sent to workers since the process started. */
    long sentRequests() {
        return sentRequests;
    }

    /** Sends the stop commands that were not sent yet, up to the limit of requests in flight. */
    void send() {
        int maxRequests =
                shard.settings().limits().maxSockets() / SOCKETS_PER_REQUEST - requestsInFlight;
        heartbeatProcessor
                .directStopCommands(maxRequests, timers.nowSeconds())
                .forEach(
                        (machine, commands) -> {
                            // A heartbeat response that was held back delivers the commands.
                            boolean isDelivered = heartbeatService.releaseHeldResponse(machine.id);
                            if (!isDelivered) {
                                send(machine, commands);
                            }
                        });
    }

    private void send(Machine machine, List<WorkerCommand> commands) {
        long fencingToken = shard.fencingToken();
        machine.setCommandInFlight(true);
        requestsInFlight++;
        sentRequests++;
        directCommands.send(
                machine.address(),
                fencingToken,
                machine.agentIncarnation(),
                commands,
                heartbeat -> onResponse(machine, fencingToken, heartbeat));
    }

    /**
     * Handles the response to a command request.
     *
     * @param heartbeat the worker's state after the commands, null if it could not be reached
     */
    private void onResponse(Machine machine, long fencingToken, Heartbeat heartbeat) {
        machine.setCommandInFlight(false);
        requestsInFlight--;
        if (heartbeat != null && leadership.isLeading() && shard.fencingToken() == fencingToken) {
            heartbeatProcessor.processCommandResponse(machine, heartbeat, timers.nowSeconds());
            requestRound.run();
        }
    }
}
