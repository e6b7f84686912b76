package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A rented machine as the holder knows it: from the cloud's list, its worker's reports and the
 * jobs' records.
 */
public final class Machine {
    /** In leases. */
    private static final double ANSWERS_ARRIVE_LEASES = 1.5;

    private static final int MAX_LOST_INCARNATIONS = 2;

    public final String id;
    String type;
    String zone;

    /** Where its worker takes direct commands; empty until it reported. */
    String address = "";

    /** Direct commands are under way to it. */
    boolean setCommandInFlight;

    boolean isSpot;

    /** Times are seconds on the steady clock. */
    double knownSince;

    /** A list of the cloud has shown it. */
    boolean isListed;

    /**
     * Rented by this holder, or by one that put it on record, so that it is known when its boot
     * began.
     */
    boolean isBootStartKnown;

    /** NaN until the first report. */
    double lastHeartbeatAt = Double.NaN;

    long agentIncarnation;
    long lastSequence;

    /**
     * A report with our own token has come: nothing that an earlier holder sent can start here any
     * more.
     */
    boolean isTokenConfirmed;

    /**
     * When the first report of its session came, and the first one in it with our own token; NaN
     * before.
     */
    private double agentIncarnationSince = Double.NaN;

    private double tokenConfirmedAt = Double.NaN;

    /** Sessions in a row that ended although their reports were answered. */
    private int answeredIncarnationsLost;

    /**
     * Since when it is known to report without hearing what it is answered; NaN while it is not.
     */
    private double missingAnswersSince = Double.NaN;

    /**
     * Since when it has been answered with our token and has not shown it; NaN once it has, or
     * before.
     */
    private double tokenUnconfirmedSince = Double.NaN;

    /** NaN, or when the cloud takes the machine away. */
    double interruptionAt = Double.NaN;

    boolean isReleasing;
    boolean isGone;

    /** Set aside because what it starts fails while the same work runs elsewhere. */
    boolean isQuarantined;

    /** Jobs that failed here since something succeeded, and how often. */
    final Map<Job, Integer> failuresByJob = new HashMap<>();

    /** Attempts not proven over. */
    final List<Attempt> attempts = new ArrayList<>();

    private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);

    /** Attempts proven over, which the store does not know yet; they are cleared once it does. */
    final List<Attempt> unwrittenEnds = new ArrayList<>();

    /**
     * Tasks on the machine that belong to no job we know; until they are gone, the machine takes
     * nothing.
     */
    int unknownTasks;

    double idleSince;

    /** When it last had work that could not have run on a spot machine. */
    double lastNeededAt;

    /** To be given back once empty: takes no work that a cheaper machine could do. */
    boolean isDraining;

    /** Images that it probably has, with their size, the least recently used first. */
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

    /** Images that it probably fetches now; null if that is to be worked out anew. */
    private Set<String> fetchingImages;

    double usedCpus;
    double usedGpus;
    double usedMemory;

    /** Of the used CPUs, what work takes that may not use spot machines. */
    double nonSpotCpus;

    int unconfirmedStarts;

    /** The job that is to have the room here, and until when other work has been stopped for it. */
    Job reservedFor;

    double reservedUntil;

    /**
     * Only kept until other work ends, nothing is being stopped: work that would give way to the
     * job may run meanwhile. Guards against machines that idle for minutes because a gang waits for
     * the last of those that it needs.
     */
    boolean isBackfillAllowed;

    private double reservationStartsAt;

    /** Whether the last report ended something. */
    boolean didLastReportEndTask;

    /** Counts reports that were read in full, to tell what one of them did not show. */
    int fullReportsRead;

    Machine(String id, double now) {
        this.id = id;
        this.knownSince = now;
        this.idleSince = now;
        this.lastNeededAt = now;
    }

    /** Its type's name; null until something has said it. */
    public String type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean isSpot() {
        return isSpot;
    }

    public MachineKind kind() {
        return new MachineKind(type, zone, isSpot);
    }

    public String address() {
        return address;
    }

    public long agentIncarnation() {
        return agentIncarnation;
    }

    /** Seconds on the steady clock; NaN until the first report. */
    public double lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    /**
     * Whether a report with the holder's own token has come: nothing that an earlier one sent can
     * start here.
     */
    public boolean isTokenConfirmed() {
        return isTokenConfirmed;
    }

    public boolean isReleasing() {
        return isReleasing;
    }

    public boolean isGone() {
        return isGone;
    }

    /** Whether a list of the cloud has shown it. */
    public boolean isListed() {
        return isListed;
    }

    public boolean isQuarantined() {
        return isQuarantined;
    }

    /** Whether the cloud has said that it takes the machine away. */
    public boolean hasInterruptionNotice() {
        return !Double.isNaN(interruptionAt);
    }

    /** Attempts not proven over. */
    public List<Attempt> attempts() {
        return attemptsView;
    }

    /** Whether its worker still has ended attempts that the store does not know. */
    public boolean hasUnwrittenEnds() {
        return !unwrittenEnds.isEmpty();
    }

    public double idleSince() {
        return idleSince;
    }

    public double lastNeededAt() {
        return lastNeededAt;
    }

    public boolean isDraining() {
        return isDraining;
    }

    public double usedCpus() {
        return usedCpus;
    }

    /** Of the used CPUs, what work takes that may not use spot machines. */
    public double nonSpotCpus() {
        return nonSpotCpus;
    }

    public double usedGpus() {
        return usedGpus;
    }

    public double usedMemory() {
        return usedMemory;
    }

    /** Starts that no report has shown. */
    public int unconfirmedStarts() {
        return unconfirmedStarts;
    }

    public Job reservedFor() {
        return reservedFor;
    }

    /**
     * Whether work that would give way to the job that it is reserved for may run here meanwhile.
     */
    public boolean isBackfillAllowed() {
        return isBackfillAllowed;
    }

    // ---- what others decide about it ----------------------------------------------------------

    /** Holds the room here for the job, for which other work is being stopped. */
    public void reserve(Job job, double until) {
        reservedFor = job;
        isBackfillAllowed = false;
        reservedUntil = until;
    }

    /**
     * Keeps the room for the job, which other work will have left by then; see {@link
     * #isBackfillAllowed()}.
     */
    public void reserveAllowingBackfill(Job job, double from) {
        reservedFor = job;
        isBackfillAllowed = true;
        reservationStartsAt = from;
    }

    /**
     * Whether the job would by its estimate be over here before the one starts that the room is
     * kept for.
     */
    public boolean mayBackfill(Job job, double now) {
        return job.spec.shape() != JobSpec.Shape.SERVICE
                && now + job.spec.estimatedSeconds() <= reservationStartsAt;
    }

    /**
     * A new round: what was only kept is decided anew, and room is not held longer than its job
     * needs or may.
     */
    public void refreshReservation(double now) {
        if (isBackfillAllowed
                || now >= reservedUntil
                || reservedFor != null && reservedFor.waitingTasks() == 0) {
            unreserve();
        }
    }

    private void unreserve() {
        reservedFor = null;
        isBackfillAllowed = false;
    }

    /** It has work that could not run on a cheaper machine. */
    public void markNeeded(double now) {
        lastNeededAt = now;
    }

    public void setDraining(boolean so) {
        isDraining = so;
    }

    /** It is to be given back and takes no work any more. */
    public void release() {
        isReleasing = true;
    }

    /** Direct commands are under way to it, or have been answered. */
    public void setCommandInFlight(boolean underWay) {
        setCommandInFlight = underWay;
    }

    public boolean hasReported() {
        return !Double.isNaN(lastHeartbeatAt);
    }

    /**
     * A report came, of that session. Guards against a machine whose reports arrive while no answer
     * reaches it: it looks as well as any, but its lease runs out again and again. One that was
     * answered for a whole lease and is in another session all the same, twice in a row, hears
     * nothing (once may be a network that was slow for a while); one that stays in a session for
     * longer than a lease hears again.
     */
    void recordHeartbeat(long itsSession, boolean ours, double now, double leaseS) {
        if (itsSession > agentIncarnation) {
            boolean answered =
                    now - tokenConfirmedAt > leaseS / 2 && now - lastHeartbeatAt < leaseS / 2;
            answeredIncarnationsLost = answered ? answeredIncarnationsLost + 1 : 0;
            if (answeredIncarnationsLost >= MAX_LOST_INCARNATIONS) {
                markMissingAnswers(now);
            }
            agentIncarnationSince = now;
            tokenConfirmedAt = Double.NaN;
        } else if (now - agentIncarnationSince > ANSWERS_ARRIVE_LEASES * leaseS) {
            missingAnswersSince = Double.NaN;
            answeredIncarnationsLost = 0;
        }
        if (ours && Double.isNaN(tokenConfirmedAt)) {
            tokenConfirmedAt = now;
        }
        if (ours) {
            missingAnswersSince =
                    missingAnswersSince == tokenUnconfirmedSince ? Double.NaN : missingAnswersSince;
            tokenUnconfirmedSince = Double.NaN;
        } else if (Double.isNaN(tokenUnconfirmedSince)) {
            tokenUnconfirmedSince = now;
        } else if (now - tokenUnconfirmedSince > ANSWERS_ARRIVE_LEASES * leaseS) {
            // Guards against a limit that stays taken for as long as no answer gets through: deaf
            // since before this holder began, it never shows the token that would prove what is on
            // it.
            markMissingAnswers(tokenUnconfirmedSince);
        }
    }

    /**
     * A report came that was not answered: it is there, and may lose its session for want of
     * answers.
     */
    void recordUnansweredHeartbeat(double now) {
        if (hasReported()) {
            lastHeartbeatAt = now;
            tokenConfirmedAt = Double.NaN;
            tokenUnconfirmedSince = Double.NaN;
        }
    }

    /** Another token is ours: nothing is proven until a report shows it. */
    void resetTokenConfirmation() {
        isTokenConfirmed = false;
        tokenUnconfirmedSince = Double.NaN;
    }

    /** What it was told does not reach it. */
    void markMissingAnswers(double now) {
        if (!isMissingAnswers()) {
            missingAnswersSince = now;
        }
    }

    /** Whether its reports arrive, but answers don't reach it. */
    public boolean isMissingAnswers() {
        return !Double.isNaN(missingAnswersSince);
    }

    /** Seconds since that is known. */
    public double missingAnswersSeconds(double now) {
        return isMissingAnswers() ? now - missingAnswersSince : 0;
    }

    /** A task that it was told to start is there. */
    void recordDeliveredStart() {
        missingAnswersSince = Double.NaN;
        answeredIncarnationsLost = 0;
    }

    /** Whether new tasks may be placed here. */
    public boolean isSchedulable() {
        return isTokenConfirmed
                && !isMissingAnswers()
                && !isReleasing
                && !isGone
                && !isQuarantined
                && !hasInterruptionNotice()
                && unknownTasks == 0;
    }

    public boolean fits(JobSpec spec, MachineType type) {
        return usedCpus + spec.cpusPerTask() <= type.cpus() + 1e-6
                && usedGpus + spec.gpusPerTask() <= type.gpus() + 1e-6
                && usedMemory + spec.memoryGigabytesPerTask() <= type.memoryGigabytes() + 1e-6;
    }

    /**
     * CPUs by which the machine counts as in use: on an ordinary machine only work that may not use
     * spot ones. Guards against work that could run cheaper elsewhere keeping ordinary machines
     * rented, each with a little of the rest.
     */
    public double cpusJustifyingRental() {
        return isSpot ? usedCpus : nonSpotCpus;
    }

    public boolean hasImage(String image) {
        return images.containsKey(image);
    }

    /** Whether it probably fetches that image now, for an attempt that was placed here. */
    public boolean isFetching(String image) {
        return fetchingImages().contains(image);
    }

    /** Whether it probably fetches any image now. */
    public boolean isFetching() {
        return !fetchingImages().isEmpty();
    }

    private Set<String> fetchingImages() {
        if (fetchingImages == null) {
            fetchingImages = new HashSet<>();
            for (Attempt attempt : attempts) {
                if (attempt.isFetching() && !hasImage(attempt.job.spec.image())) {
                    fetchingImages.add(attempt.job.spec.image());
                }
            }
        }
        return fetchingImages;
    }

    /** An attempt here has gone on. */
    void invalidateFetchingImages() {
        fetchingImages = null;
    }

    /** What an earlier holder knew to be here; nothing that this one saw is displaced by it. */
    public void restoreImage(String image, double gb) {
        images.putIfAbsent(image, gb);
    }

    public Map<String, Double> images() {
        return Collections.unmodifiableMap(images);
    }

    /** A task with this image runs here; the machine keeps the most recently used ones. */
    void recordImageUse(String image, double gb, double cacheGb) {
        fetchingImages = null;
        images.put(image, gb);
        double sum = 0;
        for (double size : images.values()) {
            sum += size;
        }
        Iterator<Double> oldest = images.values().iterator();
        while (sum > cacheGb && images.size() > 1) {
            sum -= oldest.next();
            oldest.remove();
        }
    }

    void addAttempt(Attempt attempt) {
        attempts.add(attempt);
        fetchingImages = null;
        countUsage(attempt.job.spec, 1);
        unconfirmedStarts += attempt.isSeen ? 0 : 1;
    }

    void removeAttempt(Attempt attempt) {
        if (!attempts.remove(attempt)) {
            return;
        }
        fetchingImages = null;
        countUsage(attempt.job.spec, -1);
        unconfirmedStarts -= attempt.isSeen ? 0 : 1;
        if (attempts.isEmpty()) {
            resetUsage();
        }
    }

    /**
     * Sums are kept, not made anew; an empty machine starts from zero, so that errors of rounding
     * don't add up.
     */
    private void resetUsage() {
        usedCpus = 0;
        usedGpus = 0;
        usedMemory = 0;
        nonSpotCpus = 0;
        unconfirmedStarts = 0;
    }

    void forgetAttempts() {
        fetchingImages = null;
        attempts.clear();
        unwrittenEnds.clear();
        failuresByJob.clear();
        resetUsage();
    }

    private void countUsage(JobSpec spec, int sign) {
        usedCpus += sign * spec.cpusPerTask();
        usedGpus += sign * spec.gpusPerTask();
        usedMemory += sign * spec.memoryGigabytesPerTask();
        if (!spec.allowsSpot()) {
            nonSpotCpus += sign * spec.cpusPerTask();
        }
    }

    /** Counts a task that is about to be placed here (1), or is not after all (-1). */
    public void countTentatively(JobSpec spec, int sign) {
        countUsage(spec, sign);
        unconfirmedStarts += sign;
    }

    public boolean isBusy() {
        return unknownTasks > 0 || !attempts.isEmpty();
    }
}
