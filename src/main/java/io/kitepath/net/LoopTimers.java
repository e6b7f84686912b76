package io.kitepath.net;

import io.kitepath.core.port.Timers;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the system clocks and runs timers on an event loop. */
public final class LoopTimers implements Timers {
    private static final Logger LOG = LoggerFactory.getLogger(LoopTimers.class);

    private final EventLoop loop;

    /** Creates timers whose tasks run on the event loop. */
    public LoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public double nowSeconds() {
        return System.nanoTime() / 1e9;
    }

    @Override
    public double wallClockMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public void schedule(double seconds, Runnable run) {
        loop.schedule(
                () -> {
                    try {
                        run.run();
                    } catch (RuntimeException e) {
                        LOG.error("timer task failed", e);
                    }
                },
                (long) (seconds * 1000),
                TimeUnit.MILLISECONDS);
    }
}
