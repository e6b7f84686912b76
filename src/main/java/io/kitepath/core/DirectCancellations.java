package io.kitepath.core;

import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.port.DirectCommands;
import io.kitepath.core.port.Timers;
import io.kitepath.core.service.HeartbeatService;
import io.kitepath.core.shard.HeartbeatProcessor;
import io.kitepath.core.shard.ShardState;

/**
 * Stops that go straight to machines, as these ask only once in a report interval; so many at once.
 */
final class DirectCancellations {
    private final ShardState shard;
    private final HeartbeatProcessor heartbeatProcessor;
    private final HeartbeatService heartbeatService;
    private final Leadership leadership;
    private final DirectCommands directCommands;
    private final Timers timers;
    private final Runnable requestRound;
    private int inFlight;
    private long sent;

    /** {@code changed} runs when a machine's answer may let work be placed. */
    DirectCancellations(
            ShardState shard,
            HeartbeatProcessor heartbeatProcessor,
            HeartbeatService heartbeatService,
            Leadership leadership,
            DirectCommands direct,
            Timers timers,
            Runnable changed) {
        this.shard = shard;
        this.heartbeatProcessor = heartbeatProcessor;
        this.heartbeatService = heartbeatService;
        this.leadership = leadership;
        this.directCommands = direct;
        this.timers = timers;
        this.requestRound = changed;
    }

    long sent() {
        return sent;
    }

    /** Tells machines what is to stop on them and was not told them yet. */
    void send() {
        long mine = shard.fencingToken();
        int most = shard.settings().limits().maxSockets() / 10 - inFlight;
        heartbeatProcessor
                .stopCommands(most, timers.nowSeconds())
                .forEach(
                        (machine, orders) -> {
                            if (heartbeatService.release(machine.id)) {
                                return; // Its worker hears of it in the answer that was held.
                            }
                            machine.setCommandInFlight(true);
                            inFlight++;
                            sent++;
                            directCommands.send(
                                    machine.address(),
                                    mine,
                                    machine.agentIncarnation(),
                                    orders,
                                    heartbeat -> {
                                        machine.setCommandInFlight(false);
                                        inFlight--;
                                        if (heartbeat != null
                                                && leadership.isLeading()
                                                && shard.fencingToken() == mine) {
                                            heartbeatProcessor.processCommandAnswer(
                                                    machine, heartbeat, timers.nowSeconds());
                                            requestRound.run();
                                        }
                                    });
                        });
    }
}
