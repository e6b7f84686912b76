package io.kitepath.core.leadership;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tracks the state that the peers announce each second, and which peers are silent. */
public final class MembershipView {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipView.class);

    /**
     * Maximum age of an announcement, three of its intervals; an older one is not taken as the
     * current state.
     */
    private static final double MAX_STATE_AGE_SECONDS = 3;

    /**
     * A peer from which no message was received for longer is silent: two consecutive announcements
     * are missing.
     */
    private static final double SILENT_AFTER_SECONDS = 2.5;

    /** Default time for a peer from which no message was received, so that it counts as silent. */
    private static final double NO_MESSAGE_AT_SECONDS = -1e9;

    private final List<String> peers;
    private final Timers timers;

    /** When the last message was received, by peer, in seconds on the steady clock. */
    private final Map<String, Double> lastMessageAtSeconds = new HashMap<>();

    /**
     * When the peer last announced that the store responds to it, by peer, in seconds on the steady
     * clock; removed when it announces that the store does not.
     */
    private final Map<String, Double> servedByStoreAtSeconds = new HashMap<>();

    private final Set<String> peersLoggedAsSilent = new HashSet<>();

    /** Creates a view of the configured peers; all are silent until a message is received. */
    public MembershipView(ClusterSettings settings, Timers timers) {
        this.peers = settings.peers();
        this.timers = timers;
    }

    /**
     * Handles a state announcement.
     *
     * @param isServedByStore whether the store responds to the peer
     */
    public void onPeerState(String peer, boolean isServedByStore) {
        lastMessageAtSeconds.put(peer, timers.nowSeconds());
        if (isServedByStore) {
            servedByStoreAtSeconds.put(peer, timers.nowSeconds());
        } else {
            servedByStoreAtSeconds.remove(peer);
        }
    }

    /**
     * Whether no message was received from the peer recently. Guards against repeated waits for
     * responses of a silent peer.
     */
    public boolean isSilent(String peer) {
        return timers.nowSeconds() - lastMessageAtSeconds.getOrDefault(peer, NO_MESSAGE_AT_SECONDS)
                > SILENT_AFTER_SECONDS;
    }

    /** Returns the seconds since the last message from the peer; NaN if none was received. */
    public double silentSeconds(String peer) {
        return timers.nowSeconds() - lastMessageAtSeconds.getOrDefault(peer, Double.NaN);
    }

    /** Returns the number of silent peers. */
    public long silentCount() {
        return peers.stream().filter(this::isSilent).count();
    }

    /** Whether there are peers and all of them are silent. */
    public boolean isIsolated() {
        return !peers.isEmpty() && peers.stream().allMatch(this::isSilent);
    }

    /** Whether any peer announced recently that the store responds to it. */
    public boolean isAnyPeerServedByStore() {
        double now = timers.nowSeconds();
        return servedByStoreAtSeconds.values().stream()
                .anyMatch(servedAtSeconds -> now - servedAtSeconds < MAX_STATE_AGE_SECONDS);
    }

    /**
     * Logs which peers have become silent or are no longer silent.
     *
     * @param leader the last known leader, or null
     */
    public void logSilenceChanges(String leader) {
        for (String peer : peers) {
            boolean isLeader = peer.equals(leader);
            if (isSilent(peer)) {
                // A peer from which no message was received has not become silent.
                if (lastMessageAtSeconds.containsKey(peer) && peersLoggedAsSilent.add(peer)) {
                    LOG.info("peer is silent: peer={} isLeader={}", peer, isLeader);
                }
            } else if (peersLoggedAsSilent.remove(peer)) {
                LOG.info("peer is no longer silent: peer={} isLeader={}", peer, isLeader);
            }
        }
    }
}
