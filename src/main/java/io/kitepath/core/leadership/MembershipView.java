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
    private static final double FRESH_S = 3;

    private final List<String> siblings;
    private final Timers timers;

    /** When a sibling was last heard from. */
    private final Map<String, Double> heard = new HashMap<>();

    /**
     * When a sibling last said that the store serves it, unless it has said that it does not since.
     */
    private final Map<String, Double> served = new HashMap<>();

    private final Set<String> said = new HashSet<>();

    public MembershipView(ClusterSettings settings, Timers timers) {
        this.siblings = settings.siblings();
        this.timers = timers;
    }

    public void told(String by, boolean isServed) {
        heard.put(by, timers.nowSeconds());
        if (isServed) {
            served.put(by, timers.nowSeconds());
        } else {
            served.remove(by);
        }
    }

    /**
     * Guards against waiting for a silent sibling's answer again and again: views come every
     * second.
     */
    public boolean silent(String sibling) {
        return timers.nowSeconds() - heard.getOrDefault(sibling, -1e9) > 2.5;
    }

    /** Seconds since the sibling was heard; NaN if it never was. */
    public double silentS(String sibling) {
        return timers.nowSeconds() - heard.getOrDefault(sibling, Double.NaN);
    }

    public long silentOnes() {
        return siblings.stream().filter(this::silent).count();
    }

    /** Whether there are siblings and none of them is heard. */
    public boolean alone() {
        return !siblings.isEmpty() && siblings.stream().allMatch(this::silent);
    }

    /** Whether some sibling says that the store serves it. */
    public boolean someServed() {
        double now = timers.nowSeconds();
        return served.values().stream().anyMatch(t -> now - t < FRESH_S);
    }

    /** Logs who fell silent and who is heard again; {@code leader}: who leads, or null. */
    public void watch(String leader) {
        for (String s : siblings) {
            boolean silent = silent(s);
            if (silent ? heard.containsKey(s) && said.add(s) : said.remove(s)) {
                LOG.info(
                        silent ? "nothing is heard from {} any more{}" : "{} is heard again{}",
                        s,
                        s.equals(leader) ? ", which leads" : "");
            }
        }
    }
}
