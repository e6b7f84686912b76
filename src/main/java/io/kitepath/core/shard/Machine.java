package io.kitepath.core.shard;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A rented machine as the shard's leader knows it: from the cloud's list, its agent's heartbeats
 * and the jobs' records. Its concerns are kept apart: liveness in {@link HeartbeatHistory}, what
 * the cloud says in {@link MachineRental}, what is placed on it in {@link PlacedWork}, images in
 * {@link MachineImages}, for whom its room is reserved in {@link RoomReservation}. Times are
 * seconds on the steady clock. Not thread-safe; belongs to the shard's thread.
 */
public final class Machine {
    private static final Logger LOG = LoggerFactory.getLogger(Machine.class);

    /** Tolerance for sums of CPUs, GPUs and memory that were added and subtracted many times. */
    private static final double ROUNDING = 1e-6;

    /** The cloud's status of a machine that stopped by itself. */
    private static final String FAILED_STATUS = "failed";

    /** The cloud's name of the machine. */
    public final String id;

    private final MachineRental rental;
    private final HeartbeatHistory heartbeats = new HeartbeatHistory();
    private final PlacedWork placedWork = new PlacedWork();
    private final MachineImages images = new MachineImages(placedWork.attempts());
    private final RoomReservation reservation = new RoomReservation();

    private String type;

    /** The machine type of that name, once it was looked up; null before. */
    private MachineType knownType;

    private String zone;
    private String address = "";
    private boolean spot;

    private boolean releasing;
    private boolean gone;
    private boolean quarantined;
    private boolean draining;

    /** Failed starts by job, since something last succeeded here. */
    private final Map<Job, Integer> failuresByJob = new HashMap<>();

    private double idleSince;
    private double lastNeededAt;
    private boolean commandInFlight;

    Machine(String id, double now) {
        this.id = id;
        this.rental = new MachineRental(now);
        this.idleSince = now;
        this.lastNeededAt = now;
    }

    // ---- identity and capacity ----------------------------------------------------------------

    /** Its type's name; null until the cloud's list, a rental or a heartbeat has said it. */
    public String type() {
        return type;
    }

    /**
     * Its type, as it is on offer now; null if that is not known. Cheap, as it is asked of every
     * machine for every job.
     *
     * @param types the shard's machine types by name
     */
    public MachineType typeAmong(Map<String, MachineType> types) {
        if (knownType == null && type != null) {
            knownType = types.get(type);
        }
        return knownType;
    }

    /** The machine types on offer have changed: its own is to be looked up again. */
    void forgetKnownType() {
        knownType = null;
    }

    /** Its zone; null until its type is known. */
    public String zone() {
        return zone;
    }

    /** Whether it is a spot instance. */
    public boolean isSpot() {
        return spot;
    }

    /** Type, zone and whether it is a spot instance: what its price and its boot time depend on. */
    public MachineKind kind() {
        return new MachineKind(type, zone, spot);
    }

    /** Where its agent accepts direct commands; empty until it reported. */
    public String address() {
        return address;
    }

    private void setKind(String newType, String newZone, boolean isSpot) {
        if (!Objects.equals(type, newType)) {
            type = newType;
            forgetKnownType();
        }
        zone = newZone;
        spot = isSpot;
    }

    /** Whether one more task of this kind fits beside what is placed here. */
    public boolean fits(JobSpec spec, MachineType type) {
        return usedCpus() + spec.cpusPerTask() <= type.cpus() + ROUNDING
                && usedGpus() + spec.gpusPerTask() <= type.gpus() + ROUNDING
                && usedMemory() + spec.memoryGigabytesPerTask()
                        <= type.memoryGigabytes() + ROUNDING;
    }

    // ---- what the cloud says ------------------------------------------------------------------

    /** Takes in an entry of the cloud's list of machines. */
    void applyCloudEntry(Cloud.ListedMachine entry) {
        rental.markListed();
        setKind(entry.machineType(), entry.zone(), entry.spot());
        if (entry.status().equals(FAILED_STATUS)) {
            releasing = true;
        }
    }

    /**
     * The cloud has rented this machine to us; its boot began at {@code since}. A machine that has
     * reported before keeps the time since when it is known.
     */
    void recordRental(MachineKind kind, double since) {
        if (!hasReported()) {
            rental.recordBootStart(since);
        }
        setKind(kind.machineType(), kind.zone(), kind.spot());
    }

    /** What is known from its rental and the cloud. */
    MachineRental rental() {
        return rental;
    }

    /** Whether a list of the cloud has shown it. */
    public boolean isListed() {
        return rental.isListed();
    }

    /** Whether the cloud has given notice that it takes the machine away. */
    public boolean hasInterruptionNotice() {
        return rental.hasInterruptionNotice();
    }

    // ---- liveness -----------------------------------------------------------------------------

    /**
     * Takes in what a heartbeat says of the machine itself; its tasks are for {@link
     * HeartbeatProcessor}.
     *
     * @param carriesOurToken whether it carries the leader's fencing token and the jobs are loaded
     */
    void recordHeartbeat(
            Heartbeat heartbeat, boolean carriesOurToken, double now, double leaseSeconds) {
        heartbeats.record(
                heartbeat.agentIncarnation(),
                heartbeat.sequence(),
                carriesOurToken,
                now,
                leaseSeconds);
        setKind(heartbeat.machineType(), heartbeat.zone(), heartbeat.spot());
        address = heartbeat.address();
        if (heartbeat.noticeSeconds() == null) {
            rental.clearInterruption();
            return;
        }
        if (!hasInterruptionNotice()) {
            LOG.info(
                    "interruption notice: machine={} takenInSeconds={}",
                    id,
                    heartbeat.noticeSeconds());
        }
        rental.setInterruption(now + heartbeat.noticeSeconds());
    }

    /** Whether the heartbeat is newer than all that were read of this machine. */
    boolean isNewer(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(heartbeats.agentIncarnation(), heartbeats.lastSequence());
    }

    /** Liveness as the heartbeats show it. */
    HeartbeatHistory heartbeats() {
        return heartbeats;
    }

    /** Whether any heartbeat of it has come. */
    public boolean hasReported() {
        return heartbeats.hasReported();
    }

    /** Seconds on the steady clock; NaN until the first heartbeat. */
    public double lastHeartbeatAt() {
        return heartbeats.lastHeartbeatAt();
    }

    /** The agent's session: it begins a new one when its lease has expired or it restarted. */
    public long agentIncarnation() {
        return heartbeats.agentIncarnation();
    }

    /**
     * Whether a report with the leader's own fencing token has come: nothing that an earlier leader
     * sent can start here any more.
     */
    public boolean isTokenConfirmed() {
        return heartbeats.isTokenConfirmed();
    }

    /** Whether its heartbeats arrive, but answers don't reach it. */
    public boolean isMissingAnswers() {
        return heartbeats.isMissingAnswers();
    }

    /** Seconds since that is known; 0 while answers are held to arrive. */
    public double missingAnswersSeconds(double now) {
        return heartbeats.missingAnswersSeconds(now);
    }

    // ---- what the leader decides about it -----------------------------------------------------

    /** Whether new tasks may be placed here. */
    public boolean isSchedulable() {
        return isTokenConfirmed()
                && !isMissingAnswers()
                && !releasing
                && !gone
                && !quarantined
                && !hasInterruptionNotice()
                && placedWork.unknownTasks() == 0;
    }

    /** From now on it is to be given back and takes no work any more. */
    public void release() {
        releasing = true;
    }

    /** Whether it is to be given back. */
    public boolean isReleasing() {
        return releasing;
    }

    /** It does not exist any more: released, taken, or unknown to the cloud. */
    void markGone() {
        gone = true;
    }

    /** Whether it is known not to exist any more. */
    public boolean isGone() {
        return gone;
    }

    void setQuarantined(boolean isQuarantined) {
        quarantined = isQuarantined;
    }

    /** Whether it takes no work because what it starts fails while the same work runs elsewhere. */
    public boolean isQuarantined() {
        return quarantined;
    }

    /**
     * Failed starts by job since something last succeeded here; {@link FailureDiagnosis} keeps it.
     */
    Map<Job, Integer> failuresByJob() {
        return failuresByJob;
    }

    /**
     * Draining machines are given back once empty, and take no work that a cheaper one could do.
     */
    public void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /** Whether it is to be given back once empty. */
    public boolean isDraining() {
        return draining;
    }

    /** It has work now that could not run on a cheaper machine. */
    public void markNeeded(double now) {
        lastNeededAt = now;
    }

    /** When it last had work that could not have run on a spot instance. */
    public double lastNeededAt() {
        return lastNeededAt;
    }

    /** Direct commands are under way to it, or have been answered. */
    public void setCommandInFlight(boolean isInFlight) {
        commandInFlight = isInFlight;
    }

    boolean isCommandInFlight() {
        return commandInFlight;
    }

    // ---- reservations -------------------------------------------------------------------------

    /** Holds the room here for the job, for which other work is being stopped. */
    public void reserve(Job job, double until) {
        reservation.reserve(job, until);
    }

    /**
     * Holds the room here for the job from the time on at which other work will have left; see
     * {@link #isBackfillAllowed()}.
     */
    public void reserveAllowingBackfill(Job job, double from) {
        reservation.reserveAllowingBackfill(job, from);
    }

    /** The job that is to have the room here; null if there is none. */
    public Job reservedFor() {
        return reservation.reservedFor();
    }

    /**
     * Whether work that would give way to the job that the room is reserved for may run here
     * meanwhile.
     */
    public boolean isBackfillAllowed() {
        return reservation.isBackfillAllowed();
    }

    /** Whether the job would by its estimate end before the reservation starts. */
    public boolean mayBackfill(Job job, double now) {
        return reservation.mayBackfill(job, now);
    }

    /** A scheduling round begins; ends reservations that are over or have to be decided anew. */
    public void refreshReservation(double now) {
        reservation.refresh(now);
    }

    // ---- images -------------------------------------------------------------------------------

    /** Whether the image is probably in its cache. */
    public boolean hasImage(String image) {
        return images.has(image);
    }

    /** Whether it probably fetches that image now, for an attempt that was placed here. */
    public boolean isFetching(String image) {
        return images.isFetching(image);
    }

    /** Whether it probably fetches any image now. */
    public boolean isFetching() {
        return images.isFetchingAny();
    }

    /** An attempt here has changed its state. */
    void invalidateFetchingImages() {
        images.invalidateFetching();
    }

    /** Adds an image that an earlier leader knew to be here; displaces nothing that was seen. */
    public void restoreImage(String image, double sizeGigabytes) {
        images.restore(image, sizeGigabytes);
    }

    /** Images that it probably has, with their size in GB, the least recently used first. */
    public Map<String, Double> images() {
        return images.cachedGigabytes();
    }

    /** A task with this image runs here; the machine keeps the most recently used ones. */
    void recordImageUse(String image, double sizeGigabytes, double cacheGigabytes) {
        images.recordUse(image, sizeGigabytes, cacheGigabytes);
    }

    // ---- what is placed on it -----------------------------------------------------------------

    void addAttempt(Attempt attempt) {
        placedWork.add(attempt);
        images.invalidateFetching();
    }

    void removeAttempt(Attempt attempt) {
        if (placedWork.remove(attempt)) {
            images.invalidateFetching();
        }
    }

    /** The jobs are loaded anew: nothing refers to their former objects any more. */
    void forgetJobs() {
        reservation.clear();
        images.invalidateFetching();
        placedWork.forgetAttempts();
        failuresByJob.clear();
    }

    /** What is placed here, with the resources that it uses. */
    PlacedWork placedWork() {
        return placedWork;
    }

    /** Counts a task that is about to be placed here (1), or is not after all (-1). */
    public void countTentatively(JobSpec spec, int sign) {
        placedWork.countTentatively(spec, sign);
    }

    /** Attempts not proven over. */
    public List<Attempt> attempts() {
        return placedWork.attempts();
    }

    /** Whether its agent still has ended attempts that the store does not know. */
    public boolean hasUnwrittenEnds() {
        return !placedWork.unwrittenEnds().isEmpty();
    }

    /** Whether anything is on it, or may be. */
    public boolean isBusy() {
        return placedWork.isBusy();
    }

    /** Since when it has had nothing to do; meaningful only while it is not busy. */
    public double idleSince() {
        return idleSince;
    }

    void setIdleSince(double since) {
        idleSince = since;
    }

    /** CPUs of the attempts that are not proven over. */
    public double usedCpus() {
        return placedWork.usedCpus();
    }

    /** Of the used CPUs, those of work that may not use spot instances. */
    public double nonSpotCpus() {
        return placedWork.nonSpotCpus();
    }

    /** GPUs of the attempts that are not proven over. */
    public double usedGpus() {
        return placedWork.usedGpus();
    }

    /** Memory of the attempts that are not proven over, in GB. */
    public double usedMemory() {
        return placedWork.usedMemory();
    }

    /**
     * CPUs by which the machine counts as in use: on an on-demand machine only work that may not
     * use spot instances. Guards against work that could run cheaper elsewhere keeping on-demand
     * machines rented, each with a little of the rest.
     */
    public double cpusJustifyingRental() {
        return spot ? usedCpus() : nonSpotCpus();
    }

    /** Starts that no report has shown. */
    public int unconfirmedStarts() {
        return placedWork.unconfirmedStarts();
    }
}
