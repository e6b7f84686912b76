package io.kitepath.core.service;

import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.leadership.MembershipView;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.LoopTimeAccounting;
import io.kitepath.core.port.PeerNodes;
import io.kitepath.core.port.Timers;
import io.kitepath.core.service.ParkedHeartbeats.ParkedHeartbeat;
import io.kitepath.core.state.StateWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Receives workers' heartbeats at any node. The leader answers them; another node redirects the
 * worker to the leader, relays the heartbeat if the worker can't reach the leader, or lets it wait
 * a moment until a leader is known. Runs on the event loop.
 */
public final class HeartbeatService {
    private static final int MAX_REDIRECTS_REMEMBERED = 2000;

    private final ClusterSettings settings;
    private final Leadership leadership;
    private final StateWriter stateWriter;
    private final MembershipView membership;
    private final PeerNodes peers;
    private final Timers timers;
    private final HeartbeatResponder responder;
    private final ParkedHeartbeats parked;

    /** When workers were redirected to the leader, by machine, in seconds on the steady clock. */
    private final Map<String, Double> redirectedAt =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                    return size() > MAX_REDIRECTS_REMEMBERED;
                }
            };

    private long receivedCount;
    private long relayedCount;

    /** {@code onSchedulingNeeded} runs when a heartbeat may let work be placed. */
    public HeartbeatService(
            LeaderComponents components,
            MembershipView membership,
            PeerNodes peers,
            Timers timers,
            LoopTimeAccounting loopTime,
            Runnable onSchedulingNeeded) {
        this.settings = components.shard().settings();
        this.leadership = components.leadership();
        this.stateWriter = components.stateWriter();
        this.membership = membership;
        this.peers = peers;
        this.timers = timers;
        this.responder = new HeartbeatResponder(components, timers, loopTime, onSchedulingNeeded);
        this.parked = new ParkedHeartbeats(timers, settings.limits().maxSockets() / 2);
    }

    /** Heartbeats received since this node started, including those that had waited here. */
    public long receivedCount() {
        return receivedCount;
    }

    /** Of those, the ones that were relayed on the worker's behalf. */
    public long relayedCount() {
        return relayedCount;
    }

    /**
     * Takes a worker's heartbeat.
     *
     * @param answer called once, now or while the worker still waits for it
     */
    public void receive(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        receivedCount++;
        if (heartbeat.fencingToken() > leadership.highestFencingToken()) {
            leadership.onFencingTokenSeen(heartbeat.fencingToken(), null);
        }
        if (leadership.isLeading()) {
            receiveAsLeader(heartbeat, answer);
        } else if (isCutOff()) {
            // Guards against a worker that waits here, its lease running, for a leader that others
            // hear and this node does not.
            answer.accept(ParkedHeartbeats.noLeaderKnown());
        } else {
            receiveAsFollower(heartbeat, answer);
        }
    }

    private void receiveAsLeader(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        if (stateWriter.knowsRunningJobs()) {
            responder.respond(heartbeat, answer);
        } else {
            // A new leader does not know yet what was cancelled, also shortly before its term.
            park(heartbeat, Optional.empty(), answer);
        }
    }

    private void receiveAsFollower(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        String leader = leadership.leader();
        if (leader == null || leader.equals(settings.node())) {
            park(heartbeat, Optional.empty(), answer);
            return;
        }
        // A redirected worker that is back did not get through to the leader, and one that comes
        // with tasks and a token has lost it, this one or the last: ask on its behalf. Redirecting
        // it once more would cost it up to 5 s, of a lease that may be 10 s long. From time to time
        // it is redirected to try again.
        double now = timers.nowSeconds();
        boolean isBack = wasRedirectedLately(heartbeat, now);
        if (!isBack && !hasLostLeader(heartbeat)) {
            redirectedAt.put(heartbeat.machineId(), now);
            answer.accept(HeartbeatResponse.redirectTo(leader));
            return;
        }
        redirectedAt.putIfAbsent(heartbeat.machineId(), now);
        relayedCount++;
        Optional<ParkedHeartbeat> waiting = park(heartbeat, Optional.of(leader), answer);
        if (waiting.isPresent() && !relay(leader, waiting.get()) && heartbeat.tasks().isEmpty()) {
            // A worker without tasks has nothing to lose; the others wait for another leader, who
            // may be elected soon.
            parked.settle(
                    waiting.get(),
                    isBack
                            ? ParkedHeartbeats.noLeaderKnown()
                            : HeartbeatResponse.redirectTo(leader));
        }
    }

    private boolean wasRedirectedLately(Heartbeat heartbeat, double now) {
        Double at = redirectedAt.get(heartbeat.machineId());
        return at != null && now - at < 2 * settings.workers().leaseSeconds();
    }

    /** Whether the worker comes from a leader, and was not redirected by this node. */
    private boolean hasLostLeader(Heartbeat heartbeat) {
        return !redirectedAt.containsKey(heartbeat.machineId())
                && heartbeat.fencingToken() > 0
                && (heartbeat.fencingToken() == leadership.highestFencingToken()
                        || !heartbeat.tasks().isEmpty());
    }

    /** Whether neither the store nor any peer is heard, so that no leader can be found out. */
    private boolean isCutOff() {
        return membership.isIsolated()
                && leadership.secondsSinceStoreResponse() > leadership.leaseSeconds() + 1;
    }

    private Optional<ParkedHeartbeat> park(
            Heartbeat heartbeat, Optional<String> askedLeader, Consumer<HeartbeatResponse> answer) {
        return parked.park(heartbeat, askedLeader, leadership.highestFencingToken(), answer);
    }

    // ---- between nodes --------------------------------------------------------------------------

    /**
     * Asks the leader about a heartbeat, or a peer that may still reach it; returns whether any of
     * them could be asked. Guards against work that dies with its lease because two zones can't
     * reach each other: its worker loses the leader, and so does the node next to it.
     */
    private boolean relay(String leader, ParkedHeartbeat waiting) {
        if (!membership.isSilent(leader)
                && peers.relayHeartbeat(
                        leader,
                        waiting.heartbeat(),
                        false,
                        response -> parked.settle(waiting, response))) {
            return true;
        }
        for (String peer : settings.peers()) {
            if (!peer.equals(leader) && !membership.isSilent(peer) && relayVia(peer, waiting)) {
                return true;
            }
        }
        return false;
    }

    /** Has the peer ask the leader; only an answer of the leader counts. */
    private boolean relayVia(String peer, ParkedHeartbeat waiting) {
        return peers.relayHeartbeat(
                peer,
                waiting.heartbeat(),
                true,
                response -> {
                    if (response.fencingToken() > 0) {
                        parked.settle(waiting, response);
                    }
                });
    }

    /**
     * Answers a heartbeat that a peer asks about.
     *
     * @param passOn whether the leader may be asked in turn
     */
    public void answerForPeer(
            Heartbeat heartbeat, boolean passOn, Consumer<HeartbeatResponse> answer) {
        String leader = leadership.leader();
        if (!passOn
                || leadership.isLeading()
                || leader == null
                || leader.equals(settings.node())
                || membership.isSilent(leader)
                || !peers.relayHeartbeat(leader, heartbeat, false, answer)) {
            answer.accept(responder.respondAtOnce(heartbeat));
        }
    }

    // ---- changes that answers wait for ----------------------------------------------------------

    /**
     * A leader is known, or this one has found out which jobs may run: what waits for that, or for
     * the answer of the last leader, is received anew.
     */
    public void onLeaderKnown() {
        String leader = leadership.leader();
        for (ParkedHeartbeat waiting : parked.waiting()) {
            if (waiting.isOutdated(leader, leadership.highestFencingToken())) {
                parked.remove(waiting);
                receive(waiting.heartbeat(), waiting.answer());
            }
        }
    }

    /** What was just written may be launched. */
    public void onWritten() {
        responder.releaseWithCommands();
    }

    /** Answers the machine's heartbeat now if its answer is held; returns whether it was. */
    public boolean release(String machineId) {
        return responder.release(machineId);
    }

    /** Answers all heartbeats whose answers are held: this node does not lead any more. */
    public void releaseAll() {
        responder.releaseAll();
    }
}
