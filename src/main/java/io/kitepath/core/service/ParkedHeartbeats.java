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
 * Heartbeats that wait at this node for a leader, or for the answer of the node that was asked, at
 * most one of each machine.
 *
 * <p>Guards against work that dies with its lease although a leader is about to be elected: a
 * worker that is told of no leader comes back a second later, to another node, where it may wait 4
 * s if that one is silent, while a failover takes less. So it waits here until a leader is known:
 * one with tasks for as long as it may, any other for as long as it would have waited before its
 * next try.
 */
final class ParkedHeartbeats {
    /** Of the 4 s after which a worker drops an answer. */
    private static final double MAX_PARK_SECONDS = 3;

    /** After being told of no leader, a worker without tasks comes back after this long. */
    private static final double MAX_PARK_SECONDS_WITHOUT_TASKS = 1;

    /**
     * A heartbeat that waits.
     *
     * @param askedLeader the leader that was asked on the worker's behalf; empty if it waits for
     *     any leader, or for this one to know which jobs may run
     * @param highestFencingToken that was known when it began to wait
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
         * Whether there is somebody else to ask now. The new leader may have the same name as the
         * one that was asked: a process that was restarted has forgotten what it was asked.
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

    /** {@code maxParked}: further heartbeats are told of no leader at once. */
    ParkedHeartbeats(Timers timers, int maxParked) {
        this.timers = timers;
        this.maxParked = maxParked;
    }

    /** The answer that names no leader: the worker shall try any other node. */
    static HeartbeatResponse noLeaderKnown() {
        return HeartbeatResponse.redirectTo(null);
    }

    /**
     * Lets a heartbeat wait, in place of an older one of the same machine; empty if it has been
     * answered instead.
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
     * Guards against a copy of an older heartbeat that sends the worker away whose heartbeat waits
     * here.
     */
    private boolean isLateCopy(Heartbeat heartbeat) {
        ParkedHeartbeat waiting = parked.get(heartbeat.machineId());
        return waiting != null
                && !heartbeat.isNewerThan(
                        waiting.heartbeat.agentIncarnation(), waiting.heartbeat.sequence());
    }

    /** Answers a heartbeat that waits; nothing happens if it has been answered already. */
    void settle(ParkedHeartbeat waiting, HeartbeatResponse response) {
        if (parked.get(waiting.machineId()) == waiting) {
            parked.remove(waiting.machineId());
            waiting.answer.accept(response);
        }
    }

    /** All that wait now, in the order in which their machines began to. */
    List<ParkedHeartbeat> waiting() {
        return new ArrayList<>(parked.values());
    }

    /** Lets it wait no longer; the caller answers it. */
    void remove(ParkedHeartbeat waiting) {
        parked.remove(waiting.machineId(), waiting);
    }
}
