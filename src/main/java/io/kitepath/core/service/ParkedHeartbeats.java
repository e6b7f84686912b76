package io.kitepath.core.service;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.port.Timers;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Holds heartbeats that wait at this node for a leader, or for the response of the node to which
 * they were relayed; at most one of each machine.
 *
 * <p>Guards against tasks that are lost with their lease although a leader is about to be elected:
 * a worker that receives no leader retries a second later at another node, where it may wait 4 s if
 * that node is unresponsive, while a failover takes less. So the heartbeat waits here until a
 * leader is known: that of a worker with tasks as long as the worker waits for a response, any
 * other as long as the worker would have waited before its next try.
 */
final class ParkedHeartbeats {
    /** Below the 4 s after which a worker discards a response. */
    private static final double MAX_PARK_SECONDS = 3;

    /** The time after which a worker without tasks retries if its response names no leader. */
    private static final double MAX_PARK_SECONDS_WITHOUT_TASKS = 1;

    /**
     * A heartbeat that waits.
     *
     * @param relayLeader the leader to which the heartbeat was relayed; empty if it waits for any
     *     leader, or for this node as the leader to know which jobs may run
     * @param highestFencingToken the highest fencing token that was known when the wait began
     */
    record ParkedHeartbeat(
            Heartbeat heartbeat,
            Optional<String> relayLeader,
            long highestFencingToken,
            Consumer<HeartbeatResponse> onResponse) {
        private String machineId() {
            return heartbeat.machineId();
        }

        /**
         * Returns whether the heartbeat can be sent to another leader now. The new leader may have
         * the same name as the previous one: a restarted process has lost the requests that it
         * received before.
         */
        boolean isOutdated(String leader, long fencingToken) {
            return relayLeader.isEmpty()
                    || !relayLeader.get().equals(leader)
                    || highestFencingToken < fencingToken;
        }
    }

    private final Timers timers;
    private final int maxParked;

    /** By machine. */
    private final Map<String, ParkedHeartbeat> parkedByMachine = new LinkedHashMap<>();

    /**
     * Creates an empty set of parked heartbeats.
     *
     * @param maxParked beyond this number, the response to a heartbeat is immediately that no
     *     leader is known
     */
    ParkedHeartbeats(Timers timers, int maxParked) {
        this.timers = timers;
        this.maxParked = maxParked;
    }

    /** Returns the response that names no leader, upon which the worker tries any other node. */
    static HeartbeatResponse noLeaderKnown() {
        return HeartbeatResponse.redirectTo(null);
    }

    /**
     * Parks a heartbeat in place of an older one of the same machine.
     *
     * @return the parked heartbeat; empty if it received a response instead
     */
    Optional<ParkedHeartbeat> park(
            Heartbeat heartbeat,
            Optional<String> relayLeader,
            long highestFencingToken,
            Consumer<HeartbeatResponse> onResponse) {
        if (parkedByMachine.size() >= maxParked || isLateDuplicate(heartbeat)) {
            onResponse.accept(noLeaderKnown());
            return Optional.empty();
        }
        ParkedHeartbeat parkedHeartbeat =
                new ParkedHeartbeat(heartbeat, relayLeader, highestFencingToken, onResponse);
        ParkedHeartbeat olderHeartbeat =
                parkedByMachine.put(heartbeat.machineId(), parkedHeartbeat);
        if (olderHeartbeat != null) {
            olderHeartbeat.onResponse.accept(noLeaderKnown());
        }
        timers.schedule(
                heartbeat.tasks().isEmpty() ? MAX_PARK_SECONDS_WITHOUT_TASKS : MAX_PARK_SECONDS,
                () -> respond(parkedHeartbeat, noLeaderKnown()));
        return Optional.of(parkedHeartbeat);
    }

    /**
     * Guards against a duplicate of an older heartbeat that ends the wait of the worker's current
     * one.
     */
    private boolean isLateDuplicate(Heartbeat heartbeat) {
        ParkedHeartbeat parkedHeartbeat = parkedByMachine.get(heartbeat.machineId());
        return parkedHeartbeat != null
                && !heartbeat.isNewerThan(
                        parkedHeartbeat.heartbeat.agentIncarnation(),
                        parkedHeartbeat.heartbeat.sequence());
    }

    /** Responds to a parked heartbeat; does nothing if it has received its response already. */
    void respond(ParkedHeartbeat parkedHeartbeat, HeartbeatResponse response) {
        if (parkedByMachine.get(parkedHeartbeat.machineId()) == parkedHeartbeat) {
            parkedByMachine.remove(parkedHeartbeat.machineId());
            parkedHeartbeat.onResponse.accept(response);
        }
    }

    /** Returns all parked heartbeats, in the order in which their machines began to wait. */
    List<ParkedHeartbeat> snapshot() {
        return new ArrayList<>(parkedByMachine.values());
    }

    /** Removes a parked heartbeat without a response; the caller has to respond to it. */
    void remove(ParkedHeartbeat parkedHeartbeat) {
        parkedByMachine.remove(parkedHeartbeat.machineId(), parkedHeartbeat);
    }
}
