package io.kitepath.core.leadership;

import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * The cancellations that this process learned of lately, from whomever, so all that it may have
 * told a user. Guards against a word between nodes that is lost: each digest repeats everything of
 * the last {@code cancel_s}, after which a holder that has not heard of it has stopped answering
 * workers anyway. Bounded: what does not fit shortens the time that it vouches for.
 */
public final class CancellationLog {
    private static final int MOST = 1000;

    /** A quarter of what a frame between nodes may hold. */
    private static final int MOST_CHARS = 64 * 1024;

    private record Learned(String job, double atMs) {}

    private final String node;
    private final Timers timers;
    private final double keepMs;
    private final Deque<Learned> log = new ArrayDeque<>();
    private final Set<String> ids = new HashSet<>();
    private int chars;
    private double sinceMs;

    public CancellationLog(ClusterSettings settings, Timers timers) {
        this.node = settings.node();
        this.timers = timers;
        this.keepMs = 1000 * settings.workers().cancelDeadlineSeconds();
        this.sinceMs = timers.wallClockMillis();
    }

    /** The job is cancelled for good, as this node knows from now on. */
    public void learned(String jobId) {
        if (ids.add(jobId)) {
            log.add(new Learned(jobId, timers.wallClockMillis()));
            chars += jobId.length();
        }
        trim();
    }

    public CancellationDigest digest() {
        trim();
        return new CancellationDigest(
                node, sinceMs, timers.wallClockMillis(), log.stream().map(Learned::job).toList());
    }

    private void trim() {
        double oldest = timers.wallClockMillis() - keepMs;
        while (!log.isEmpty()
                && (log.peek().atMs < oldest || log.size() > MOST || chars > MOST_CHARS)) {
            Learned gone = log.poll();
            ids.remove(gone.job);
            chars -= gone.job.length();
            sinceMs = Math.max(sinceMs, gone.atMs);
        }
        sinceMs = Math.max(sinceMs, oldest);
    }
}
