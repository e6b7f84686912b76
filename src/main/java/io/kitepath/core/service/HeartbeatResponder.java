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
    private record HeldAnswer(
            Consumer<HeartbeatResponse> answer, List<WorkerCommand> commands, long fencingToken) {}

    private final ShardState shard;
    private final HeartbeatProcessor heartbeatProcessor;
    private final Leadership leadership;
    private final StateWriter stateWriter;
    private final HeartbeatAuthority authority;
    private final Timers timers;
    private final LoopTimeAccounting loopTime;
    private final Runnable onSchedulingNeeded;

    /** By machine. */
    private final Map<String, HeldAnswer> heldAnswers = new LinkedHashMap<>();

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
    void respond(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        double startedAt = loopTime.now();
        if (heartbeatProcessor.isNewer(heartbeat)) {
            respondToNewest(heartbeat, answer);
        } else {
            // Guards against a late duplicate that replaces the heartbeat whose response is held.
            answer.accept(process(heartbeat, false));
        }
        loopTime.record(Activity.CHECK_INS, startedAt);
    }

    /**
     * Returns the response to a heartbeat that a peer relayed. It is not held, as the worker's
     * lease is running out.
     */
    HeartbeatResponse respondAtOnce(Heartbeat heartbeat) {
        return process(heartbeat, heartbeatProcessor.isNewer(heartbeat));
    }

    private void respondToNewest(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        String machineId = heartbeat.machineId();
        release(machineId);
        HeartbeatResponse response = process(heartbeat, true);
        double holdSeconds = isIdle(response) ? holdSeconds(machineId) : 0;
        if (holdSeconds == 0) {
            answer.accept(response);
            return;
        }
        HeldAnswer held = new HeldAnswer(answer, response.commands(), response.fencingToken());
        heldAnswers.put(machineId, held);
        timers.schedule(
                holdSeconds,
                () -> {
                    if (heldAnswers.get(machineId) == held) {
                        release(machineId);
                    }
                });
    }

    /** Returns whether the response contains no commands but to forget tasks that have ended. */
    private static boolean isIdle(HeartbeatResponse response) {
        return response.fencingToken() > 0
                && response.commands().stream()
                        .allMatch(command -> command.action() == WorkerCommand.Action.FORGET);
    }

    private double holdSeconds(String machineId) {
        return stateWriter.isLoaded() && leadership.mayLaunch()
                ? heartbeatProcessor.answerHoldSeconds(machineId)
                : 0;
    }

    /**
     * Processes a heartbeat and returns the response to it.
     *
     * @param isNewest whether no newer heartbeat of its machine has been processed
     */
    private HeartbeatResponse process(Heartbeat heartbeat, boolean isNewest) {
        if (!stateWriter.knowsRunningJobs() || !authority.mayAnswer(heartbeat)) {
            heartbeatProcessor.recordUnanswered(heartbeat, timers.nowSeconds());
            return redirect();
        }
        List<WorkerCommand> commands =
                new ArrayList<>(
                        heartbeatProcessor.process(
                                heartbeat,
                                stateWriter.isLoaded(),
                                stateWriter::mayRun,
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
    private HeartbeatResponse redirect() {
        return leadership.isLeading()
                ? ParkedHeartbeats.noLeaderKnown()
                : HeartbeatResponse.redirectTo(leadership.leader());
    }

    /**
     * Sends the held response to the machine's heartbeat now, if there is one.
     *
     * @return whether a response was held
     */
    boolean release(String machineId) {
        HeldAnswer held = heldAnswers.remove(machineId);
        if (held == null) {
            return false;
        }
        // The node's authority may have changed since the heartbeat was received.
        if (!authority.mayStillAnswer(held.fencingToken)) {
            held.answer.accept(redirect());
            return true;
        }
        List<WorkerCommand> commands = new ArrayList<>(held.commands);
        commands.addAll(startAndStopCommands(machineId));
        held.answer.accept(new HeartbeatResponse(held.fencingToken, commands, null));
        return true;
    }

    /**
     * Releases the held responses to all machines for which there are start or stop commands now.
     */
    void releaseWithCommands() {
        double startedAt = loopTime.now();
        for (String machineId : new ArrayList<>(heldAnswers.keySet())) {
            if (heartbeatProcessor.hasCommands(machineId)) {
                release(machineId);
            }
        }
        loopTime.record(Activity.ANSWERS, startedAt);
    }

    /** Releases all held responses. */
    void releaseAll() {
        new ArrayList<>(heldAnswers.keySet()).forEach(this::release);
    }
}
