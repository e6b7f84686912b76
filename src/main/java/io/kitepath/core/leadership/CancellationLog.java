package io.kitepath.core.leadership;

import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Logs the recent cancellations that are known to this process, from any source; they include all
 * those that it may have confirmed to a user. Guards against lost messages between nodes: each
 * digest repeats all cancellations of the last {@code cancel_s} seconds, after which a leader that
 * has not received them has stopped responding to workers anyway. The log is bounded: an entry that
 * is removed early shortens the time that digests cover.
 */
public final class CancellationLog {
    private static final int MAX_JOBS = 1000;

    /** A quarter of the size limit of a frame between nodes. */
    private static final int MAX_CHARS = 64 * 1024;

    private record LoggedCancellation(String jobId, double addedAtMillis) {}

    private final String node;
    private final Timers timers;
    private final double retentionMillis;

    /** Oldest first. */
    private final Deque<LoggedCancellation> entries = new ArrayDeque<>();

    private final Set<String> jobIds = new HashSet<>();
    private int totalChars;

    /**
     * All cancellations that became known to this process since this time are in {@link #entries}.
     */
    private double completeSinceMillis;

    /** Creates an empty log that is complete from now on. */
    public CancellationLog(ClusterSettings settings, Timers timers) {
        this.node = settings.node();
        this.timers = timers;
        this.retentionMillis = 1000 * settings.workers().cancelDeadlineSeconds();
        this.completeSinceMillis = timers.wallClockMillis();
    }

    /**
     * Records that the job is permanently cancelled, as of now; does nothing if the job is in the
     * log.
     */
    public void recordCancellation(String jobId) {
        if (jobIds.add(jobId)) {
            entries.add(new LoggedCancellation(jobId, timers.wallClockMillis()));
            totalChars += jobId.length();
        }
        trim();
    }

    /** Returns all entries and the time that they cover. */
    public CancellationDigest digest() {
        trim();
        return new CancellationDigest(
                node,
                completeSinceMillis,
                timers.wallClockMillis(),
                entries.stream().map(LoggedCancellation::jobId).toList());
    }

    private void trim() {
        double oldestKeptMillis = timers.wallClockMillis() - retentionMillis;
        while (!entries.isEmpty()
                && (entries.peek().addedAtMillis < oldestKeptMillis
                        || entries.size() > MAX_JOBS
                        || totalChars > MAX_CHARS)) {
            LoggedCancellation removedCancellation = entries.poll();
            jobIds.remove(removedCancellation.jobId);
            totalChars -= removedCancellation.jobId.length();
            completeSinceMillis = Math.max(completeSinceMillis, removedCancellation.addedAtMillis);
        }
        completeSinceMillis = Math.max(completeSinceMillis, oldestKeptMillis);
    }
}
