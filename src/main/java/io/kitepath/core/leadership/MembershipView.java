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

/** What the peers announce of themselves each second, and which of them are silent. */
public final class MembershipView {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipView.class);

    /** An announcement older than three of its intervals says nothing about now. */
    private static final double FRESH_SECONDS = 3;

    /** A peer that was not heard for longer is silent: two announcements in a row are missing. */
    private static final double SILENT_AFTER_SECONDS = 2.5;

    /** Stands for a peer that was never heard, so that it counts as silent. */
    private static final double NEVER = -1e9;

    private final List<String> peers;
    private final Timers timers;

    /** When a peer was last heard, on the steady clock. */
    private final Map<String, Double> heardAt = new HashMap<>();

    /**
     * When a peer last said that the store answers it, unless it has said since that it doesn't.
     */
    private final Map<String, Double> servedByStoreAt = new HashMap<>();

    private final Set<String> reportedSilent = new HashSet<>();

    /** Knows the peers that the settings name, and has heard none of them. */
    public MembershipView(ClusterSettings settings, Timers timers) {
        this.peers = settings.peers();
        this.timers = timers;
    }

    /** A peer announced its state; {@code isServedByStore}: whether the store answers it. */
    public void onPeerState(String peer, boolean isServedByStore) {
        heardAt.put(peer, timers.nowSeconds());
        if (isServedByStore) {
            servedByStoreAt.put(peer, timers.nowSeconds());
        } else {
            servedByStoreAt.remove(peer);
        }
    }

    /**
     * Whether the peer was not heard lately. Guards against waiting for a silent peer's answer
     * again and again.
     */
    public boolean isSilent(String peer) {
        return timers.nowSeconds() - heardAt.getOrDefault(peer, NEVER) > SILENT_AFTER_SECONDS;
    }

    /** Seconds since the peer was heard; NaN if it never was. */
    public double silentSeconds(String peer) {
        return timers.nowSeconds() - heardAt.getOrDefault(peer, Double.NaN);
    }

    /** How many peers are silent. */
    public long silentCount() {
        return peers.stream().filter(this::isSilent).count();
    }

    /** Whether there are peers and all of them are silent. */
    public boolean isIsolated() {
        return !peers.isEmpty() && peers.stream().allMatch(this::isSilent);
    }

    /** Whether some peer said lately that the store answers it. */
    public boolean isAnyPeerServedByStore() {
        double now = timers.nowSeconds();
        return servedByStoreAt.values().stream()
                .anyMatch(servedAt -> now - servedAt < FRESH_SECONDS);
    }

    /** Logs which peers fell silent or are heard again; {@code leader}: who leads, or null. */
    public void logSilenceChanges(String leader) {
        for (String peer : peers) {
            boolean isLeader = peer.equals(leader);
            if (isSilent(peer)) {
                // A peer that was never heard has not fallen silent.
                if (heardAt.containsKey(peer) && reportedSilent.add(peer)) {
                    LOG.info("peer is silent: peer={} isLeader={}", peer, isLeader);
                }
            } else if (reportedSilent.remove(peer)) {
                LOG.info("peer is heard again: peer={} isLeader={}", peer, isLeader);
            }
        }
    }
}
