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
 * The leader's own answers to heartbeats. The answer to a machine that has nothing to do is held
 * for a moment, so that work which is placed on it meanwhile starts at once.
 */
final class HeartbeatResponder {
    /**
     * An answer that is held.
     *
     * @param fencingToken under which the heartbeat was processed
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

    /** Answers a worker that asked this node itself, at once or when there is work for it. */
    void respond(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        double startedAt = loopTime.nowSeconds();
        if (heartbeatProcessor.isNewer(heartbeat)) {
            respondToNewest(heartbeat, answer);
        } else {
            // Guards against a late copy that takes the place of the heartbeat whose answer is
            // held.
            answer.accept(process(heartbeat, false));
        }
        loopTime.record(Activity.CHECK_INS, startedAt);
    }

    /** Answers a heartbeat that a peer asks about: at once, for the worker's time is running. */
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

    /** Whether the worker is told to do nothing but forget tasks that have ended. */
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

    /** {@code isNewest}: no newer heartbeat of its machine has been processed. */
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
                                stateWriter::mayHaveRunningTasks,
                                timers.nowSeconds()));
        if (isNewest) {
            // Nothing is launched by the answer to a late copy, which nobody hears.
            commands.addAll(startAndStopCommands(heartbeat.machineId()));
        }
        if (shard.isSchedulingNeeded()) {
            onSchedulingNeeded.run();
        }
        return new HeartbeatResponse(shard.fencingToken(), commands, null);
    }

    /** What the machine shall start and stop; it starts nothing unless launches may go now. */
    private List<WorkerCommand> startAndStopCommands(String machineId) {
        return heartbeatProcessor.commands(machineId, leadership.mayLaunch(), timers.nowSeconds());
    }

    /** Answers without a token: to the leader, or to any other node if this one leads itself. */
    private HeartbeatResponse redirect() {
        return leadership.isLeading()
                ? ParkedHeartbeats.noLeaderKnown()
                : HeartbeatResponse.redirectTo(leadership.leader());
    }

    /** Answers the machine's heartbeat now if its answer is held; returns whether it was. */
    boolean release(String machineId) {
        HeldAnswer held = heldAnswers.remove(machineId);
        if (held == null) {
            return false;
        }
        // What was true when the heartbeat came need not be when the answer goes.
        if (!authority.mayStillAnswer(held.fencingToken)) {
            held.answer.accept(redirect());
            return true;
        }
        List<WorkerCommand> commands = new ArrayList<>(held.commands);
        commands.addAll(startAndStopCommands(machineId));
        held.answer.accept(new HeartbeatResponse(held.fencingToken, commands, null));
        return true;
    }

    /** Releases the answers to all machines that something may be launched or stopped on now. */
    void releaseWithCommands() {
        double startedAt = loopTime.nowSeconds();
        for (String machineId : new ArrayList<>(heldAnswers.keySet())) {
            if (heartbeatProcessor.hasCommands(machineId)) {
                release(machineId);
            }
        }
        loopTime.record(Activity.ANSWERS, startedAt);
    }

    void releaseAll() {
        new ArrayList<>(heldAnswers.keySet()).forEach(this::release);
    }
}
