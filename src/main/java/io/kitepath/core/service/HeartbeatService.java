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
    private static final double MAX_PARK_S = 3;

    private static final int SENT_AWAY = 2000;

    private final ClusterSettings facts;
    private final ShardState block;
    private final HeartbeatProcessor heartbeats;
    private final Leadership leadership;
    private final StateWriter keeper;
    private final MembershipView views;
    private final HeartbeatAuthority entitlement;
    private final PeerNodes siblings;
    private final Timers timers;
    private final LoopTimeAccounting spent;
    private final Runnable changed;

    /** Workers that were sent to the leader, and when. */
    private final Map<String, Double> sentAway =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                    return size() > SENT_AWAY;
                }
            };

    private final Map<String, Parked> parked = new LinkedHashMap<>();
    private final Map<String, Held> held = new LinkedHashMap<>();
    private long received;
    private long relayed;

    /**
     * A check-in that waits for a leader, or for this one to know which jobs may run ({@code asked}
     * null), or for the answer of the one asked. {@code token}: the highest that was known then.
     */
    private record Parked(
            Heartbeat report, String asked, long token, Consumer<HeartbeatResponse> answer) {}

    /** A check-in whose answer waits a moment, so that work placed meanwhile starts at once. */
    private record Held(
            Consumer<HeartbeatResponse> answer, List<WorkerCommand> orders, long token) {}

    /** {@code changed} runs when a report may let work be placed. */
    public HeartbeatService(
            ShardState block,
            HeartbeatProcessor heartbeats,
            Leadership leadership,
            StateWriter keeper,
            MembershipView views,
            CancellationWatermark known,
            PeerNodes siblings,
            Timers timers,
            LoopTimeAccounting spent,
            Runnable changed) {
        this.facts = block.facts();
        this.block = block;
        this.heartbeats = heartbeats;
        this.leadership = leadership;
        this.keeper = keeper;
        this.views = views;
        this.entitlement = new HeartbeatAuthority(block, leadership, known);
        this.siblings = siblings;
        this.timers = timers;
        this.spent = spent;
        this.changed = changed;
    }

    public long received() {
        return received;
    }

    public long relayed() {
        return relayed;
    }

    /** A worker's report. */
    public void heartbeat(Heartbeat report, Consumer<HeartbeatResponse> answer) {
        received++;
        if (report.token() > leadership.highest()) {
            leadership.outbid(report.token(), null);
        }
        if (leadership.leading() && !keeper.knowsRunning()) {
            // A new holder does not know yet what was cancelled, also shortly before it began.
            park(report, null, answer);
            return;
        }
        if (leadership.leading()) {
            double began = spent.now();
            answer(report, answer);
            spent.on(Activity.CHECK_INS, began);
            return;
        }
        if (cutOff()) {
            // Guards against a worker that waits here, its lease running, for a leader that others
            // hear and we don't.
            answer.accept(HeartbeatResponse.elsewhere(null));
            return;
        }
        String leader = leadership.leader();
        if (leader == null || leader.equals(facts.node())) {
            park(report, null, answer);
            return;
        }
        // A worker that we sent to the leader and that is back did not get through to it, and one
        // that comes with
        // tasks and a token has lost it, this one or the last: ask on its behalf. Sending it away
        // once more would cost
        // it up to 5 s, of a lease that may be 10 s long. From time to time it is sent to try
        // again.
        double now = timers.now();
        double lease = facts.workers().leaseS();
        Double sent = sentAway.get(report.machine());
        boolean back = sent != null && now - sent < 2 * lease;
        boolean lost =
                sent == null
                        && report.token() > 0
                        && (report.token() == leadership.highest() || !report.tasks().isEmpty());
        if (!back && !lost) {
            sentAway.put(report.machine(), now);
            answer.accept(HeartbeatResponse.elsewhere(leader));
            return;
        }
        sentAway.putIfAbsent(report.machine(), now);
        relayed++;
        Parked p = park(report, leader, answer);
        if (p != null && !relay(leader, p) && report.tasks().isEmpty()) {
            // One without tasks has nothing to lose; the others wait for another leader, who may
            // come soon.
            settle(p, HeartbeatResponse.elsewhere(back ? null : leader));
        }
    }

    /**
     * Neither the store nor any sibling is heard: whoever leads, it is not to be known here, nor to
     * be asked.
     */
    private boolean cutOff() {
        return views.alone() && leadership.unservedS() > leadership.lifeS() + 1;
    }

    // ---- for siblings ---------------------------------------------------------------------------

    /**
     * Asks the leader about a check-in, or a sibling that may still reach it. Guards against work
     * that dies with its lease because two zones can't reach each other: its worker loses the
     * leader, and so does the node next to it.
     */
    private boolean relay(String leader, Parked p) {
        if (!views.silent(leader) && siblings.relay(leader, p.report, false, x -> settle(p, x))) {
            return true;
        }
        for (String s : facts.siblings()) {
            if (!s.equals(leader)
                    && !views.silent(s)
                    && siblings.relay(
                            s,
                            p.report,
                            true,
                            x -> {
                                if (x.token() > 0) {
                                    settle(p, x);
                                }
                            })) {
                return true;
            }
        }
        return false;
    }

    /** A check-in that a sibling asks about. */
    public void answerFor(Heartbeat report, boolean passOn, Consumer<HeartbeatResponse> answer) {
        String leader = leadership.leader();
        if (!passOn
                || leadership.leading()
                || leader == null
                || leader.equals(facts.node())
                || views.silent(leader)
                || !siblings.relay(leader, report, false, answer)) {
            answer.accept(answer(report));
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
    private Parked park(Heartbeat report, String asked, Consumer<HeartbeatResponse> answer) {
        if (parked.size() >= facts.limits().sockets() / 2) {
            answer.accept(HeartbeatResponse.elsewhere(null));
            return null;
        }
        Parked waits = parked.get(report.machine());
        if (waits != null && !report.newerThan(waits.report.session(), waits.report.sequence())) {
            // Guards against a copy of an older report that sends the worker away whose report
            // waits here.
            answer.accept(HeartbeatResponse.elsewhere(null));
            return null;
        }
        Parked p = new Parked(report, asked, leadership.highest(), answer);
        Parked older = parked.put(report.machine(), p);
        if (older != null) {
            older.answer.accept(HeartbeatResponse.elsewhere(null));
        }
        timers.after(
                report.tasks().isEmpty() ? 1 : MAX_PARK_S,
                () -> settle(p, HeartbeatResponse.elsewhere(null)));
        return p;
    }

    /** Answers a check-in that waits; nothing happens if it has been answered already. */
    private void settle(Parked p, HeartbeatResponse a) {
        if (parked.get(p.report.machine()) == p) {
            parked.remove(p.report.machine());
            p.answer.accept(a);
        }
    }

    /**
     * Another leader is known: what waits for one, or for the answer of the last one, goes to it.
     * The last one may have had the same name: a process that ended and is back has forgotten what
     * it was asked.
     */
    public void leaderKnown() {
        String leader = leadership.leader();
        for (Parked p : new ArrayList<>(parked.values())) {
            if (p.asked == null || !p.asked.equals(leader) || p.token < leadership.highest()) {
                parked.remove(p.report.machine(), p);
                heartbeat(p.report, p.answer);
            }
        }
    }

    // ---- the holder's answers -------------------------------------------------------------------

    /**
     * The holder's answer to a report that a sibling asks about: at once, for the worker's time is
     * running.
     */
    private HeartbeatResponse answer(Heartbeat report) {
        if (!keeper.knowsRunning() || !entitlement.toAnswer(report)) {
            heartbeats.unanswered(report, timers.now());
            return HeartbeatResponse.elsewhere(leadership.leading() ? null : leadership.leader());
        }
        boolean news = heartbeats.news(report);
        List<WorkerCommand> orders =
                new ArrayList<>(
                        heartbeats.heartbeat(
                                report, keeper.loaded(), keeper::mayRun, timers.now()));
        if (news) {
            // Nothing is launched into the answer to a late copy, which nobody hears.
            orders.addAll(
                    heartbeats.commands(report.machine(), leadership.mayLaunch(), timers.now()));
        }
        if (block.changed()) {
            changed.run();
        }
        return new HeartbeatResponse(block.token(), orders, null);
    }

    private void answer(Heartbeat report, Consumer<HeartbeatResponse> answer) {
        String machine = report.machine();
        if (!heartbeats.news(report)) {
            // Guards against a late copy that takes the place of the report whose answer is held.
            answer.accept(answer(report));
            return;
        }
        release(machine);
        HeartbeatResponse now = answer(report);
        boolean idle =
                now.token() > 0
                        && now.orders().stream()
                                .allMatch(o -> o.verb() == WorkerCommand.Action.FORGET);
        double patience =
                idle && keeper.loaded() && leadership.mayLaunch()
                        ? heartbeats.patience(machine)
                        : 0;
        if (patience == 0) {
            answer.accept(now);
            return;
        }
        Held h = new Held(answer, now.orders(), now.token());
        held.put(machine, h);
        timers.after(
                patience,
                () -> {
                    if (held.get(machine) == h) {
                        release(machine);
                    }
                });
    }

    /** Answers the machine's check-in now if its answer is held; returns whether it was. */
    public boolean release(String machine) {
        Held h = held.remove(machine);
        if (h == null) {
            return false;
        }
        // What was true when the report came need not be when the answer goes.
        if (!leadership.leading()
                || block.token() != h.token
                || !entitlement.knowsCancellations()) {
            h.answer.accept(
                    HeartbeatResponse.elsewhere(leadership.leading() ? null : leadership.leader()));
            return true;
        }
        List<WorkerCommand> orders = new ArrayList<>(h.orders);
        orders.addAll(heartbeats.commands(machine, leadership.mayLaunch(), timers.now()));
        h.answer.accept(new HeartbeatResponse(h.token, orders, null));
        return true;
    }

    /** What was just written may be launched. */
    public void written() {
        double began = spent.now();
        for (String machine : new ArrayList<>(held.keySet())) {
            if (heartbeats.hasCommands(machine)) {
                release(machine);
            }
        }
        spent.on(Activity.ANSWERS, began);
    }

    /** This node leads no more. */
    public void releaseAll() {
        for (String machine : new ArrayList<>(held.keySet())) {
            release(machine);
        }
    }
}
