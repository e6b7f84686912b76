package io.kitepath.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A rented machine as the holder knows it: from the cloud's list, its worker's reports and the jobs' records. */
final class Machine {
    final String id;
    String type;
    String zone;
    boolean spot;
    /** Times are seconds on the steady clock. */
    double knownSince;
    /** NaN until the first report. */
    double lastReport = Double.NaN;
    long session;
    long sequence;
    /** A report with our own token has come: nothing that an earlier holder sent can start here any more. */
    boolean proven;
    /** NaN, or when the cloud takes the machine away. */
    double takenAt = Double.NaN;
    boolean releasing;
    boolean gone;
    /** Set aside because what it starts fails while the same work runs elsewhere. */
    boolean setAside;
    int failuresInRow;
    final List<Attempt> attempts = new ArrayList<>();
    /** Tasks on the machine that belong to no job we know; until they are gone, the machine takes nothing. */
    int strangers;
    double idleSince;
    /** When it last had work that could not have run on a spot machine. */
    double neededAt;
    /** To be given back once empty: takes no work that a cheaper machine could do. */
    boolean draining;
    final Set<String> images = new HashSet<>();
    double usedCpus;
    double usedGpus;
    double usedMemory;
    int unconfirmed;
    Job reservedFor;
    /** Whether the last report ended something. */
    boolean endedLately;

    Machine(String id, double now) {
        this.id = id;
        this.knownSince = now;
        this.idleSince = now;
        this.neededAt = now;
    }

    boolean reported() {
        return !Double.isNaN(lastReport);
    }

    /** Whether new tasks may be placed here. */
    boolean open() {
        return proven && !releasing && !gone && !setAside && Double.isNaN(takenAt) && strangers == 0;
    }

    boolean fits(JobSpec s, MachineType t) {
        return usedCpus + s.cpus() <= t.cpus() + 1e-6 && usedGpus + s.gpus() <= t.gpus() + 1e-6
                && usedMemory + s.memoryGb() <= t.memoryGb() + 1e-6;
    }

    void recount() {
        usedCpus = 0;
        usedGpus = 0;
        usedMemory = 0;
        unconfirmed = 0;
        for (Attempt a : attempts) {
            if (!a.ended) {
                JobSpec s = a.job.spec;
                usedCpus += s.cpus();
                usedGpus += s.gpus();
                usedMemory += s.memoryGb();
                if (a.unconfirmed()) {
                    unconfirmed++;
                }
            }
        }
    }

    boolean busy() {
        return strangers > 0 || attempts.stream().anyMatch(a -> !a.ended);
    }
}
