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
    private static final double HEARS_AGAIN = 1.5;

    private static final int MOST_LOST = 2;

    public final String id;
    String type;
    String zone;

    /** Where its worker takes direct commands; empty until it reported. */
    String address = "";

    /** Direct commands are under way to it. */
    boolean commanded;

    boolean spot;

    /** Times are seconds on the steady clock. */
    double knownSince;

    /** A list of the cloud has shown it. */
    boolean listed;

    /**
     * Rented by this holder, or by one that put it on record, so that it is known when its boot
     * began.
     */
    boolean rentedHere;

    /** NaN until the first report. */
    double lastReport = Double.NaN;

    long session;
    long sequence;

    /**
     * A report with our own token has come: nothing that an earlier holder sent can start here any
     * more.
     */
    boolean proven;

    /**
     * When the first report of its session came, and the first one in it with our own token; NaN
     * before.
     */
    private double sessionAt = Double.NaN;

    private double provenAt = Double.NaN;

    /** Sessions in a row that ended although their reports were answered. */
    private int lostInVain;

    /**
     * Since when it is known to report without hearing what it is answered; NaN while it is not.
     */
    private double deafSince = Double.NaN;

    /**
     * Since when it has been answered with our token and has not shown it; NaN once it has, or
     * before.
     */
    private double unheardSince = Double.NaN;

    /** NaN, or when the cloud takes the machine away. */
    double takenAt = Double.NaN;

    boolean releasing;
    boolean gone;

    /** Set aside because what it starts fails while the same work runs elsewhere. */
    boolean setAside;

    /** Jobs that failed here since something succeeded, and how often. */
    final Map<Job, Integer> failed = new HashMap<>();

    /** Attempts not proven over. */
    final List<Attempt> attempts = new ArrayList<>();

    private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);

    /** Attempts proven over, which the store does not know yet; they are cleared once it does. */
    final List<Attempt> unwritten = new ArrayList<>();

    /**
     * Tasks on the machine that belong to no job we know; until they are gone, the machine takes
     * nothing.
     */
    int strangers;

    double idleSince;

    /** When it last had work that could not have run on a spot machine. */
    double neededAt;

    /** To be given back once empty: takes no work that a cheaper machine could do. */
    boolean draining;

    /** Images that it probably has, with their size, the least recently used first. */
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

    /** Images that it probably fetches now; null if that is to be worked out anew. */
    private Set<String> fetched;

    double usedCpus;
    double usedGpus;
    double usedMemory;

    /** Of the used CPUs, what work takes that may not use spot machines. */
    double boundCpus;

    int unconfirmed;

    /** The job that is to have the room here, and until when other work has been stopped for it. */
    Job reservedFor;

    double reservedUntil;

    /**
     * Only kept until other work ends, nothing is being stopped: work that would give way to the
     * job may run meanwhile. Guards against machines that idle for minutes because a gang waits for
     * the last of those that it needs.
     */
    boolean kept;

    private double keptFrom;

    /** Whether the last report ended something. */
    boolean endedLately;

    /** Counts reports that were read in full, to tell what one of them did not show. */
    int readings;

    Machine(String id, double now) {
        this.id = id;
        this.knownSince = now;
        this.idleSince = now;
        this.neededAt = now;
    }

    /** Its type's name; null until something has said it. */
    public String type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    public MachineKind kind() {
        return new MachineKind(type, zone, spot);
    }

    public String address() {
        return address;
    }

    public long session() {
        return session;
    }

    /** Seconds on the steady clock; NaN until the first report. */
    public double lastReport() {
        return lastReport;
    }

    /**
     * Whether a report with the holder's own token has come: nothing that an earlier one sent can
     * start here.
     */
    public boolean proven() {
        return proven;
    }

    public boolean releasing() {
        return releasing;
    }

    public boolean gone() {
        return gone;
    }

    /** Whether a list of the cloud has shown it. */
    public boolean listed() {
        return listed;
    }

    public boolean setAside() {
        return setAside;
    }

    /** Whether the cloud has said that it takes the machine away. */
    public boolean recalled() {
        return !Double.isNaN(takenAt);
    }

    /** Attempts not proven over. */
    public List<Attempt> attempts() {
        return attemptsView;
    }

    /** Whether its worker still has ended attempts that the store does not know. */
    public boolean awaitsRecords() {
        return !unwritten.isEmpty();
    }

    public double idleSince() {
        return idleSince;
    }

    public double neededAt() {
        return neededAt;
    }

    public boolean draining() {
        return draining;
    }

    public double usedCpus() {
        return usedCpus;
    }

    /** Of the used CPUs, what work takes that may not use spot machines. */
    public double boundCpus() {
        return boundCpus;
    }

    public double usedGpus() {
        return usedGpus;
    }

    public double usedMemory() {
        return usedMemory;
    }

    /** Starts that no report has shown. */
    public int unconfirmed() {
        return unconfirmed;
    }

    public Job reservedFor() {
        return reservedFor;
    }

    /**
     * Whether work that would give way to the job that it is reserved for may run here meanwhile.
     */
    public boolean kept() {
        return kept;
    }

    // ---- what others decide about it ----------------------------------------------------------

    /** Holds the room here for the job, for which other work is being stopped. */
    public void reserve(Job job, double until) {
        reservedFor = job;
        kept = false;
        reservedUntil = until;
    }

    /** Keeps the room for the job, which other work will have left by then; see {@link #kept()}. */
    public void keepFor(Job job, double from) {
        reservedFor = job;
        kept = true;
        keptFrom = from;
    }

    /**
     * Whether the job would by its estimate be over here before the one starts that the room is
     * kept for.
     */
    public boolean keptFree(Job job, double now) {
        return job.spec.shape() != JobSpec.Shape.SERVICE && now + job.spec.estimatedSeconds() <= keptFrom;
    }

    /**
     * A new round: what was only kept is decided anew, and room is not held longer than its job
     * needs or may.
     */
    public void reconsider(double now) {
        if (kept || now >= reservedUntil || reservedFor != null && reservedFor.waitingTasks() == 0) {
            unreserve();
        }
    }

    private void unreserve() {
        reservedFor = null;
        kept = false;
    }

    /** It has work that could not run on a cheaper machine. */
    public void needed(double now) {
        neededAt = now;
    }

    public void drain(boolean so) {
        draining = so;
    }

    /** It is to be given back and takes no work any more. */
    public void release() {
        releasing = true;
    }

    /** Direct commands are under way to it, or have been answered. */
    public void commanded(boolean underWay) {
        commanded = underWay;
    }

    public boolean reported() {
        return !Double.isNaN(lastReport);
    }

    /**
     * A report came, of that session. Guards against a machine whose reports arrive while no answer
     * reaches it: it looks as well as any, but its lease runs out again and again. One that was
     * answered for a whole lease and is in another session all the same, twice in a row, hears
     * nothing (once may be a network that was slow for a while); one that stays in a session for
     * longer than a lease hears again.
     */
    void heard(long itsSession, boolean ours, double now, double leaseS) {
        if (itsSession > session) {
            boolean answered = now - provenAt > leaseS / 2 && now - lastReport < leaseS / 2;
            lostInVain = answered ? lostInVain + 1 : 0;
            if (lostInVain >= MOST_LOST) {
                deaf(now);
            }
            sessionAt = now;
            provenAt = Double.NaN;
        } else if (now - sessionAt > HEARS_AGAIN * leaseS) {
            deafSince = Double.NaN;
            lostInVain = 0;
        }
        if (ours && Double.isNaN(provenAt)) {
            provenAt = now;
        }
        if (ours) {
            deafSince = deafSince == unheardSince ? Double.NaN : deafSince;
            unheardSince = Double.NaN;
        } else if (Double.isNaN(unheardSince)) {
            unheardSince = now;
        } else if (now - unheardSince > HEARS_AGAIN * leaseS) {
            // Guards against a limit that stays taken for as long as no answer gets through: deaf
            // since before this holder began, it never shows the token that would prove what is on
            // it.
            deaf(unheardSince);
        }
    }

    /**
     * A report came that was not answered: it is there, and may lose its session for want of
     * answers.
     */
    void unanswered(double now) {
        if (reported()) {
            lastReport = now;
            provenAt = Double.NaN;
            unheardSince = Double.NaN;
        }
    }

    /** Another token is ours: nothing is proven until a report shows it. */
    void unproven() {
        proven = false;
        unheardSince = Double.NaN;
    }

    /** What it was told does not reach it. */
    void deaf(double now) {
        if (!deafToAnswers()) {
            deafSince = now;
        }
    }

    /** Whether its reports arrive, but answers don't reach it. */
    public boolean deafToAnswers() {
        return !Double.isNaN(deafSince);
    }

    /** Seconds since that is known. */
    public double deafS(double now) {
        return deafToAnswers() ? now - deafSince : 0;
    }

    /** A task that it was told to start is there. */
    void showsStart() {
        deafSince = Double.NaN;
        lostInVain = 0;
    }

    /** Whether new tasks may be placed here. */
    public boolean open() {
        return proven
                && !deafToAnswers()
                && !releasing
                && !gone
                && !setAside
                && !recalled()
                && strangers == 0;
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
    public double holdingCpus() {
        return spot ? usedCpus : boundCpus;
    }

    public boolean has(String image) {
        return images.containsKey(image);
    }

    /** Whether it probably fetches that image now, for an attempt that was placed here. */
    public boolean fetches(String image) {
        return fetched().contains(image);
    }

    /** Whether it probably fetches any image now. */
    public boolean fetches() {
        return !fetched().isEmpty();
    }

    private Set<String> fetched() {
        if (fetched == null) {
            fetched = new HashSet<>();
            for (Attempt attempt : attempts) {
                if (attempt.isFetching() && !has(attempt.job.spec.image())) {
                    fetched.add(attempt.job.spec.image());
                }
            }
        }
        return fetched;
    }

    /** An attempt here has gone on. */
    void progressed() {
        fetched = null;
    }

    /** What an earlier holder knew to be here; nothing that this one saw is displaced by it. */
    public void recall(String image, double gb) {
        images.putIfAbsent(image, gb);
    }

    public Map<String, Double> images() {
        return Collections.unmodifiableMap(images);
    }

    /** A task with this image runs here; the machine keeps the most recently used ones. */
    void ran(String image, double gb, double cacheGb) {
        fetched = null;
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

    void add(Attempt attempt) {
        attempts.add(attempt);
        fetched = null;
        count(attempt.job.spec, 1);
        unconfirmed += attempt.isSeen ? 0 : 1;
    }

    void remove(Attempt attempt) {
        if (!attempts.remove(attempt)) {
            return;
        }
        fetched = null;
        count(attempt.job.spec, -1);
        unconfirmed -= attempt.isSeen ? 0 : 1;
        if (attempts.isEmpty()) {
            clear();
        }
    }

    /**
     * Sums are kept, not made anew; an empty machine starts from zero, so that errors of rounding
     * don't add up.
     */
    private void clear() {
        usedCpus = 0;
        usedGpus = 0;
        usedMemory = 0;
        boundCpus = 0;
        unconfirmed = 0;
    }

    void forgetAttempts() {
        fetched = null;
        attempts.clear();
        unwritten.clear();
        failed.clear();
        clear();
    }

    private void count(JobSpec spec, int sign) {
        usedCpus += sign * spec.cpusPerTask();
        usedGpus += sign * spec.gpusPerTask();
        usedMemory += sign * spec.memoryGigabytesPerTask();
        if (!spec.allowsSpot()) {
            boundCpus += sign * spec.cpusPerTask();
        }
    }

    /** Counts a task that is about to be placed here (1), or is not after all (-1). */
    public void expect(JobSpec spec, int sign) {
        count(spec, sign);
        unconfirmed += sign;
    }

    public boolean busy() {
        return strangers > 0 || !attempts.isEmpty();
    }
}
