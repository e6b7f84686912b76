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
 * A rented machine as known to the shard's leader from the cloud's list, its agent's heartbeats and
 * the jobs' records. Its concerns are separated: liveness is in {@link HeartbeatHistory}, what the
 * cloud says in {@link MachineRental}, the attempts placed on it in {@link PlacedWork}, its images
 * in {@link MachineImages}, and the reservation of its capacity in {@link CapacityReservation}.
 * Times are seconds on the steady clock. Not thread-safe; belongs to the shard's thread.
 */
public final class Machine {
    private static final Logger LOG = LoggerFactory.getLogger(Machine.class);

    /**
     * Tolerance for rounding errors in sums of CPUs, GPUs and memory after many additions and
     * subtractions.
     */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** The cloud's status of a machine that stopped on its own. */
    private static final String FAILED_STATUS = "failed";

    /** The cloud's name of the machine. */
    public final String id;

    private final MachineRental rental;
    private final HeartbeatHistory heartbeats = new HeartbeatHistory();
    private final PlacedWork placedWork = new PlacedWork();
    private final MachineImages images = new MachineImages(placedWork.attempts());
    private final CapacityReservation reservation = new CapacityReservation();

    private String type;

    /** The machine type with that name; null until it is looked up. */
    private MachineType cachedType;

    private String zone;
    private String address = "";
    private boolean spot;

    private boolean releasing;
    private boolean gone;
    private boolean quarantined;
    private boolean draining;

    /** Number of failed starts by job since a task last succeeded on this machine. */
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

    /**
     * The name of its type; null until a list of the cloud, a rental or a heartbeat has given it.
     */
    public String type() {
        return type;
    }

    /**
     * Returns its type as currently offered by the cloud; null if that is not known. The type is
     * cached because it is requested of every machine for every job.
     *
     * @param types the shard's machine types by name
     */
    public MachineType resolveType(Map<String, MachineType> types) {
        if (cachedType == null && type != null) {
            cachedType = types.get(type);
        }
        return cachedType;
    }

    /** Discards the cached type after the machine types on offer have changed. */
    void clearCachedType() {
        cachedType = null;
    }

    /** Its zone; null until its type is known. */
    public String zone() {
        return zone;
    }

    /** Whether it is a spot instance. */
    public boolean isSpot() {
        return spot;
    }

    /**
     * Type, zone and whether it is a spot instance, which determine its price and its boot time.
     */
    public MachineKind kind() {
        return new MachineKind(type, zone, spot);
    }

    /** The address at which its agent accepts direct commands; empty until the first heartbeat. */
    public String address() {
        return address;
    }

    private void setKind(String newType, String newZone, boolean isSpot) {
        if (!Objects.equals(type, newType)) {
            type = newType;
            clearCachedType();
        }
        zone = newZone;
        spot = isSpot;
    }

    /** Whether one more task of the job fits beside the attempts placed here. */
    public boolean fits(JobSpec spec, MachineType type) {
        return usedCpus() + spec.cpusPerTask() <= type.cpus() + ROUNDING_TOLERANCE
                && usedGpus() + spec.gpusPerTask() <= type.gpus() + ROUNDING_TOLERANCE
                && usedMemoryGigabytes() + spec.memoryGigabytesPerTask()
                        <= type.memoryGigabytes() + ROUNDING_TOLERANCE;
    }

    // ---- rental state -------------------------------------------------------------------------

    /** Applies an entry of the cloud's list of machines. */
    void applyCloudEntry(Cloud.ListedMachine entry) {
        rental.markListed();
        setKind(entry.machineType(), entry.zone(), entry.spot());
        if (entry.status().equals(FAILED_STATUS)) {
            releasing = true;
        }
    }

    /**
     * Records the rental of this machine, whose boot began at {@code since}. A machine that has
     * already sent a heartbeat keeps the time since which it is known.
     */
    void recordRental(MachineKind kind, double since) {
        if (!hasReported()) {
            rental.recordBootStart(since);
        }
        setKind(kind.machineType(), kind.zone(), kind.spot());
    }

    /** The rental state, as known from the rental and the cloud. */
    MachineRental rental() {
        return rental;
    }

    /** Whether a list of the cloud has contained it. */
    public boolean isListed() {
        return rental.isListed();
    }

    /** Whether the cloud has announced that it will interrupt the machine. */
    public boolean hasInterruptionNotice() {
        return rental.hasInterruptionNotice();
    }

    // ---- liveness -----------------------------------------------------------------------------

    /**
     * Records what a heartbeat says about the machine itself; {@link HeartbeatProcessor} processes
     * its tasks.
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
                    "interruption notice received: machine={} interruptionInSeconds={}",
                    id,
                    heartbeat.noticeSeconds());
        }
        rental.setInterruption(now + heartbeat.noticeSeconds());
    }

    /** Whether the heartbeat is newer than all that were processed for this machine. */
    boolean isNewer(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(heartbeats.agentIncarnation(), heartbeats.lastSequence());
    }

    /** The liveness derived from its heartbeats. */
    HeartbeatHistory heartbeats() {
        return heartbeats;
    }

    /** Whether any heartbeat of it has arrived. */
    public boolean hasReported() {
        return heartbeats.hasReported();
    }

    /**
     * When its last heartbeat arrived, in seconds on the steady clock; NaN until the first
     * heartbeat.
     */
    public double lastHeartbeatAt() {
        return heartbeats.lastHeartbeatAt();
    }

    /**
     * The agent's incarnation: the agent begins a new one when its lease has expired or it has
     * restarted.
     */
    public long agentIncarnation() {
        return heartbeats.agentIncarnation();
    }

    /**
     * Whether a heartbeat with the leader's own fencing token has arrived, so that nothing sent by
     * an earlier leader can start here any more.
     */
    public boolean isTokenConfirmed() {
        return heartbeats.isTokenConfirmed();
    }

    /** Whether its heartbeats arrive, but responses do not reach it. */
    public boolean isMissingResponses() {
        return heartbeats.isMissingResponses();
    }

    /** Seconds since responses are known not to arrive; 0 while they are considered to arrive. */
    public double missingResponsesSeconds(double now) {
        return heartbeats.missingResponsesSeconds(now);
    }

    // ---- decisions of the leader --------------------------------------------------------------

    /** Whether new tasks may be placed here. */
    public boolean isSchedulable() {
        return isTokenConfirmed()
                && !isMissingResponses()
                && !releasing
                && !gone
                && !quarantined
                && !hasInterruptionNotice()
                && placedWork.unknownTasks() == 0;
    }

    /** Marks the machine for release: from now on it accepts no work. */
    public void release() {
        releasing = true;
    }

    /** Whether it is marked for release. */
    public boolean isReleasing() {
        return releasing;
    }

    /** Marks the machine as no longer existing: released, interrupted, or unknown to the cloud. */
    void markGone() {
        gone = true;
    }

    /** Whether it is known to no longer exist. */
    public boolean isGone() {
        return gone;
    }

    void setQuarantined(boolean isQuarantined) {
        quarantined = isQuarantined;
    }

    /**
     * Whether it accepts no work because tasks fail on it while the same work runs on other
     * machines.
     */
    public boolean isQuarantined() {
        return quarantined;
    }

    /**
     * Number of failed starts by job since a task last succeeded here; maintained by {@link
     * FailureDiagnosis}.
     */
    Map<Job, Integer> failuresByJob() {
        return failuresByJob;
    }

    /**
     * Sets whether the machine is draining: it is released once empty, and accepts no work that a
     * cheaper machine could run.
     */
    public void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /** Whether it is to be released once empty. */
    public boolean isDraining() {
        return draining;
    }

    /** Records that it currently has work that could not run on a cheaper machine. */
    public void markNeeded(double now) {
        lastNeededAt = now;
    }

    /** When it last had work that could not have run on a spot instance. */
    public double lastNeededAt() {
        return lastNeededAt;
    }

    /** Sets whether direct commands to it are in flight, that is, not yet answered. */
    public void setCommandInFlight(boolean isInFlight) {
        commandInFlight = isInFlight;
    }

    boolean isCommandInFlight() {
        return commandInFlight;
    }

    // ---- reservations -------------------------------------------------------------------------

    /**
     * Reserves the capacity of the machine for the job while other work is being stopped for it.
     *
     * @param until when the reservation ends
     */
    public void reserve(Job job, double until) {
        reservation.reserve(job, until);
    }

    /**
     * Reserves the capacity of the machine for the job from the time at which other work will have
     * ended; see {@link #isBackfillAllowed()}.
     */
    public void reserveAllowingBackfill(Job job, double from) {
        reservation.reserveAllowingBackfill(job, from);
    }

    /** The job for which the capacity is reserved; null if there is none. */
    public Job reservedFor() {
        return reservation.reservedFor();
    }

    /** Whether work that the job of the reservation could preempt may run here in the meantime. */
    public boolean isBackfillAllowed() {
        return reservation.isBackfillAllowed();
    }

    /** Whether, by its estimate, the job would end before the reservation starts. */
    public boolean mayBackfill(Job job, double now) {
        return reservation.mayBackfill(job, now);
    }

    /**
     * Ends reservations that have expired or must be decided again, at the start of a scheduling
     * round.
     */
    public void refreshReservation(double now) {
        reservation.refresh(now);
    }

    // ---- images -------------------------------------------------------------------------------

    /** Whether the image is probably in its cache. */
    public boolean hasImage(String image) {
        return images.has(image);
    }

    /** Whether it is probably fetching that image, for an attempt that was placed here. */
    public boolean isFetching(String image) {
        return images.isFetching(image);
    }

    /** Whether it is probably fetching any image. */
    public boolean isFetching() {
        return images.isFetchingAny();
    }

    /**
     * Discards the derived set of images being fetched, after an attempt here has changed its
     * state.
     */
    void invalidateFetchingImages() {
        images.invalidateFetching();
    }

    /**
     * Adds an image that an earlier leader recorded for this machine; does not replace an observed
     * one.
     */
    public void restoreImage(String image, double sizeGigabytes) {
        images.restore(image, sizeGigabytes);
    }

    /** The images that it probably has, with their sizes in GB, the least recently used first. */
    public Map<String, Double> images() {
        return images.cachedGigabytes();
    }

    /**
     * Records that a task with this image runs here; the machine caches the most recently used
     * images.
     */
    void recordImageUse(String image, double sizeGigabytes, double cacheGigabytes) {
        images.recordUse(image, sizeGigabytes, cacheGigabytes);
    }

    // ---- placed work --------------------------------------------------------------------------

    void addAttempt(Attempt attempt) {
        placedWork.addAttempt(attempt);
        images.invalidateFetching();
    }

    void removeAttempt(Attempt attempt) {
        if (placedWork.removeAttempt(attempt)) {
            images.invalidateFetching();
        }
    }

    /** Clears all references to job objects before the jobs are loaded again. */
    void clearJobReferences() {
        reservation.clear();
        images.invalidateFetching();
        placedWork.clearAttempts();
        failuresByJob.clear();
    }

    /** The attempts placed here, with the resources that they use. */
    PlacedWork placedWork() {
        return placedWork;
    }

    /** Counts a task that is about to be placed here (1), or that is not placed after all (-1). */
    public void countTentatively(JobSpec spec, int sign) {
        placedWork.countTentatively(spec, sign);
    }

    /** Attempts that are not confirmed ended. */
    public List<Attempt> attempts() {
        return placedWork.attempts();
    }

    /** Whether its agent still holds ended attempts whose end is not committed to the store. */
    public boolean hasUncommittedEnds() {
        return !placedWork.uncommittedEnds().isEmpty();
    }

    /** Whether any task is, or may be, on it. */
    public boolean isBusy() {
        return placedWork.isBusy();
    }

    /** Since when it has been idle; meaningful only while it is not busy. */
    public double idleSince() {
        return idleSince;
    }

    void setIdleSince(double since) {
        idleSince = since;
    }

    /** CPUs of the attempts that are not confirmed ended. */
    public double usedCpus() {
        return placedWork.usedCpus();
    }

    /** The part of the used CPUs that belongs to work that may not use spot instances. */
    public double nonSpotCpus() {
        return placedWork.nonSpotCpus();
    }

    /** GPUs of the attempts that are not confirmed ended. */
    public double usedGpus() {
        return placedWork.usedGpus();
    }

    /** Memory of the attempts that are not confirmed ended, in GB. */
    public double usedMemoryGigabytes() {
        return placedWork.usedMemoryGigabytes();
    }

    /**
     * CPUs by which the machine counts as in use: on an on-demand machine, only those of work that
     * may not use spot instances. Guards against on-demand machines that stay rented, each with a
     * little of the other work, although that work could run cheaper elsewhere.
     */
    public double cpusJustifyingRental() {
        return spot ? usedCpus() : nonSpotCpus();
    }

    /** Number of placed attempts that no heartbeat has listed yet. */
    public int unconfirmedStarts() {
        return placedWork.unconfirmedStarts();
    }
}
