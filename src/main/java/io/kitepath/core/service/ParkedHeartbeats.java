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
     * @param askedLeader the leader to which the heartbeat was relayed; empty if it waits for any
     *     leader, or for this node as the leader to know which jobs may run
     * @param highestFencingToken the highest fencing token that was known when the wait began
     */
    record ParkedHeartbeat(
            Heartbeat heartbeat,
            Optional<String> askedLeader,
            long highestFencingToken,
            Consumer<HeartbeatResponse> answer) {
        private String machineId() {
            return heartbeat.machineId();
        }

        /**
         * Returns whether the heartbeat can be sent to another leader now. The new leader may have
         * the same name as the previous one: a restarted process has lost the requests that it
         * received before.
         */
        boolean isOutdated(String leader, long fencingToken) {
            return askedLeader.isEmpty()
                    || !askedLeader.get().equals(leader)
                    || highestFencingToken < fencingToken;
        }
    }

    private final Timers timers;
    private final int maxParked;

    /** By machine. */
    private final Map<String, ParkedHeartbeat> parked = new LinkedHashMap<>();

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
            Optional<String> askedLeader,
            long highestFencingToken,
            Consumer<HeartbeatResponse> answer) {
        if (parked.size() >= maxParked || isLateCopy(heartbeat)) {
            answer.accept(noLeaderKnown());
            return Optional.empty();
        }
        ParkedHeartbeat waiting =
                new ParkedHeartbeat(heartbeat, askedLeader, highestFencingToken, answer);
        ParkedHeartbeat older = parked.put(heartbeat.machineId(), waiting);
        if (older != null) {
            older.answer.accept(noLeaderKnown());
        }
        timers.schedule(
                heartbeat.tasks().isEmpty() ? MAX_PARK_SECONDS_WITHOUT_TASKS : MAX_PARK_SECONDS,
                () -> settle(waiting, noLeaderKnown()));
        return Optional.of(waiting);
    }

    /**
     * Guards against a duplicate of an older heartbeat that ends the wait of the worker's current
     * one.
     */
    private boolean isLateCopy(Heartbeat heartbeat) {
        ParkedHeartbeat waiting = parked.get(heartbeat.machineId());
        return waiting != null
                && !heartbeat.isNewerThan(
                        waiting.heartbeat.agentIncarnation(), waiting.heartbeat.sequence());
    }

    /** Responds to a parked heartbeat; does nothing if it has received its response already. */
    void settle(ParkedHeartbeat waiting, HeartbeatResponse response) {
        if (parked.get(waiting.machineId()) == waiting) {
            parked.remove(waiting.machineId());
            waiting.answer.accept(response);
        }
    }

    /** Returns all parked heartbeats, in the order in which their machines began to wait. */
    List<ParkedHeartbeat> waiting() {
        return new ArrayList<>(parked.values());
    }

    /** Removes a parked heartbeat without a response; the caller has to respond to it. */
    void remove(ParkedHeartbeat waiting) {
        parked.remove(waiting.machineId(), waiting);
    }
}
