package io.kitepath.core;

/**
 * One placing of one task on one machine. It stays unproven, and counts against every limit, until something
 * proves that it is over; the mere passing of time never does.
 */
final class Attempt {
    final Job job;
    final int task;
    final long number;
    final Machine machine;
    final double placedAt;
    /** The job's version when this was placed; a write that covers that version makes it durable. */
    final int placedVersion;
    boolean durable;
    /** Launched by us, or perhaps by a holder before us. */
    boolean launched;
    /** Whether a report of the current holder's time has shown it. */
    boolean seen;
    Report.State state;
    double runningSince = Double.NaN;
    boolean ended;
    int endedVersion;
    /** Wanted stopped; NaN while it is not. */
    double stopGraceS = Double.NaN;
    /** The reading of its machine's reports that showed it last. */
    int reading;

    Attempt(Job job, int task, long number, Machine machine, double now, int version) {
        this.job = job;
        this.task = task;
        this.number = number;
        this.machine = machine;
        this.placedAt = now;
        this.placedVersion = version;
    }

    boolean stopping() {
        return !Double.isNaN(stopGraceS);
    }

    /** It has to go, or goes already. */
    boolean unwanted() {
        return job.over || stopping();
    }

    boolean is(Report.TaskReport t) {
        return task == t.task() && number == t.attempt() && job.spec.id().equals(t.job());
    }

    @Override
    public String toString() {
        return job.spec.id() + "/" + task + "#" + number + "@" + machine.id;
    }
}
