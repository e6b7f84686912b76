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
    private final ParkedHeartbeats parkedHeartbeats;

    /**
     * The time at which workers were redirected to the leader, by machine, in seconds on the steady
     * clock.
     */
    private final Map<String, Double> redirectedAtSecondsByMachine =
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
        this.parkedHeartbeats = new ParkedHeartbeats(timers, settings.limits().maxSockets() / 2);
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
     * @param onResponse called once, immediately or while the worker still waits for the response
     */
    public void receive(Heartbeat heartbeat, Consumer<HeartbeatResponse> onResponse) {
        receivedCount++;
        if (heartbeat.fencingToken() > leadership.highestFencingToken()) {
            leadership.onFencingTokenSeen(heartbeat.fencingToken(), null);
        }
        if (leadership.isLeading()) {
            receiveAsLeader(heartbeat, onResponse);
        } else if (isIsolatedFromStoreAndPeers()) {
            // Guards against a worker whose lease runs out while it waits here for a leader that
            // other nodes can reach and this node can't.
            onResponse.accept(ParkedHeartbeats.noLeaderKnown());
        } else {
            receiveAsFollower(heartbeat, onResponse);
        }
    }

    private void receiveAsLeader(Heartbeat heartbeat, Consumer<HeartbeatResponse> onResponse) {
        if (stateWriter.knowsRunningJobs()) {
            responder.respond(heartbeat, onResponse);
        } else {
            // A new leader does not know yet which jobs were cancelled, including those shortly
            // before its term.
            park(heartbeat, Optional.empty(), onResponse);
        }
    }

    private void receiveAsFollower(Heartbeat heartbeat, Consumer<HeartbeatResponse> onResponse) {
        String leader = leadership.leader();
        if (leader == null || leader.equals(settings.node())) {
            park(heartbeat, Optional.empty(), onResponse);
            return;
        }
        // A redirected worker that returns could not reach the leader. A worker that reports tasks
        // and a fencing token has lost the current leader or the previous one. Its heartbeat is
        // relayed on its behalf: another redirect would cost it up to 5 s of a lease that may be 10
        // s long. The worker is redirected from time to time to try the leader again.
        double nowSeconds = timers.nowSeconds();
        boolean isReturning = wasRecentlyRedirected(heartbeat, nowSeconds);
        if (!isReturning && !hasLostLeader(heartbeat)) {
            redirectedAtSecondsByMachine.put(heartbeat.machineId(), nowSeconds);
            onResponse.accept(HeartbeatResponse.redirectTo(leader));
            return;
        }
        redirectedAtSecondsByMachine.putIfAbsent(heartbeat.machineId(), nowSeconds);
        relayedCount++;
        Optional<ParkedHeartbeat> parkedHeartbeat =
                park(heartbeat, Optional.of(leader), onResponse);
        if (parkedHeartbeat.isPresent()
                && !relay(leader, parkedHeartbeat.get())
                && heartbeat.tasks().isEmpty()) {
            // A worker without tasks has no lease at stake, so it is released now. The others stay
            // parked for another leader, which may be elected soon.
            parkedHeartbeats.respond(
                    parkedHeartbeat.get(),
                    isReturning
                            ? ParkedHeartbeats.noLeaderKnown()
                            : HeartbeatResponse.redirectTo(leader));
        }
    }

    private boolean wasRecentlyRedirected(Heartbeat heartbeat, double nowSeconds) {
        Double redirectedAtSeconds = redirectedAtSecondsByMachine.get(heartbeat.machineId());
        return redirectedAtSeconds != null
                && nowSeconds - redirectedAtSeconds < 2 * settings.workers().leaseSeconds();
    }

    /** Returns whether the worker had contact with a leader and was not redirected by this node. */
    private boolean hasLostLeader(Heartbeat heartbeat) {
        return !redirectedAtSecondsByMachine.containsKey(heartbeat.machineId())
                && heartbeat.fencingToken() > 0
                && (heartbeat.fencingToken() == leadership.highestFencingToken()
                        || !heartbeat.tasks().isEmpty());
    }

    /**
     * Returns whether neither the store nor any peer responds, so that the leader can't be
     * determined.
     */
    private boolean isIsolatedFromStoreAndPeers() {
        return membership.isIsolated()
                && leadership.secondsSinceStoreResponse() > leadership.leaseSeconds() + 1;
    }

    private Optional<ParkedHeartbeat> park(
            Heartbeat heartbeat,
            Optional<String> relayLeader,
            Consumer<HeartbeatResponse> onResponse) {
        return parkedHeartbeats.park(
                heartbeat, relayLeader, leadership.highestFencingToken(), onResponse);
    }

    // ---- relaying between nodes -----------------------------------------------------------------

    /**
     * Relays a heartbeat to the leader, or to a peer that may still reach it. Guards against tasks
     * that are lost with their lease because two zones can't reach each other: then both the worker
     * and the node in its zone lose the leader.
     *
     * @return whether the heartbeat could be relayed to any node
     */
    private boolean relay(String leader, ParkedHeartbeat parkedHeartbeat) {
        if (!membership.isSilent(leader)
                && peers.relayHeartbeat(
                        leader,
                        parkedHeartbeat.heartbeat(),
                        false,
                        response -> parkedHeartbeats.respond(parkedHeartbeat, response))) {
            return true;
        }
        for (String peer : settings.peers()) {
            if (!peer.equals(leader)
                    && !membership.isSilent(peer)
                    && relayThroughPeer(peer, parkedHeartbeat)) {
                return true;
            }
        }
        return false;
    }

    /** Lets the peer relay the heartbeat to the leader; only a response of the leader is used. */
    private boolean relayThroughPeer(String peer, ParkedHeartbeat parkedHeartbeat) {
        return peers.relayHeartbeat(
                peer,
                parkedHeartbeat.heartbeat(),
                true,
                response -> {
                    if (response.fencingToken() > 0) {
                        parkedHeartbeats.respond(parkedHeartbeat, response);
                    }
                });
    }

    /**
     * Responds to a heartbeat that a peer relayed.
     *
     * @param mayRelay whether this node may relay the heartbeat to the leader in turn
     */
    public void respondToPeer(
            Heartbeat heartbeat, boolean mayRelay, Consumer<HeartbeatResponse> onResponse) {
        String leader = leadership.leader();
        if (!mayRelay
                || leadership.isLeading()
                || leader == null
                || leader.equals(settings.node())
                || membership.isSilent(leader)
                || !peers.relayHeartbeat(leader, heartbeat, false, onResponse)) {
            onResponse.accept(responder.respondImmediately(heartbeat));
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
        for (ParkedHeartbeat parkedHeartbeat : parkedHeartbeats.snapshot()) {
            if (parkedHeartbeat.isOutdated(leader, leadership.highestFencingToken())) {
                parkedHeartbeats.remove(parkedHeartbeat);
                receive(parkedHeartbeat.heartbeat(), parkedHeartbeat.onResponse());
            }
        }
    }

    /** Called when a write batch is committed, so that its launches may be sent. */
    public void onWriteBatchCommitted() {
        responder.releaseResponsesWithCommands();
    }

    /**
     * Sends the held response to the machine's heartbeat now, if there is one.
     *
     * @return whether a response was held
     */
    public boolean releaseHeldResponse(String machineId) {
        return responder.releaseHeldResponse(machineId);
    }

    /** Sends all held responses. Called when this node is no longer the leader. */
    public void releaseAllHeldResponses() {
        responder.releaseAllHeldResponses();
    }
}
