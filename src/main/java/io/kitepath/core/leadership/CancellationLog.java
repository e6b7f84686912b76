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
    private static final int MAX_JOBS = 1000;

    /** A quarter of what a frame between nodes may hold. */
    private static final int MAX_CHARS = 64 * 1024;

    private record LoggedCancellation(String jobId, double atMillis) {}

    private final String node;
    private final Timers timers;
    private final double retentionMillis;
    private final Deque<LoggedCancellation> entries = new ArrayDeque<>();
    private final Set<String> jobIds = new HashSet<>();
    private int totalChars;
    private double completeSinceMillis;

    public CancellationLog(ClusterSettings settings, Timers timers) {
        this.node = settings.node();
        this.timers = timers;
        this.retentionMillis = 1000 * settings.workers().cancelDeadlineSeconds();
        this.completeSinceMillis = timers.wallClockMillis();
    }

    /** The job is cancelled for good, as this node knows from now on. */
    public void add(String jobId) {
        if (jobIds.add(jobId)) {
            entries.add(new LoggedCancellation(jobId, timers.wallClockMillis()));
            totalChars += jobId.length();
        }
        trim();
    }

    public CancellationDigest digest() {
        trim();
        return new CancellationDigest(
                node,
                completeSinceMillis,
                timers.wallClockMillis(),
                entries.stream().map(LoggedCancellation::jobId).toList());
    }

    private void trim() {
        double oldest = timers.wallClockMillis() - retentionMillis;
        while (!entries.isEmpty()
                && (entries.peek().atMillis < oldest
                        || entries.size() > MAX_JOBS
                        || totalChars > MAX_CHARS)) {
            LoggedCancellation gone = entries.poll();
            jobIds.remove(gone.jobId);
            totalChars -= gone.jobId.length();
            completeSinceMillis = Math.max(completeSinceMillis, gone.atMillis);
        }
        completeSinceMillis = Math.max(completeSinceMillis, oldest);
    }
}
