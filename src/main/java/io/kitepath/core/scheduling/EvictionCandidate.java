package io.kitepath.core.scheduling;

import io.kitepath.core.shard.Machine;

/**
 * A machine on which a job could be given room by evicting other work.
 *
 * @param slotsNow how many of the job's tasks fit now
 * @param slotsAfterEviction how many fit once everything that gives way is stopped
 * @param lostCpuSeconds what stopping that and fetching the image would lose
 */
record EvictionCandidate(
        Machine machine, int slotsNow, int slotsAfterEviction, double lostCpuSeconds) {
    /** The same machine, used for only that many of the slots. */
    EvictionCandidate limitedTo(int slots) {
        return slots == slotsAfterEviction
                ? this
                : new EvictionCandidate(machine, Math.min(slots, slotsNow), slots, lostCpuSeconds);
    }
}
