package io.kitepath.core.cell;

import io.kitepath.core.cell.CellMembership.RemoteCell;
import io.kitepath.core.model.CellMessage.FreeCapacity;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Which waiting work goes to which other cell: the paper's Threshold one floor up. Work that would
 * miss what is expected of it at home probes up to {@link ProbePlacement#MAX_PROBES} random cells
 * that say they can take it, and goes once to the first with fewer than {@link
 * ProbePlacement#UNCONFIRMED_THRESHOLD} hand-overs unconfirmed for each of its zones; after misses
 * the summaries are scanned for the roomiest; failing that it stays. A function of what it is given
 * and of the random numbers: nothing is asked and nothing written here.
 */
final class WorkOffloading {
    /**
     * What one hand-over would be.
     *
     * @param endTask one after the last task
     * @param reason for the log
     */
    record Plan(Job job, String targetCell, int firstTask, int endTask, String reason) {}

    /**
     * Owners' estimates are often wrong by half: what would wait longer than the time it has, over
     * this, goes.
     */
    private static final double WAIT_ESTIMATE_MARGIN = 2;

    private final ClusterSettings settings;
    private final Map<String, MachineType> types;
    private final Map<String, Integer> zonesOf;
    private final Random random;
    private boolean draining;

    /** Cells that gave a job back, by job, and when that counts no more. */
    private final Map<String, Map<String, Double>> returnedAt = new HashMap<>();

    /** {@code zonesOf}: how many zones each other cell has. */
    WorkOffloading(
            ClusterSettings settings,
            Map<String, MachineType> types,
            Map<String, Integer> zonesOf,
            Random random) {
        this.settings = settings;
        this.types = types;
        this.zonesOf = zonesOf;
        this.random = random;
    }

    void setDraining(boolean so) {
        draining = so;
    }

    /**
     * Guards against work that bounces: a cell that gave it back is not asked again until that has
     * news.
     */
    void onReturned(String jobId, String cell, double now) {
        returnedAt
                .computeIfAbsent(jobId, key -> new HashMap<>())
                .put(cell, now + 2 * settings.workers().leaseSeconds());
    }

    void forget(Collection<String> known) {
        returnedAt.keySet().retainAll(known);
    }

    /**
     * @param order unfinished jobs in the order of service
     * @param fitsHere whether a machine of this cell's own zones may ever run the job
     * @param allowed how many more such tasks the team's limit allows here
     * @param most hand-overs at most
     */
    List<Plan> plan(
            List<Job> order,
            Predicate<JobSpec> fitsHere,
            ToIntFunction<JobSpec> allowed,
            double hereCpus,
            Collection<RemoteCell> cells,
            int most,
            double now,
            double wallMs) {
        List<Plan> out = new ArrayList<>();
        double ahead = 0;
        for (Job job : order) {
            if (out.size() >= most) {
                break;
            }
            double work = LocalSummary.workSeconds(job);
            double waitS = (ahead + work) / Math.max(1, hereCpus);
            ahead += work;
            String why = reasonToOffload(job, fitsHere.test(job.spec), hereCpus, waitS, wallMs);
            // What waits for its team's limit waits for it everywhere: the limit's shares move to
            // where room is.
            if (why == null || allowed.applyAsInt(job.spec) < smallestUnit(job)) {
                continue;
            }
            RemoteCell remote = chooseCell(job, cells, waitS, now);
            if (remote != null) {
                Plan p = planTasks(job, remote, why);
                if (p != null) {
                    remote.reserveOffered((p.endTask - p.firstTask) * job.spec.cpusPerTask());
                    out.add(p);
                }
            }
        }
        return out;
    }

    /** Null if the job stays. */
    private String reasonToOffload(
            Job job, boolean fits, double cpus, double waitS, double wallMs) {
        JobSpec spec = job.spec;
        boolean whole =
                spec.shape() != JobSpec.Shape.ARRAY
                        || spec.isSingleZone()
                        || spec.isSpreadAcrossZones();
        if (job.borrowed
                || job.isFinished()
                || job.isCancelRequested()
                || job.waitingTasks() == 0
                || whole
                        && (!job.liveAttempts().isEmpty()
                                || job.doneTaskCount() > 0
                                || !job.loans().isEmpty())) {
            return null;
        }
        double ageS = (wallMs - job.submittedMillis) / 1000;
        if (!fits) {
            return "no machine of this cell may run it";
        }
        if (draining) {
            return "this cell is drained";
        }
        // What has only just come may still find room in one of the next rounds.
        if (ageS < 2 * settings.workers().heartbeatIntervalSeconds()
                || cpus > 0 && waitS < 2 * settings.workers().heartbeatIntervalSeconds()) {
            return null;
        }
        for (int goal = 0; goal < job.startGoalCount(); goal++) {
            double left = (job.startGoalMillis(goal) - wallMs) / 1000;
            if (left > 0) {
                return waitS * WAIT_ESTIMATE_MARGIN > left
                        ? String.format("would wait %.0f s here of %.0f", waitS, left)
                        : null;
            }
        }
        return String.format("past its goals, and would wait %.0f s here", waitS);
    }

    private RemoteCell chooseCell(Job job, Collection<RemoteCell> cells, double waitS, double now) {
        List<RemoteCell> able = new ArrayList<>();
        Map<String, Double> not = returnedAt.getOrDefault(job.spec.id(), Map.of());
        for (RemoteCell remote : cells) {
            // One loan of a job to each cell at a time: its records there are by the job's parts.
            if (remote.acceptsWork(now)
                    && not.getOrDefault(remote.name, 0.0) <= now
                    && slots(job.spec, remote) >= smallestUnit(job)
                    && job.loans().stream().noneMatch(loan -> loan.borrowerCell.equals(remote.name))
                    && remote.summary().queueSecondsByRank().get(job.queueRank()) < waitS / 2) {
                able.add(remote);
            }
        }
        for (int i = 0; i < ProbePlacement.MAX_PROBES && i < able.size(); i++) {
            int k = i + random.nextInt(able.size() - i);
            RemoteCell remote = able.get(k);
            able.set(k, able.get(i));
            able.set(i, remote);
            if (remote.unconfirmed < ProbePlacement.UNCONFIRMED_THRESHOLD) {
                return remote;
            }
        }
        RemoteCell best = null;
        for (RemoteCell remote : able) {
            if (remote.unconfirmed
                            < ProbePlacement.UNCONFIRMED_THRESHOLD
                                    * zonesOf.getOrDefault(remote.name, 1)
                    && (best == null || slots(job.spec, remote) > slots(job.spec, best))) {
                best = remote;
            }
        }
        return best;
    }

    /**
     * The least that is worth handing over: all of what has to be together, else a part of an
     * array.
     */
    private static int smallestUnit(Job job) {
        JobSpec spec = job.spec;
        return spec.shape() != JobSpec.Shape.ARRAY
                        || spec.isSingleZone()
                        || spec.isSpreadAcrossZones()
                ? spec.taskCount()
                : 1;
    }

    /** How many such tasks the cell has room for by its word, less what was handed to it since. */
    int slots(JobSpec spec, RemoteCell remote) {
        Map<String, Integer> byZone = new HashMap<>();
        int all = 0;
        for (FreeCapacity capacity : remote.summary().freeCapacity()) {
            MachineType type = types.get(capacity.kind().machineType());
            if (type == null || !ProbePlacement.isAllowed(capacity.kind(), spec)) {
                continue;
            }
            int each = ProbePlacement.slots(spec, type);
            // Of machines in use nobody knows here how their gaps lie: they count for small tasks,
            // and half.
            boolean small = each >= 2;
            double rest =
                    small
                            ? (capacity.cpus() - capacity.idleMachines() * type.cpus())
                                    / Math.max(spec.cpusPerTask(), 1e-6)
                                    / 2
                            : 0;
            int fit =
                    (int)
                            Math.min(
                                    Integer.MAX_VALUE / 64,
                                    (long) capacity.idleMachines() * each + Math.max(0, rest));
            all += fit;
            byZone.merge(capacity.kind().zone(), fit, Integer::sum);
        }
        int taken =
                spec.cpusPerTask() > 0
                        ? (int) Math.ceil(remote.offeredCpus() / spec.cpusPerTask())
                        : 0;
        int room =
                spec.isSingleZone()
                        ? byZone.values().stream().mapToInt(x -> x).max().orElse(0)
                        : all;
        if (spec.isSpreadAcrossZones()) {
            int most = spec.maxTasksPerZone();
            room = byZone.values().stream().mapToInt(x -> Math.min(x, most)).sum();
        }
        return Math.max(0, room - taken);
    }

    /**
     * All of the job, or of an array the last tasks in a row that wait, as many as there is room
     * for.
     */
    private Plan planTasks(Job job, RemoteCell remote, String why) {
        // What is done of a loan is one field of one record.
        int longest = 16 * settings.tasksPerPart();
        if (smallestUnit(job) > longest) {
            return null;
        }
        if (smallestUnit(job) > 1 || job.spec.taskCount() == 1) {
            return new Plan(job, remote.name, 0, job.spec.taskCount(), why);
        }
        int until = job.spec.taskCount();
        while (until > 0 && !job.isPlaceable(until - 1)) {
            until--;
        }
        int from = until;
        int most = Math.min(longest, slots(job.spec, remote));
        while (from > 0 && until - from < most && job.isPlaceable(from - 1)) {
            from--;
        }
        return from < until ? new Plan(job, remote.name, from, until, why) : null;
    }
}
