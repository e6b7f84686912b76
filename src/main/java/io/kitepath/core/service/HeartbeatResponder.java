package io.kitepath.core.service;

import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.LoopTimeAccounting;
import io.kitepath.core.model.LoopTimeAccounting.Activity;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.HeartbeatProcessor;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Responds to heartbeats as the leader. The response to an idle machine is held briefly, so that a
 * task that is placed on it meanwhile starts without delay.
 */
final class HeartbeatResponder {
    /**
     * A response that is held back.
     *
     * @param fencingToken the fencing token under which the heartbeat was processed
     */
    private record HeldResponse(
            Consumer<HeartbeatResponse> onResponse,
            List<WorkerCommand> commands,
            long fencingToken) {}

    /** Each held response occupies a connection. */
    private static final int SOCKETS_PER_HELD_RESPONSE = 4;

    private final ShardState shard;
    private final HeartbeatProcessor heartbeatProcessor;
    private final Leadership leadership;
    private final StateWriter stateWriter;
    private final HeartbeatAuthority authority;
    private final Timers timers;
    private final LoopTimeAccounting loopTime;
    private final Runnable onSchedulingNeeded;

    /** By machine. */
    private final Map<String, HeldResponse> heldResponses = new LinkedHashMap<>();

    HeartbeatResponder(
            LeaderComponents components,
            Timers timers,
            LoopTimeAccounting loopTime,
            Runnable onSchedulingNeeded) {
        this.shard = components.shard();
        this.heartbeatProcessor = components.heartbeatProcessor();
        this.leadership = components.leadership();
        this.stateWriter = components.stateWriter();
        this.authority =
                new HeartbeatAuthority(shard, leadership, components.cancellationWatermark());
        this.timers = timers;
        this.loopTime = loopTime;
        this.onSchedulingNeeded = onSchedulingNeeded;
    }

    /**
     * Responds to a worker that contacted this node directly, immediately or when there is work for
     * it.
     */
    void respond(Heartbeat heartbeat, Consumer<HeartbeatResponse> onResponse) {
        double startedAtSeconds = loopTime.nowSeconds();
        if (heartbeatProcessor.isNewer(heartbeat)) {
            respondToNewest(heartbeat, onResponse);
        } else {
            // Guards against a late duplicate that replaces the heartbeat whose response is held.
            onResponse.accept(process(heartbeat, false));
        }
        loopTime.record(Activity.CHECK_INS, startedAtSeconds);
    }

    /**
     * Returns the response to a heartbeat that a peer relayed. It is not held, as the worker's
     * lease is running out.
     */
    HeartbeatResponse respondImmediately(Heartbeat heartbeat) {
        return process(heartbeat, heartbeatProcessor.isNewer(heartbeat));
    }

    private void respondToNewest(Heartbeat heartbeat, Consumer<HeartbeatResponse> onResponse) {
        String machineId = heartbeat.machineId();
        releaseHeldResponse(machineId);
        HeartbeatResponse response = process(heartbeat, true);
        double holdSeconds = isIdle(response) ? holdSeconds(machineId) : 0;
        if (holdSeconds == 0 || heldResponses.size() >= maxHeldResponses()) {
            onResponse.accept(response);
            return;
        }
        HeldResponse held =
                new HeldResponse(onResponse, response.commands(), response.fencingToken());
        heldResponses.put(machineId, held);
        timers.schedule(
                holdSeconds,
                () -> {
                    if (heldResponses.get(machineId) == held) {
                        releaseHeldResponse(machineId);
                    }
                });
    }

    private int maxHeldResponses() {
        return shard.settings().limits().maxSockets() / SOCKETS_PER_HELD_RESPONSE;
    }

    /** Returns whether the response contains no commands but to forget tasks that have ended. */
    private static boolean isIdle(HeartbeatResponse response) {
        return response.fencingToken() > 0
                && response.commands().stream()
                        .allMatch(command -> command.action() == WorkerCommand.Action.FORGET);
    }

    private double holdSeconds(String machineId) {
        return stateWriter.isLoaded() && leadership.mayLaunch()
                ? heartbeatProcessor.responseHoldSeconds(machineId)
                : 0;
    }

    /**
     * Processes a heartbeat and returns the response to it.
     *
     * @param isNewest whether no newer heartbeat of its machine has been processed
     */
    private HeartbeatResponse process(Heartbeat heartbeat, boolean isNewest) {
        if (!stateWriter.knowsRunningJobs() || !authority.mayRespond(heartbeat)) {
            heartbeatProcessor.recordUnanswered(heartbeat, timers.nowSeconds());
            return createRedirect();
        }
        List<WorkerCommand> commands =
                new ArrayList<>(
                        heartbeatProcessor.process(
                                heartbeat,
                                stateWriter.isLoaded(),
                                stateWriter::mayHaveRunningTasks,
                                timers.nowSeconds()));
        if (isNewest) {
            // The response to a late duplicate launches nothing, as no worker receives it.
            commands.addAll(startAndStopCommands(heartbeat.machineId()));
        }
        if (shard.isSchedulingNeeded()) {
            onSchedulingNeeded.run();
        }
        return new HeartbeatResponse(shard.fencingToken(), commands, null);
    }

    /**
     * Returns the machine's start and stop commands; no start commands unless launches are allowed
     * now.
     */
    private List<WorkerCommand> startAndStopCommands(String machineId) {
        return heartbeatProcessor.commands(machineId, leadership.mayLaunch(), timers.nowSeconds());
    }

    /**
     * Returns a response without a fencing token, which redirects the worker to the leader, or to
     * any other node if this node is the leader.
     */
    private HeartbeatResponse createRedirect() {
        return leadership.isLeading()
                ? ParkedHeartbeats.noLeaderKnown()
                : HeartbeatResponse.redirectTo(leadership.leader());
    }

    /**
     * Sends the held response to the machine's heartbeat now, if there is one.
     *
     * @return whether a response was held
     */
    boolean releaseHeldResponse(String machineId) {
        HeldResponse held = heldResponses.remove(machineId);
        if (held == null) {
            return false;
        }
        // The node's authority may have changed since the heartbeat was received.
        if (!authority.mayStillRespond(held.fencingToken)) {
            held.onResponse.accept(createRedirect());
            return true;
        }
        List<WorkerCommand> commands = new ArrayList<>(held.commands);
        commands.addAll(startAndStopCommands(machineId));
        held.onResponse.accept(new HeartbeatResponse(held.fencingToken, commands, null));
        return true;
    }

    /**
     * Releases the held responses to all machines for which there are start or stop commands now.
     */
    void releaseResponsesWithCommands() {
        double startedAtSeconds = loopTime.nowSeconds();
        for (String machineId : new ArrayList<>(heldResponses.keySet())) {
            if (heartbeatProcessor.hasCommands(machineId)) {
                releaseHeldResponse(machineId);
            }
        }
        loopTime.record(Activity.ANSWERS, startedAtSeconds);
    }

    /** Releases all held responses. */
    void releaseAllHeldResponses() {
        new ArrayList<>(heldResponses.keySet()).forEach(this::releaseHeldResponse);
    }
}
