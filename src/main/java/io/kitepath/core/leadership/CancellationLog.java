package io.kitepath.core.leadership;

import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * The cancellations that this process learned of lately, from any source, so all that it may have
 * confirmed to a user. Guards against a lost message between nodes: each digest repeats everything
 * of the last {@code cancel_s}, after which a leader that has not heard of it has stopped answering
 * workers anyway. The log is bounded: an entry that has to go early shortens the time that digests
 * vouch for.
 */
public final class CancellationLog {
    private static final int MAX_JOBS = 1000;

    /** A quarter of what a frame between nodes may hold. */
    private static final int MAX_CHARS = 64 * 1024;

    private record LoggedCancellation(String jobId, double atMillis) {}

    private final String node;
    private final Timers timers;
    private final double retentionMillis;

    /** Oldest first. */
    private final Deque<LoggedCancellation> entries = new ArrayDeque<>();

    private final Set<String> jobIds = new HashSet<>();
    private int totalChars;

    /** Every cancellation that this process learned of since then is in {@link #entries}. */
    private double completeSinceMillis;

    /** Starts empty, complete since now. */
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

    /** All entries, and the time that they vouch for. */
    public CancellationDigest digest() {
        trim();
        return new CancellationDigest(
                node,
                completeSinceMillis,
                timers.wallClockMillis(),
                entries.stream().map(LoggedCancellation::jobId).toList());
    }

    private void trim() {
        double oldestKept = timers.wallClockMillis() - retentionMillis;
        while (!entries.isEmpty()
                && (entries.peek().atMillis < oldestKept
                        || entries.size() > MAX_JOBS
                        || totalChars > MAX_CHARS)) {
            LoggedCancellation removed = entries.poll();
            jobIds.remove(removed.jobId);
            totalChars -= removed.jobId.length();
            completeSinceMillis = Math.max(completeSinceMillis, removed.atMillis);
        }
        completeSinceMillis = Math.max(completeSinceMillis, oldestKept);
    }
}
