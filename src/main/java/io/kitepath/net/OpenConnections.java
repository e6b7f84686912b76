package io.kitepath.net;

import io.kitepath.core.model.LogThrottle;
import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The open connections of a server, within the limit of its {@link ConnectionPolicy}. Used on the
 * event loop only.
 */
final class OpenConnections {
    private static final Logger LOG = LoggerFactory.getLogger(OpenConnections.class);

    private static final double LOG_INTERVAL_SECONDS = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private final ConnectionPolicy policy;

    /** Connections that may give way and have no request in flight, the longest idle one first. */
    private final Set<Channel> replaceable = new LinkedHashSet<>();

    private final LogThrottle refusalLog = new LogThrottle(LOG_INTERVAL_SECONDS);
    private final LogThrottle replacementLog = new LogThrottle(LOG_INTERVAL_SECONDS);
    private int openCount;
    private long refusedCount;
    private long replacedCount;

    OpenConnections(ConnectionPolicy policy) {
        this.policy = policy;
    }

    /** Returns the number of open connections. */
    int openCount() {
        return openCount;
    }

    /** Returns how many connections were closed at once because too many were open. */
    long refusedCount() {
        return refusedCount;
    }

    /** Returns how many idle connections were closed because others needed their places. */
    long replacedCount() {
        return replacedCount;
    }

    /** Returns whether connections that may give way should not be kept open. */
    boolean areScarce() {
        return policy.isScarce(openCount);
    }

    /**
     * Admits a new connection, in place of the longest idle one if too many are open and one may
     * give way; otherwise closes the new one.
     *
     * @return whether the connection was admitted
     */
    boolean admit(Channel channel) {
        if (openCount >= policy.maxConnections() && !replaceOne()) {
            refuse(channel);
            return false;
        }
        openCount++;
        replaceable.add(channel);
        channel.closeFuture()
                .addListener(
                        closed -> {
                            openCount--;
                            replaceable.remove(channel);
                        });
        return true;
    }

    /** Records that a request was received on the connection. */
    void onRequest(Channel channel) {
        replaceable.remove(channel);
    }

    /** Records that a connection without a request in flight may give way from now on. */
    void onReplaceable(Channel channel) {
        if (channel.isActive()) {
            replaceable.add(channel);
        }
    }

    private boolean replaceOne() {
        Iterator<Channel> longestIdleFirst = replaceable.iterator();
        if (!longestIdleFirst.hasNext()) {
            return false;
        }
        Channel replaced = longestIdleFirst.next();
        longestIdleFirst.remove();
        replacedCount++;
        if (replacementLog.tryLog(nowSeconds())) {
            LOG.info(
                    "idle connection replaced, too many are open: open={} limit={} others={}",
                    openCount,
                    policy.maxConnections(),
                    replacementLog.takeSuppressed());
        }
        replaced.close();
        return true;
    }

    private void refuse(Channel channel) {
        refusedCount++;
        channel.close();
        if (refusalLog.tryLog(nowSeconds())) {
            LOG.warn(
                    "connection refused, too many are open: open={} limit={} others={}",
                    openCount,
                    policy.maxConnections(),
                    refusalLog.takeSuppressed());
        }
    }

    private static double nowSeconds() {
        return System.nanoTime() / NANOS_PER_SECOND;
    }
}
