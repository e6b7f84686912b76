package io.kitepath.net;

import java.util.function.Predicate;

/**
 * How many connections an {@link HttpServer} keeps open, and whose connections give way to others.
 *
 * @param maxConnections the maximum number of open connections
 * @param idleSeconds the time without a request after which a connection is closed, so that
 *     abandoned connections don't accumulate
 * @param mayGiveWay whether the client that sent the request can do without a persistent
 *     connection; such a connection is closed after its response when connections are scarce, and
 *     between requests when a new one needs its place
 */
public record ConnectionPolicy(
        int maxConnections, int idleSeconds, Predicate<HttpServer.Request> mayGiveWay) {
    /** Share of the connections from which on those that may give way are not kept open. */
    private static final double SCARCE_FROM_SHARE = 0.75;

    /** Creates a policy under which no client's connection gives way. */
    public ConnectionPolicy(int maxConnections, int idleSeconds) {
        this(maxConnections, idleSeconds, request -> false);
    }

    /** Returns whether connections are scarce while that many are open. */
    boolean isScarce(int openConnections) {
        return openConnections > maxConnections * SCARCE_FROM_SHARE;
    }
}
