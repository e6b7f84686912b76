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
    private final ShardState block;
    private final HeartbeatProcessor heartbeats;
    private final HeartbeatService desk;
    private final Leadership leadership;
    private final DirectCommands direct;
    private final Timers timers;
    private final Runnable changed;
    private int underWay;
    private long sent;

    /** {@code changed} runs when a machine's answer may let work be placed. */
    DirectCancellations(
            ShardState block,
            HeartbeatProcessor heartbeats,
            HeartbeatService desk,
            Leadership leadership,
            DirectCommands direct,
            Timers timers,
            Runnable changed) {
        this.block = block;
        this.heartbeats = heartbeats;
        this.desk = desk;
        this.leadership = leadership;
        this.direct = direct;
        this.timers = timers;
        this.changed = changed;
    }

    long sent() {
        return sent;
    }

    /** Tells machines what is to stop on them and was not told them yet. */
    void send() {
        long mine = block.token();
        int most = block.facts().limits().sockets() / 10 - underWay;
        heartbeats
                .stops(most, timers.now())
                .forEach(
                        (m, orders) -> {
                            if (desk.release(m.id)) {
                                return; // Its worker hears of it in the answer that was held.
                            }
                            m.commanded(true);
                            underWay++;
                            sent++;
                            direct.send(
                                    m.address(),
                                    mine,
                                    m.session(),
                                    orders,
                                    report -> {
                                        m.commanded(false);
                                        underWay--;
                                        if (report != null
                                                && leadership.leading()
                                                && block.token() == mine) {
                                            heartbeats.answered(m, report, timers.now());
                                            changed.run();
                                        }
                                    });
                        });
    }
}
