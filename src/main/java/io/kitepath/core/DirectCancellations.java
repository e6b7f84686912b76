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
 * Sends stop commands straight to workers, as a worker asks for commands only once per heartbeat
 * interval. The number in flight at once is limited.
 */
final class DirectCancellations {
    /** The part of the process's sockets that commands in flight may take: one in ten. */
    private static final int SOCKETS_PER_COMMAND = 10;

    private final ShardState shard;
    private final HeartbeatProcessor heartbeatProcessor;
    private final HeartbeatService heartbeatService;
    private final Leadership leadership;
    private final DirectCommands directCommands;
    private final Timers timers;
    private final Runnable requestRound;
    private int inFlight;
    private long sent;

    /** {@code requestRound} runs when a worker's answer may let tasks be placed. */
    DirectCancellations(
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

    /** Workers that were sent commands so far. */
    long sent() {
        return sent;
    }

    /** Sends the stop commands that workers have not been sent yet, as many as may be in flight. */
    void send() {
        int most = shard.settings().limits().maxSockets() / SOCKETS_PER_COMMAND - inFlight;
        heartbeatProcessor
                .directStopCommands(most, timers.nowSeconds())
                .forEach(
                        (machine, commands) -> {
                            // Its worker gets them with the heartbeat's answer that was held.
                            boolean isAnswered = heartbeatService.release(machine.id);
                            if (!isAnswered) {
                                send(machine, commands);
                            }
                        });
    }

    private void send(Machine machine, List<WorkerCommand> commands) {
        long fencingToken = shard.fencingToken();
        machine.setCommandInFlight(true);
        inFlight++;
        sent++;
        directCommands.send(
                machine.address(),
                fencingToken,
                machine.agentIncarnation(),
                commands,
                heartbeat -> onAnswer(machine, fencingToken, heartbeat));
    }

    /**
     * {@code heartbeat}: the worker's state after the commands, null if it could not be reached.
     */
    private void onAnswer(Machine machine, long fencingToken, Heartbeat heartbeat) {
        machine.setCommandInFlight(false);
        inFlight--;
        if (heartbeat != null && leadership.isLeading() && shard.fencingToken() == fencingToken) {
            heartbeatProcessor.processCommandResponse(machine, heartbeat, timers.nowSeconds());
            requestRound.run();
        }
    }
}
