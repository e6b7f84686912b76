package io.kitepath.core.service;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.LogThrottle;
import io.kitepath.core.port.Timers;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records which status queries of this node got no answer and why, and checks at run time that no
 * job stays unanswered for longer than {@link #MAX_UNANSWERED_SECONDS} while the store responds.
 */
public final class QueryOutcomes {
    private static final Logger LOG = LoggerFactory.getLogger(QueryOutcomes.class);

    /** An accepted job about which no query is answered for that long counts as forgotten. */
    static final double MAX_UNANSWERED_SECONDS = 75;

    /** At most one line in this time, so that an outage does not flood the log. */
    private static final double LOG_INTERVAL_SECONDS = 5;

    /** Why a status query got no answer. */
    public enum UnansweredReason {
        /** The store has not responded to this node of late. */
        STORE_UNREACHABLE,
        /** The store refused the request, or did not respond in time. */
        STORE_FAILED,
        /** The store refused the comparison as exceeding its limits. */
        COMPARISON_REFUSED,
        /** Too many callers wait already. */
        QUEUE_FULL,
        /** Its share of the store's request rate is used up. */
        RATE_USED_UP,
        /** The leader reported nothing, and the job may wait for others. */
        LEADER_UNKNOWN,
        /** The job's record can't be read. */
        RECORD_UNREADABLE,
        /** The job was accepted while the query was in flight. */
        OUTDATED
    }

    private final Timers timers;
    private final BooleanSupplier isStoreReachable;
    private final Map<UnansweredReason, Long> unansweredByReason =
            new EnumMap<>(UnansweredReason.class);

    /**
     * Queries about one job that got no answer, one after the other.
     *
     * @param sinceSeconds the time of the first of them, in seconds on the steady clock
     * @param lastSeconds the time of the last one
     */
    private record Streak(double sinceSeconds, double lastSeconds) {
        /** Returns the streak with one more query, or a new one if nobody asked for long. */
        private Streak continuedAt(double nowSeconds) {
            return new Streak(isGoingOn(nowSeconds) ? sinceSeconds : nowSeconds, nowSeconds);
        }

        /** Returns whether somebody has asked of late. */
        private boolean isGoingOn(double nowSeconds) {
            return nowSeconds - lastSeconds < MAX_UNANSWERED_SECONDS / 2;
        }
    }

    private final Map<String, Streak> streakByJob;

    private double storeReachableSinceSeconds;
    private final LogThrottle logThrottle = new LogThrottle(LOG_INTERVAL_SECONDS);
    private long overdueCount;

    /** Creates an instance without any recorded queries. */
    QueryOutcomes(ClusterSettings settings, Timers timers, BooleanSupplier isStoreReachable) {
        this.timers = timers;
        this.isStoreReachable = isStoreReachable;
        this.storeReachableSinceSeconds = timers.nowSeconds();
        int maxJobs = settings.limits().maxSockets();
        this.streakByJob =
                new LinkedHashMap<>() {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Streak> eldest) {
                        return size() > maxJobs;
                    }
                };
    }

    /** Returns how many queries got no answer for that reason. */
    public long unansweredCount(UnansweredReason reason) {
        return unansweredByReason.getOrDefault(reason, 0L);
    }

    /** Returns how often a job was found unanswered for too long although the store responds. */
    public long overdueCount() {
        return overdueCount;
    }

    /** Returns how long the longest unanswered job has been asked about in vain; 0 if none has. */
    public double longestUnansweredSeconds() {
        double nowSeconds = timers.nowSeconds();
        return streakByJob.values().stream()
                .filter(streak -> streak.isGoingOn(nowSeconds))
                .mapToDouble(streak -> nowSeconds - streak.sinceSeconds)
                .max()
                .orElse(0);
    }

    /** Records the response to a query about the job. */
    void record(String jobId, JobResponse response) {
        if (response.verdict() == Verdict.LATER) {
            recordUnanswered(jobId, response.unansweredReason());
        } else {
            streakByJob.remove(jobId);
        }
    }

    private void recordUnanswered(String jobId, UnansweredReason reason) {
        unansweredByReason.merge(reason, 1L, Long::sum);
        double nowSeconds = timers.nowSeconds();
        Streak streak =
                streakByJob
                        .getOrDefault(jobId, new Streak(nowSeconds, nowSeconds))
                        .continuedAt(nowSeconds);
        streakByJob.put(jobId, streak);
        if (!isStoreReachable.getAsBoolean()) {
            storeReachableSinceSeconds = nowSeconds;
        }
        log(jobId, reason, nowSeconds - streak.sinceSeconds);
        checkNotOverdue(jobId, reason, streak.sinceSeconds);
    }

    private void log(String jobId, UnansweredReason reason, double unansweredSeconds) {
        if (logThrottle.tryLog(timers.nowSeconds())) {
            LOG.info(
                    "status query unanswered: job={} reason={} unansweredSeconds={} others={}",
                    jobId,
                    reason,
                    Math.round(unansweredSeconds),
                    logThrottle.takeSuppressed());
        }
    }

    private void checkNotOverdue(String jobId, UnansweredReason reason, double sinceSeconds) {
        double nowSeconds = timers.nowSeconds();
        double countedSinceSeconds = Math.max(sinceSeconds, storeReachableSinceSeconds);
        if (nowSeconds - countedSinceSeconds <= MAX_UNANSWERED_SECONDS) {
            return;
        }
        overdueCount++;
        streakByJob.put(jobId, new Streak(nowSeconds, nowSeconds));
        LOG.error(
                "invariant violated: job unanswered for too long: job={} reason={} seconds={}",
                jobId,
                reason,
                Math.round(nowSeconds - countedSinceSeconds));
    }
}
