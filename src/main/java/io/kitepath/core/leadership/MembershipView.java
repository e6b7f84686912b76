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

/** What the siblings say of themselves, and since when one of them says nothing. */
public final class MembershipView {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipView.class);

    /** Views come every second; what is older than three of them says nothing of now. */
    private static final double FRESH_SECONDS = 3;

    private final List<String> siblings;
    private final Timers timers;

    /** When a sibling was last heard from. */
    private final Map<String, Double> heardAt = new HashMap<>();

    /**
     * When a sibling last said that the store serves it, unless it has said that it does not since.
     */
    private final Map<String, Double> servedByStoreAt = new HashMap<>();

    private final Set<String> reportedSilent = new HashSet<>();

    public MembershipView(ClusterSettings settings, Timers timers) {
        this.siblings = settings.siblings();
        this.timers = timers;
    }

    public void onPeerState(String by, boolean isServed) {
        heardAt.put(by, timers.nowSeconds());
        if (isServed) {
            servedByStoreAt.put(by, timers.nowSeconds());
        } else {
            servedByStoreAt.remove(by);
        }
    }

    /**
     * Guards against waiting for a silent sibling's answer again and again: views come every
     * second.
     */
    public boolean isSilent(String sibling) {
        return timers.nowSeconds() - heardAt.getOrDefault(sibling, -1e9) > 2.5;
    }

    /** Seconds since the sibling was heard; NaN if it never was. */
    public double silentSeconds(String sibling) {
        return timers.nowSeconds() - heardAt.getOrDefault(sibling, Double.NaN);
    }

    public long silentCount() {
        return siblings.stream().filter(this::isSilent).count();
    }

    /** Whether there are siblings and none of them is heard. */
    public boolean isIsolated() {
        return !siblings.isEmpty() && siblings.stream().allMatch(this::isSilent);
    }

    /** Whether some sibling says that the store serves it. */
    public boolean isAnyPeerServedByStore() {
        double now = timers.nowSeconds();
        return servedByStoreAt.values().stream().anyMatch(t -> now - t < FRESH_SECONDS);
    }

    /** Logs who fell silent and who is heard again; {@code leader}: who leads, or null. */
    public void logSilenceChanges(String leader) {
        for (String s : siblings) {
            boolean silent = isSilent(s);
            if (silent
                    ? heardAt.containsKey(s) && reportedSilent.add(s)
                    : reportedSilent.remove(s)) {
                LOG.info(
                        silent ? "nothing is heard from {} any more{}" : "{} is heard again{}",
                        s,
                        s.equals(leader) ? ", which leads" : "");
            }
        }
    }
}
