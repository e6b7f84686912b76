package io.kitepath.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Which connection gives way to a new one, and which never does. */
class OpenConnectionsTest {
    private static final int MAX_CONNECTIONS = 4;
    private static final int IDLE_SECONDS = 60;

    private final OpenConnections connections =
            new OpenConnections(new ConnectionPolicy(MAX_CONNECTIONS, IDLE_SECONDS));

    private Channel admitted() {
        Channel channel = new EmbeddedChannel();
        assertTrue(connections.admit(channel));
        return channel;
    }

    private Channel admittedWorker() {
        Channel channel = admitted();
        connections.onRequest(channel);
        connections.onReplaceable(channel);
        return channel;
    }

    private Channel admittedUser() {
        Channel channel = admitted();
        connections.onRequest(channel);
        return channel;
    }

    @Test
    void theLongestIdleWorkerGivesWay() {
        Channel user = admittedUser();
        Channel busyAgain = admittedWorker();
        Channel longestIdle = admittedWorker();
        Channel worker = admittedWorker();
        connections.onRequest(busyAgain);
        connections.onReplaceable(busyAgain);
        admitted();
        assertFalse(longestIdle.isActive());
        assertTrue(user.isActive() && busyAgain.isActive() && worker.isActive());
        assertEquals(MAX_CONNECTIONS, connections.openCount());
        assertEquals(1, connections.replacedCount());
        assertEquals(0, connections.refusedCount());
    }

    @Test
    void aWorkerWhoseRequestIsInFlightDoesNotGiveWay() {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            connections.onRequest(admittedWorker());
        }
        Channel refused = new EmbeddedChannel();
        assertFalse(connections.admit(refused));
        assertFalse(refused.isActive());
        assertEquals(1, connections.refusedCount());
        assertEquals(MAX_CONNECTIONS, connections.openCount());
    }

    @Test
    void aClosedConnectionLeavesItsPlace() {
        admittedUser().close();
        assertEquals(0, connections.openCount());
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            admittedUser();
        }
        assertFalse(connections.admit(new EmbeddedChannel()));
    }

    @Test
    void connectionsAreScarceFromThreeQuartersOfTheLimitOn() {
        for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
            admitted();
            assertFalse(connections.areScarce());
        }
        admitted();
        assertTrue(connections.areScarce());
    }
}
