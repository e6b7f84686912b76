package io.kitepath.simulation;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.service.JobSubmissionService;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The protocol's rules, watched by what is on machines and by what users hear; what breaks goes to
 * the world's list.
 */
public final class InvariantChecker {
    /**
     * Once all troubles are over: how long no question about a job may get an answer, and how long
     * it may wait beside room.
     */
    public static final double FORGOTTEN_AFTER_SECONDS = 75;

    private static final double STARVED_AFTER_SECONDS = 90;

    private final SimulatedCluster cluster;
    private final Map<String, Double> doneAt = new HashMap<>();
    private final Map<String, Double> acceptedAt = new HashMap<>();
    private final Set<String> cancellationRequestedFor = new HashSet<>();

    /** When a question about the job was last answered. */
    private final Map<String, Double> answeredAt = new HashMap<>();

    /** Since when it waits beside room. */
    private final Map<String, Double> waitingBesideCapacitySince = new HashMap<>();

    private final Set<String> reportedViolations = new HashSet<>();
    private double troublesOverAt = Double.NaN;
    private int pollCount;

    /**
     * Starts of jobs that a user was told are cancelled, and the longest that one came after that.
     */
    private int startsAfterCancellation;

    private double latestStartAfterCancellationSeconds;

    /** Tasks of cancelled jobs that were on a machine which hung when they had to be gone. */
    private int cancelledTasksOnHungMachines;

    private int answersChecked;

    InvariantChecker(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** How many tasks started after their user had been told that the job is cancelled. */
    public int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    /** How long after that the latest of them started, in seconds; 0 if none did. */
    public double latestStartAfterCancellationSeconds() {
        return latestStartAfterCancellationSeconds;
    }

    /** How many tasks of cancelled jobs were on machines that hang, when they had to be gone. */
    public int cancelledTasksOnHungMachines() {
        return cancelledTasksOnHungMachines;
    }

    /** Answers to users that were held against the rules. */
    public int answersChecked() {
        return answersChecked;
    }

    private void violation(String what) {
        cluster.violations.add(what);
    }

    private void violationOnce(String what) {
        if (reportedViolations.add(what)) {
            violation(what);
        }
    }

    // ---- what users hear ------------------------------------------------------------------------

    /** A user asks for the job's end; to be said by whoever does so without the world. */
    public void cancellationRequested(String id) {
        cancellationRequestedFor.add(id);
    }

    /**
     * It was accepted as far as the world saw; by a user's word, not to be told of to others
     * before.
     */
    public void accepted(String id) {
        acceptedAt.putIfAbsent(id, cluster.clock.now);
        cluster.acceptedAt.putIfAbsent(id, cluster.clock.now);
    }

    /**
     * Checks an answer to a user outside the simulation, against all answers that users received
     * strictly before that moment.
     */
    public void checkAnswerToUser(
            String id, JobSubmissionService.JobResponse response, double askedAtSeconds) {
        checkAnswer(id, response, Math.nextDown(askedAtSeconds));
    }

    /**
     * What a user is told, against the rules about what users are told. An answer is an old one if
     * another was given before it was asked for; of two questions at the same time either may be
     * answered first.
     */
    JobSubmissionService.JobResponse checkAnswer(
            String id, JobSubmissionService.JobResponse response, double asked) {
        if (response == null) {
            return null;
        }
        answersChecked++;
        if (response.verdict() != JobSubmissionService.Verdict.KNOWN
                && response.verdict() != JobSubmissionService.Verdict.CREATED) {
            if (response.verdict() != JobSubmissionService.Verdict.LATER
                    && acceptedAt.getOrDefault(id, 1e18) < asked) {
                violation("forgotten: " + id + " gets " + response.verdict());
            }
            return response;
        }
        answeredAt.put(id, cluster.clock.now);
        if (cluster.specs.get(id) == null && !cluster.store.hasEverHeld(id)) {
            violation("invented: " + id);
        }
        acceptedAt.putIfAbsent(id, cluster.clock.now);
        String status = response.jobStatus().status();
        if (doneAt.getOrDefault(id, 1e18) <= asked && !status.equals("done")
                || cluster.reportedCancelledAt.getOrDefault(id, 1e18) <= asked
                        && !status.equals("cancelled")) {
            violation("went back: " + id + " is called " + status);
        }
        if (status.equals("done")) {
            JobSpec spec = cluster.specs.get(id);
            int ended = cluster.completedTasks.getOrDefault(id, Set.of()).size();
            if (spec != null && (spec.isGang() ? ended == 0 : ended < spec.taskCount())) {
                violation(
                        "not done: "
                                + id
                                + " is called done after "
                                + ended
                                + " of "
                                + spec.taskCount());
            }
            cluster.reportedDone.add(id);
            doneAt.putIfAbsent(id, cluster.clock.now);
        } else if (status.equals("cancelled")) {
            if (!cancellationRequestedFor.contains(id)
                    && transitiveDependencies(id).stream()
                            .noneMatch(cancellationRequestedFor::contains)) {
                violationOnce("went back: " + id + " is called cancelled and nobody asked for it");
            }
            if (cluster.reportedCancelledAt.putIfAbsent(id, cluster.clock.now) == null) {
                // A moment more than the rule's, for what is due in the same moment.
                cluster.after(cluster.cancelSeconds + 0.01, () -> checkCancelledTasksEnded(id));
            }
        } else if (transitiveDependencies(id).stream()
                .anyMatch(
                        n ->
                                cluster.clock.now
                                        > Math.max(
                                                        cluster.acceptedAt.getOrDefault(id, 0.0),
                                                        cluster.reportedCancelledAt.getOrDefault(
                                                                n, 1e18))
                                                + cluster.cancelSeconds)) {
            violation("orphaned: " + id + " is called " + status);
        }
        return response;
    }

    // ---- cancelled tasks ------------------------------------------------------------------------

    private void checkCancelledTasksEnded(String id) {
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.tasks.values().stream()
                    .filter(task -> task.jobId.equals(id) && task.isOnMachine())
                    .forEach(
                            task -> {
                                if (worker.isHanging()) {
                                    // It does nothing while it hangs; it must not go on with it.
                                    cancelledTasksOnHungMachines++;
                                    worker.onResume(
                                            () ->
                                                    cluster.after(
                                                            0.01,
                                                            () -> checkCancelledTasksEnded(id)));
                                } else {
                                    violationOnce(
                                            "ran cancelled: "
                                                    + task.key()
                                                    + " is still on "
                                                    + worker.id);
                                }
                            });
        }
    }

    /** All jobs that have to be done before that one, directly or through others. */
    private Set<String> transitiveDependencies(String id) {
        Set<String> all = new HashSet<>();
        List<String> next = new ArrayList<>(cluster.dependencies.getOrDefault(id, List.of()));
        while (!next.isEmpty()) {
            String n = next.remove(next.size() - 1);
            if (all.add(n)) {
                next.addAll(cluster.dependencies.getOrDefault(n, List.of()));
            }
        }
        return all;
    }

    // ---- starts ---------------------------------------------------------------------------------

    /** A task starts, and is on its machine already. */
    void checkStart(SimulatedTask task) {
        String id = task.jobId;
        waitingBesideCapacitySince.remove(id);
        double after =
                cluster.clock.now
                        - cluster.reportedCancelledAt.getOrDefault(id, Double.POSITIVE_INFINITY);
        if (after > cluster.cancelSeconds) {
            violation("ran cancelled: " + id + " starts");
        }
        if (after > 0) {
            startsAfterCancellation++;
            latestStartAfterCancellationSeconds =
                    Math.max(latestStartAfterCancellationSeconds, after);
        }
        for (String n : transitiveDependencies(id)) {
            JobSpec spec = cluster.specs.get(n);
            int done = cluster.completedTasks.getOrDefault(n, Set.of()).size();
            // The tasks of a gang complete together.
            if (spec == null || (spec.isGang() ? done == 0 : done < spec.taskCount())) {
                violation("too early: " + id + " starts before " + n + " is done");
            }
        }
        JobSpec spec = cluster.specs.get(id);
        if (spec != null) {
            checkPlacement(task, spec);
            checkQuota(spec.team());
        }
    }

    private void checkPlacement(SimulatedTask t, JobSpec spec) {
        SimulatedWorker x = t.worker;
        if (spec.machineTypes() != null && !spec.machineTypes().contains(cluster.type.name())
                || spec.zone() != null && !spec.zone().equals(x.zone)
                || x.spot && !spec.allowsSpot()) {
            violation("wrong place: " + t.key() + " on " + x.id);
        }
        if (!spec.isSingleZone() && !spec.isSpreadAcrossZones()) {
            return;
        }
        int here = 0;
        for (SimulatedWorker y : cluster.workers.values()) {
            long on =
                    y.tasks.values().stream()
                            .filter(o -> o.jobId.equals(t.jobId) && o.isOnMachine())
                            .count();
            here += y.zone.equals(x.zone) ? on : 0;
            if (spec.isSingleZone() && on > 0 && !y.zone.equals(x.zone)) {
                violation(
                        "wrong place: " + t.key() + " in " + x.zone + " beside tasks in " + y.zone);
            }
        }
        if (spec.isSpreadAcrossZones() && here > spec.maxTasksPerZone()) {
            violation("wrong place: " + here + " tasks of " + t.jobId + " in " + x.zone);
        }
    }

    /**
     * CPUs and GPUs of the team's tasks that are on machines, also on such that nobody can reach.
     */
    public double[] usageOnMachines(String team) {
        double[] used = new double[2];
        for (SimulatedWorker worker : cluster.workers.values()) {
            for (SimulatedTask task : worker.tasks.values()) {
                JobSpec spec = cluster.specs.get(task.jobId);
                if (spec != null && spec.team().equals(team) && task.isOnMachine()) {
                    used[0] += spec.cpusPerTask();
                    used[1] += spec.gpusPerTask();
                }
            }
        }
        return used;
    }

    private void checkQuota(String team) {
        ClusterSettings.Team limit = cluster.teams.get(team);
        if (limit == null || limit.maxCpus() <= 0 && limit.maxGpus() <= 0) {
            return;
        }
        double[] used = usageOnMachines(team);
        if (limit.maxCpus() > 0 && used[0] > limit.maxCpus() + 1e-6
                || limit.maxGpus() > 0 && used[1] > limit.maxGpus() + 1e-6) {
            violation(
                    "quota: team "
                            + team
                            + " has "
                            + used[0]
                            + " CPUs, "
                            + used[1]
                            + " GPUs on machines");
        }
    }

    // ---- once all troubles are over -------------------------------------------------------------

    /**
     * All troubles are over: users poll, and nothing may be forgotten or left waiting from now on.
     */
    public void troublesAreOver() {
        boolean first = Double.isNaN(troublesOverAt);
        troublesOverAt = cluster.clock.now;
        answeredAt.clear();
        waitingBesideCapacitySince.clear();
        if (first) {
            pollAccepted();
        }
    }

    private boolean isUnfinished(String id) {
        return !cluster.reportedCancelledAt.containsKey(id) && !doneAt.containsKey(id);
    }

    private void pollAccepted() {
        int tick = pollCount++;
        for (String id : cluster.acceptedAt.keySet().stream().sorted().toList()) {
            if (tick % 5 == 0) {
                List<SimulatedNode> up =
                        cluster.nodes.values().stream().filter(node -> node.alive).toList();
                if (!up.isEmpty()) {
                    cluster.loadGenerator.queryStatus(
                            up.get(Math.floorMod(id.hashCode() + tick / 5, up.size())), id);
                }
            }
            double now = cluster.clock.now;
            if (now - Math.max(troublesOverAt, answeredAt.getOrDefault(id, 0.0))
                    > FORGOTTEN_AFTER_SECONDS) {
                violationOnce("forgotten: no question about " + id + " is answered");
            }
            if (!isUnfinished(id) || !waitsBesideFreeCapacity(id)) {
                waitingBesideCapacitySince.remove(id);
            } else if (now - waitingBesideCapacitySince.computeIfAbsent(id, key -> now)
                    > STARVED_AFTER_SECONDS) {
                violationOnce("left waiting: " + id);
            }
        }
        cluster.after(1, this::pollAccepted);
    }

    /**
     * Whether tasks of it are neither done nor on machines, and could be: there is room, and its
     * team is under its limit.
     */
    private boolean waitsBesideFreeCapacity(String id) {
        JobSpec spec = cluster.specs.get(id);
        if (spec == null
                || cancellationRequestedFor.contains(id)
                || !transitiveDependencies(id).stream().allMatch(doneAt::containsKey)) {
            return false;
        }
        long on =
                cluster.workers.values().stream()
                        .flatMap(worker -> worker.tasks.values().stream())
                        .filter(task -> task.jobId.equals(id) && task.isOnMachine())
                        .map(task -> task.number)
                        .distinct()
                        .count();
        long missing =
                spec.taskCount() - cluster.completedTasks.getOrDefault(id, Set.of()).size() - on;
        if (missing <= 0
                || spec.isGang() && on > 0
                || spec.isGang() && cluster.completedTasks.containsKey(id)) {
            return false;
        }
        long atOnce = spec.isGang() ? missing : 1;
        ClusterSettings.Team limit = cluster.teams.get(spec.team());
        double[] used = usageOnMachines(spec.team());
        if (limit == null
                || limit.maxCpus() > 0
                        && used[0] + atOnce * spec.cpusPerTask() > limit.maxCpus() + 1e-6
                || limit.maxGpus() > 0
                        && used[1] + atOnce * spec.gpusPerTask() > limit.maxGpus() + 1e-6) {
            return false;
        }
        Map<String, Long> rooms = new HashMap<>();
        cluster.workers.values().stream()
                .filter(
                        worker ->
                                worker.up
                                        && !worker.isCutOff
                                        && !worker.receivesNothing
                                        && !worker.sendsNothing
                                        && !worker.isHanging())
                .filter(
                        worker ->
                                (spec.zone() == null || spec.zone().equals(worker.zone))
                                        && (!worker.spot || spec.allowsSpot())
                                        && zoneConstraintAllows(spec, worker.zone))
                .forEach(
                        worker ->
                                rooms.merge(
                                        spec.isSingleZone() ? worker.zone : "",
                                        freeSlots(worker, spec),
                                        Long::sum));
        return rooms.values().stream().anyMatch(r -> r >= atOnce);
    }

    /** Whether the job's other tasks, where they are now, let one more of it start in that zone. */
    private boolean zoneConstraintAllows(JobSpec spec, String zone) {
        List<SimulatedTask> on =
                cluster.workers.values().stream()
                        .flatMap(worker -> worker.tasks.values().stream())
                        .filter(task -> task.jobId.equals(spec.id()) && task.isOnMachine())
                        .toList();
        long here = on.stream().filter(task -> task.worker.zone.equals(zone)).count();
        return (!spec.isSingleZone() || here == on.size()) && here < spec.maxTasksPerZone();
    }

    private long freeSlots(SimulatedWorker worker, JobSpec s) {
        double cpus = cluster.type.cpus();
        double memory = cluster.type.memoryGigabytes();
        for (SimulatedTask task : worker.tasks.values()) {
            JobSpec o = cluster.specs.get(task.jobId);
            if (task.isOnMachine() && o != null) {
                cpus -= o.cpusPerTask();
                memory -= o.memoryGigabytesPerTask();
            }
        }
        return (long)
                Math.max(
                        0,
                        Math.min(
                                s.cpusPerTask() > 0 ? (cpus + 1e-9) / s.cpusPerTask() : 1e6,
                                s.memoryGigabytesPerTask() > 0
                                        ? (memory + 1e-9) / s.memoryGigabytesPerTask()
                                        : 1e6));
    }
}
