package io.kitepath.core.scheduling;

import io.kitepath.core.shard.Machine;

/**
 * A machine on which evicting other work could free capacity for a job.
 *
 * @param slotsNow how many of the job's tasks fit now
 * @param slotsAfterEviction how many of the job's tasks fit after all preemptible work is stopped
 * @param lostCpuSeconds CPU time that stopping this work and fetching the image would lose
 */
record EvictionCandidate(
        Machine machine, int slotsNow, int slotsAfterEviction, double lostCpuSeconds) {
    /** Returns a candidate that uses only {@code slots} slots of the same machine. */
    EvictionCandidate limitedTo(int slots) {
        return slots == slotsAfterEviction
                ? this
                : new EvictionCandidate(machine, Math.min(slots, slotsNow), slots, lostCpuSeconds);
    }
}
