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
 * Receives workers' heartbeats at any node. The leader responds to them. Any other node redirects
 * the worker to the leader, relays the heartbeat if the worker can't reach the leader, or parks it
 * briefly until a leader is known. Runs on the event loop.
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

    /**
     * The time at which workers were redirected to the leader, by machine, in seconds on the steady
     * clock.
     */
    private final Map<String, Double> redirectedAt =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                    return size() > MAX_REDIRECTS_REMEMBERED;
                }
            };

    private long receivedCount;
    private long relayedCount;

    /**
     * Creates the service.
     *
     * @param onSchedulingNeeded runs when a heartbeat may allow tasks to be placed
     */
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

    /**
     * Returns the number of heartbeats received since this node started; a parked one that is
     * received again counts again.
     */
    public long receivedCount() {
        return receivedCount;
    }

    /**
     * Returns the number of received heartbeats that were relayed to the leader on the worker's
     * behalf.
     */
    public long relayedCount() {
        return relayedCount;
    }

    /**
     * Receives a worker's heartbeat.
     *
     * @param answer called once, immediately or while the worker still waits for the response
     */
    public void receive(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        receivedCount++;
        if (heartbeat.fencingToken() > leadership.highestFencingToken()) {
            leadership.onFencingTokenSeen(heartbeat.fencingToken(), null);
        }
        if (leadership.isLeading()) {
            receiveAsLeader(heartbeat, answer);
        } else if (isCutOff()) {
            // Guards against a worker whose lease runs out while it waits here for a leader that
            // other nodes can reach and this node can't.
            answer.accept(ParkedHeartbeats.noLeaderKnown());
        } else {
            receiveAsFollower(heartbeat, answer);
        }
    }

    private void receiveAsLeader(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        if (stateWriter.knowsRunningJobs()) {
            responder.respond(heartbeat, answer);
        } else {
            // A new leader does not know yet which jobs were cancelled, including those shortly
            // before its term.
            park(heartbeat, Optional.empty(), answer);
        }
    }

    private void receiveAsFollower(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        String leader = leadership.leader();
        if (leader == null || leader.equals(settings.node())) {
            park(heartbeat, Optional.empty(), answer);
            return;
        }
        // A redirected worker that returns could not reach the leader. A worker that reports tasks
        // and a fencing token has lost the current leader or the previous one. Its heartbeat is
        // relayed on its behalf: another redirect would cost it up to 5 s of a lease that may be 10
        // s long. The worker is redirected from time to time to try the leader again.
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
            // A worker without tasks has no lease at stake, so it is released now. The others stay
            // parked for another leader, which may be elected soon.
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

    /** Returns whether the worker had contact with a leader and was not redirected by this node. */
    private boolean hasLostLeader(Heartbeat heartbeat) {
        return !redirectedAt.containsKey(heartbeat.machineId())
                && heartbeat.fencingToken() > 0
                && (heartbeat.fencingToken() == leadership.highestFencingToken()
                        || !heartbeat.tasks().isEmpty());
    }

    /**
     * Returns whether neither the store nor any peer responds, so that the leader can't be
     * determined.
     */
    private boolean isCutOff() {
        return membership.isIsolated()
                && leadership.secondsSinceStoreAnswered() > leadership.leaseSeconds() + 1;
    }

    private Optional<ParkedHeartbeat> park(
            Heartbeat heartbeat, Optional<String> askedLeader, Consumer<HeartbeatResponse> answer) {
        return parked.park(heartbeat, askedLeader, leadership.highestFencingToken(), answer);
    }

    // ---- relaying between nodes -----------------------------------------------------------------

    /**
     * Relays a heartbeat to the leader, or to a peer that may still reach it. Guards against tasks
     * that are lost with their lease because two zones can't reach each other: then both the worker
     * and the node in its zone lose the leader.
     *
     * @return whether the heartbeat could be relayed to any node
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
        for (String peer : settings.siblings()) {
            if (!peer.equals(leader) && !membership.isSilent(peer) && relayVia(peer, waiting)) {
                return true;
            }
        }
        return false;
    }

    /** Lets the peer relay the heartbeat to the leader; only a response of the leader is used. */
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
     * Responds to a heartbeat that a peer relayed.
     *
     * @param passOn whether this node may relay the heartbeat to the leader in turn
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

    // ---- events that release responses ----------------------------------------------------------

    /**
     * Called when a leader is known, or when this node as the leader knows which jobs may run.
     * Heartbeats that are parked until then, or that wait for a response of the previous leader,
     * are received again.
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

    /** Called when a write batch is committed, so that its launches may be sent. */
    public void onWritten() {
        responder.releaseWithCommands();
    }

    /**
     * Sends the held response to the machine's heartbeat now, if there is one.
     *
     * @return whether a response was held
     */
    public boolean release(String machineId) {
        return responder.release(machineId);
    }

    /** Sends all held responses. Called when this node is no longer the leader. */
    public void releaseAll() {
        responder.releaseAll();
    }
}
