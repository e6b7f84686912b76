package io.kitepath.core.service;

import io.kitepath.core.leadership.CancellationWatermark;
import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.leadership.MembershipView;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.LoopTimeAccounting;
import io.kitepath.core.model.LoopTimeAccounting.Activity;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.port.PeerNodes;
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
 * Where workers' reports arrive, at any node: answered by the holder, sent or relayed to it by
 * others, or kept waiting a moment for a leader, or for work that is about to be placed.
 */
public final class HeartbeatService {
    /** Of the 4 s after which a worker drops an answer. */
    private static final double MAX_PARK_SECONDS = 3;

    private static final int MAX_REDIRECTS_REMEMBERED = 2000;

    private final ClusterSettings settings;
    private final ShardState shard;
    private final HeartbeatProcessor heartbeatProcessor;
    private final Leadership leadership;
    private final StateWriter stateWriter;
    private final MembershipView membership;
    private final HeartbeatAuthority authority;
    private final PeerNodes siblings;
    private final Timers timers;
    private final LoopTimeAccounting loopTime;
    private final Runnable onShardChanged;

    /** Workers that were sent to the leader, and when. */
    private final Map<String, Double> redirectedAt =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                    return size() > MAX_REDIRECTS_REMEMBERED;
                }
            };

    private final Map<String, ParkedHeartbeat> parked = new LinkedHashMap<>();
    private final Map<String, HeldAnswer> heldAnswers = new LinkedHashMap<>();
    private long receivedCount;
    private long relayedCount;

    /**
     * A check-in that waits for a leader, or for this one to know which jobs may run ({@code
     * askedLeader} null), or for the answer of the one asked. {@code fencingToken}: the highest
     * that was known then.
     */
    private record ParkedHeartbeat(
            Heartbeat heartbeat,
            String askedLeader,
            long fencingToken,
            Consumer<HeartbeatResponse> answer) {}

    /** A check-in whose answer waits a moment, so that work placed meanwhile starts at once. */
    private record HeldAnswer(
            Consumer<HeartbeatResponse> answer, List<WorkerCommand> orders, long fencingToken) {}

    /** {@code changed} runs when a report may let work be placed. */
    public HeartbeatService(
            ShardState shard,
            HeartbeatProcessor heartbeatProcessor,
            Leadership leadership,
            StateWriter stateWriter,
            MembershipView membership,
            CancellationWatermark cancellationWatermark,
            PeerNodes siblings,
            Timers timers,
            LoopTimeAccounting loopTime,
            Runnable changed) {
        this.settings = shard.settings();
        this.shard = shard;
        this.heartbeatProcessor = heartbeatProcessor;
        this.leadership = leadership;
        this.stateWriter = stateWriter;
        this.membership = membership;
        this.authority = new HeartbeatAuthority(shard, leadership, cancellationWatermark);
        this.siblings = siblings;
        this.timers = timers;
        this.loopTime = loopTime;
        this.onShardChanged = changed;
    }

    public long receivedCount() {
        return receivedCount;
    }

    public long relayedCount() {
        return relayedCount;
    }

    /** A worker's report. */
    public void receive(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        receivedCount++;
        if (heartbeat.fencingToken() > leadership.highestFencingToken()) {
            leadership.onFencingTokenSeen(heartbeat.fencingToken(), null);
        }
        if (leadership.isLeading() && !stateWriter.knowsRunningJobs()) {
            // A new holder does not know yet what was cancelled, also shortly before it began.
            park(heartbeat, null, answer);
            return;
        }
        if (leadership.isLeading()) {
            double began = loopTime.now();
            answer(heartbeat, answer);
            loopTime.record(Activity.CHECK_INS, began);
            return;
        }
        if (isCutOff()) {
            // Guards against a worker that waits here, its lease running, for a leader that others
            // hear and we don't.
            answer.accept(HeartbeatResponse.redirectTo(null));
            return;
        }
        String leader = leadership.leader();
        if (leader == null || leader.equals(settings.node())) {
            park(heartbeat, null, answer);
            return;
        }
        // A worker that we sent to the leader and that is back did not get through to it, and one
        // that comes with tasks and a token has lost it, this one or the last: ask on its behalf.
        // Sending it away once more would cost it up to 5 s, of a lease that may be 10 s long. From
        // time to time it is sent to try again.
        double now = timers.nowSeconds();
        double lease = settings.workers().leaseSeconds();
        Double sent = redirectedAt.get(heartbeat.machineId());
        boolean back = sent != null && now - sent < 2 * lease;
        boolean lost =
                sent == null
                        && heartbeat.fencingToken() > 0
                        && (heartbeat.fencingToken() == leadership.highestFencingToken()
                                || !heartbeat.tasks().isEmpty());
        if (!back && !lost) {
            redirectedAt.put(heartbeat.machineId(), now);
            answer.accept(HeartbeatResponse.redirectTo(leader));
            return;
        }
        redirectedAt.putIfAbsent(heartbeat.machineId(), now);
        relayedCount++;
        ParkedHeartbeat parked = park(heartbeat, leader, answer);
        if (parked != null && !relay(leader, parked) && heartbeat.tasks().isEmpty()) {
            // One without tasks has nothing to lose; the others wait for another leader, who may
            // come soon.
            settle(parked, HeartbeatResponse.redirectTo(back ? null : leader));
        }
    }

    /**
     * Neither the store nor any sibling is heard: whoever leads, it is not to be known here, nor to
     * be asked.
     */
    private boolean isCutOff() {
        return membership.isIsolated()
                && leadership.secondsSinceStoreAnswered() > leadership.leaseSeconds() + 1;
    }

    // ---- for siblings ---------------------------------------------------------------------------

    /**
     * Asks the leader about a check-in, or a sibling that may still reach it. Guards against work
     * that dies with its lease because two zones can't reach each other: its worker loses the
     * leader, and so does the node next to it.
     */
    private boolean relay(String leader, ParkedHeartbeat parked) {
        if (!membership.isSilent(leader)
                && siblings.relayHeartbeat(
                        leader, parked.heartbeat, false, response -> settle(parked, response))) {
            return true;
        }
        for (String s : settings.siblings()) {
            if (!s.equals(leader)
                    && !membership.isSilent(s)
                    && siblings.relayHeartbeat(
                            s,
                            parked.heartbeat,
                            true,
                            response -> {
                                if (response.fencingToken() > 0) {
                                    settle(parked, response);
                                }
                            })) {
                return true;
            }
        }
        return false;
    }

    /** A check-in that a sibling asks about. */
    public void answerForPeer(
            Heartbeat heartbeat, boolean passOn, Consumer<HeartbeatResponse> answer) {
        String leader = leadership.leader();
        if (!passOn
                || leadership.isLeading()
                || leader == null
                || leader.equals(settings.node())
                || membership.isSilent(leader)
                || !siblings.relayHeartbeat(leader, heartbeat, false, answer)) {
            answer.accept(answer(heartbeat));
        }
    }

    // ---- waiting for a leader -------------------------------------------------------------------

    /**
     * Guards against work that dies with its lease although a leader is about to be there: a worker
     * that is told nothing comes back a second later, to another node, where it may wait 4 s if
     * that one is silent, while a takeover takes less. So it waits here until a leader is known:
     * one with tasks for as long as it may, any other for as long as it would have waited before
     * its next try.
     */
    private ParkedHeartbeat park(
            Heartbeat heartbeat, String asked, Consumer<HeartbeatResponse> answer) {
        if (parked.size() >= settings.limits().maxSockets() / 2) {
            answer.accept(HeartbeatResponse.redirectTo(null));
            return null;
        }
        ParkedHeartbeat waits = parked.get(heartbeat.machineId());
        if (waits != null
                && !heartbeat.isNewerThan(
                        waits.heartbeat.agentIncarnation(), waits.heartbeat.sequence())) {
            // Guards against a copy of an older report that sends the worker away whose report
            // waits here.
            answer.accept(HeartbeatResponse.redirectTo(null));
            return null;
        }
        ParkedHeartbeat parkedHeartbeat =
                new ParkedHeartbeat(heartbeat, asked, leadership.highestFencingToken(), answer);
        ParkedHeartbeat older = parked.put(heartbeat.machineId(), parkedHeartbeat);
        if (older != null) {
            older.answer.accept(HeartbeatResponse.redirectTo(null));
        }
        timers.schedule(
                heartbeat.tasks().isEmpty() ? 1 : MAX_PARK_SECONDS,
                () -> settle(parkedHeartbeat, HeartbeatResponse.redirectTo(null)));
        return parkedHeartbeat;
    }

    /** Answers a check-in that waits; nothing happens if it has been answered already. */
    private void settle(ParkedHeartbeat parkedHeartbeat, HeartbeatResponse response) {
        if (parked.get(parkedHeartbeat.heartbeat.machineId()) == parkedHeartbeat) {
            parked.remove(parkedHeartbeat.heartbeat.machineId());
            parkedHeartbeat.answer.accept(response);
        }
    }

    /**
     * Another leader is known: what waits for one, or for the answer of the last one, goes to it.
     * The last one may have had the same name: a process that ended and is back has forgotten what
     * it was asked.
     */
    public void onLeaderKnown() {
        String leader = leadership.leader();
        for (ParkedHeartbeat parkedHeartbeat : new ArrayList<>(parked.values())) {
            if (parkedHeartbeat.askedLeader == null
                    || !parkedHeartbeat.askedLeader.equals(leader)
                    || parkedHeartbeat.fencingToken < leadership.highestFencingToken()) {
                parked.remove(parkedHeartbeat.heartbeat.machineId(), parkedHeartbeat);
                receive(parkedHeartbeat.heartbeat, parkedHeartbeat.answer);
            }
        }
    }

    // ---- the holder's answers -------------------------------------------------------------------

    /**
     * The holder's answer to a report that a sibling asks about: at once, for the worker's time is
     * running.
     */
    private HeartbeatResponse answer(Heartbeat heartbeat) {
        if (!stateWriter.knowsRunningJobs() || !authority.mayAnswer(heartbeat)) {
            heartbeatProcessor.recordUnanswered(heartbeat, timers.nowSeconds());
            return HeartbeatResponse.redirectTo(
                    leadership.isLeading() ? null : leadership.leader());
        }
        boolean news = heartbeatProcessor.isNewer(heartbeat);
        List<WorkerCommand> orders =
                new ArrayList<>(
                        heartbeatProcessor.process(
                                heartbeat,
                                stateWriter.isLoaded(),
                                stateWriter::mayRun,
                                timers.nowSeconds()));
        if (news) {
            // Nothing is launched into the answer to a late copy, which nobody hears.
            orders.addAll(
                    heartbeatProcessor.commands(
                            heartbeat.machineId(), leadership.mayLaunch(), timers.nowSeconds()));
        }
        if (shard.isSchedulingNeeded()) {
            onShardChanged.run();
        }
        return new HeartbeatResponse(shard.fencingToken(), orders, null);
    }

    private void answer(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        String machine = heartbeat.machineId();
        if (!heartbeatProcessor.isNewer(heartbeat)) {
            // Guards against a late copy that takes the place of the report whose answer is held.
            answer.accept(answer(heartbeat));
            return;
        }
        release(machine);
        HeartbeatResponse now = answer(heartbeat);
        boolean idle =
                now.fencingToken() > 0
                        && now.commands().stream()
                                .allMatch(
                                        command -> command.action() == WorkerCommand.Action.FORGET);
        double patience =
                idle && stateWriter.isLoaded() && leadership.mayLaunch()
                        ? heartbeatProcessor.answerHoldSeconds(machine)
                        : 0;
        if (patience == 0) {
            answer.accept(now);
            return;
        }
        HeldAnswer heldAnswer = new HeldAnswer(answer, now.commands(), now.fencingToken());
        heldAnswers.put(machine, heldAnswer);
        timers.schedule(
                patience,
                () -> {
                    if (heldAnswers.get(machine) == heldAnswer) {
                        release(machine);
                    }
                });
    }

    /** Answers the machine's check-in now if its answer is held; returns whether it was. */
    public boolean release(String machine) {
        HeldAnswer heldAnswer = heldAnswers.remove(machine);
        if (heldAnswer == null) {
            return false;
        }
        // What was true when the report came need not be when the answer goes.
        if (!leadership.isLeading()
                || shard.fencingToken() != heldAnswer.fencingToken
                || !authority.knowsCancellations()) {
            heldAnswer.answer.accept(
                    HeartbeatResponse.redirectTo(
                            leadership.isLeading() ? null : leadership.leader()));
            return true;
        }
        List<WorkerCommand> orders = new ArrayList<>(heldAnswer.orders);
        orders.addAll(
                heartbeatProcessor.commands(machine, leadership.mayLaunch(), timers.nowSeconds()));
        heldAnswer.answer.accept(new HeartbeatResponse(heldAnswer.fencingToken, orders, null));
        return true;
    }

    /** What was just written may be launched. */
    public void onWritten() {
        double began = loopTime.now();
        for (String machine : new ArrayList<>(heldAnswers.keySet())) {
            if (heartbeatProcessor.hasCommands(machine)) {
                release(machine);
            }
        }
        loopTime.record(Activity.ANSWERS, began);
    }

    /** This node leads no more. */
    public void releaseAll() {
        for (String machine : new ArrayList<>(heldAnswers.keySet())) {
            release(machine);
        }
    }
}
