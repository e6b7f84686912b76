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
    private static final double FORGOTTEN_S = 75;

    private static final double LEFT_WAITING_S = 90;

    private final SimulatedCluster cluster;
    private final Map<String, Double> doneAt = new HashMap<>();
    private final Map<String, Double> acceptedAt = new HashMap<>();
    private final Set<String> cancelAsked = new HashSet<>();

    /** When a question about the job was last answered. */
    private final Map<String, Double> answeredAt = new HashMap<>();

    /** Since when it waits beside room. */
    private final Map<String, Double> besideRoom = new HashMap<>();

    private final Set<String> said = new HashSet<>();
    private double calmAt = Double.NaN;
    private int asksAt;

    /**
     * Starts of jobs that a user was told are cancelled, and the longest that one came after that.
     */
    private int startsAfterCancellation;

    private double latestStartAfterS;

    /** Tasks of cancelled jobs that were on a machine which hung when they had to be gone. */
    private int hungWithCancelled;

    private int answers;

    InvariantChecker(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    public int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    public double latestStartAfterS() {
        return latestStartAfterS;
    }

    public int hungWithCancelled() {
        return hungWithCancelled;
    }

    /** Answers to users that were held against the rules. */
    public int answers() {
        return answers;
    }

    private void breaks(String what) {
        cluster.broken.add(what);
    }

    private void breaksOnce(String what) {
        if (said.add(what)) {
            breaks(what);
        }
    }

    // ---- what users hear ------------------------------------------------------------------------

    /** A user asks for the job's end; to be said by whoever does so without the world. */
    public void asksToCancel(String id) {
        cancelAsked.add(id);
    }

    /**
     * It was accepted as far as the world saw; by a user's word, not to be told of to others
     * before.
     */
    void accepted(String id) {
        acceptedAt.putIfAbsent(id, cluster.clock.now);
        cluster.accepted.putIfAbsent(id, cluster.clock.now);
    }

    /**
     * What a user is told, against the rules about what users are told. An answer is an old one if
     * another was given before it was asked for; of two questions at the same time either may be
     * answered first.
     */
    JobSubmissionService.Answer heard(String id, JobSubmissionService.Answer response, double asked) {
        if (response == null) {
            return null;
        }
        answers++;
        if (response.verdict() != JobSubmissionService.Verdict.KNOWN
                && response.verdict() != JobSubmissionService.Verdict.CREATED) {
            if (response.verdict() != JobSubmissionService.Verdict.LATER
                    && acceptedAt.getOrDefault(id, 1e18) < asked) {
                breaks("forgotten: " + id + " gets " + response.verdict());
            }
            return response;
        }
        answeredAt.put(id, cluster.clock.now);
        if (cluster.specs.get(id) == null && !cluster.store.everHad(id)) {
            breaks("invented: " + id);
        }
        acceptedAt.putIfAbsent(id, cluster.clock.now);
        String status = response.jobStatus().status();
        if (doneAt.getOrDefault(id, 1e18) <= asked && !status.equals("done")
                || cluster.toldCancelled.getOrDefault(id, 1e18) <= asked
                        && !status.equals("cancelled")) {
            breaks("went back: " + id + " is called " + status);
        }
        if (status.equals("done")) {
            JobSpec spec = cluster.specs.get(id);
            int ended = cluster.completed.getOrDefault(id, Set.of()).size();
            if (spec != null && (spec.isGang() ? ended == 0 : ended < spec.taskCount())) {
                breaks(
                        "not done: "
                                + id
                                + " is called done after "
                                + ended
                                + " of "
                                + spec.taskCount());
            }
            cluster.toldDone.add(id);
            doneAt.putIfAbsent(id, cluster.clock.now);
        } else if (status.equals("cancelled")) {
            if (!cancelAsked.contains(id) && before(id).stream().noneMatch(cancelAsked::contains)) {
                breaksOnce("went back: " + id + " is called cancelled and nobody asked for it");
            }
            if (cluster.toldCancelled.putIfAbsent(id, cluster.clock.now) == null) {
                // A moment more than the rule's, for what is due in the same moment.
                cluster.after(cluster.cancelS + 0.01, () -> hasGone(id));
            }
        } else if (before(id).stream()
                .anyMatch(
                        n ->
                                cluster.clock.now
                                        > Math.max(
                                                        cluster.accepted.getOrDefault(id, 0.0),
                                                        cluster.toldCancelled.getOrDefault(n, 1e18))
                                                + cluster.cancelS)) {
            breaks("orphaned: " + id + " is called " + status);
        }
        return response;
    }

    // ---- cancelled tasks ------------------------------------------------------------------------

    private void hasGone(String id) {
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.tasks.values().stream()
                    .filter(task -> task.jobId.equals(id) && task.on())
                    .forEach(
                            task -> {
                                if (worker.hangs()) {
                                    // It does nothing while it hangs; it must not go on with it.
                                    hungWithCancelled++;
                                    worker.goesOn(() -> cluster.after(0.01, () -> hasGone(id)));
                                } else {
                                    breaksOnce(
                                            "ran cancelled: "
                                                    + task.key()
                                                    + " is still on "
                                                    + worker.id);
                                }
                            });
        }
    }

    /** All jobs that have to be done before that one, directly or through others. */
    private Set<String> before(String id) {
        Set<String> all = new HashSet<>();
        List<String> next = new ArrayList<>(cluster.needs.getOrDefault(id, List.of()));
        while (!next.isEmpty()) {
            String n = next.remove(next.size() - 1);
            if (all.add(n)) {
                next.addAll(cluster.needs.getOrDefault(n, List.of()));
            }
        }
        return all;
    }

    // ---- starts ---------------------------------------------------------------------------------

    /** A task starts, and is on its machine already. */
    void starts(SimulatedTask task) {
        String id = task.jobId;
        besideRoom.remove(id);
        double after =
                cluster.clock.now
                        - cluster.toldCancelled.getOrDefault(id, Double.POSITIVE_INFINITY);
        if (after > cluster.cancelS) {
            breaks("ran cancelled: " + id + " starts");
        }
        if (after > 0) {
            startsAfterCancellation++;
            latestStartAfterS = Math.max(latestStartAfterS, after);
        }
        for (String n : before(id)) {
            JobSpec spec = cluster.specs.get(n);
            int done = cluster.completed.getOrDefault(n, Set.of()).size();
            // The tasks of a gang complete together.
            if (spec == null || (spec.isGang() ? done == 0 : done < spec.taskCount())) {
                breaks("too early: " + id + " starts before " + n + " is done");
            }
        }
        JobSpec spec = cluster.specs.get(id);
        if (spec != null) {
            place(task, spec);
            limit(spec.team());
        }
    }

    private void place(SimulatedTask t, JobSpec spec) {
        SimulatedWorker x = t.worker;
        if (spec.machineTypes() != null && !spec.machineTypes().contains(cluster.type.name())
                || spec.zone() != null && !spec.zone().equals(x.zone)
                || x.spot && !spec.allowsSpot()) {
            breaks("wrong place: " + t.key() + " on " + x.id);
        }
        if (!spec.isSingleZone() && !spec.isSpreadAcrossZones()) {
            return;
        }
        int here = 0;
        for (SimulatedWorker y : cluster.workers.values()) {
            long on = y.tasks.values().stream().filter(o -> o.jobId.equals(t.jobId) && o.on()).count();
            here += y.zone.equals(x.zone) ? on : 0;
            if (spec.isSingleZone() && on > 0 && !y.zone.equals(x.zone)) {
                breaks("wrong place: " + t.key() + " in " + x.zone + " beside tasks in " + y.zone);
            }
        }
        if (spec.isSpreadAcrossZones() && here > spec.maxTasksPerZone()) {
            breaks("wrong place: " + here + " tasks of " + t.jobId + " in " + x.zone);
        }
    }

    /**
     * CPUs and GPUs of the team's tasks that are on machines, also on such that nobody can reach.
     */
    public double[] onMachines(String team) {
        double[] used = new double[2];
        for (SimulatedWorker worker : cluster.workers.values()) {
            for (SimulatedTask task : worker.tasks.values()) {
                JobSpec spec = cluster.specs.get(task.jobId);
                if (spec != null && spec.team().equals(team) && task.on()) {
                    used[0] += spec.cpusPerTask();
                    used[1] += spec.gpusPerTask();
                }
            }
        }
        return used;
    }

    private void limit(String team) {
        ClusterSettings.Team limit = cluster.teams.get(team);
        if (limit == null || limit.maxCpus() <= 0 && limit.maxGpus() <= 0) {
            return;
        }
        double[] used = onMachines(team);
        if (limit.maxCpus() > 0 && used[0] > limit.maxCpus() + 1e-6
                || limit.maxGpus() > 0 && used[1] > limit.maxGpus() + 1e-6) {
            breaks(
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
    public void calm() {
        boolean first = Double.isNaN(calmAt);
        calmAt = cluster.clock.now;
        answeredAt.clear();
        besideRoom.clear();
        if (first) {
            look();
        }
    }

    private List<String> unfinished() {
        return cluster.accepted.keySet().stream()
                .filter(id -> !cluster.toldCancelled.containsKey(id) && !doneAt.containsKey(id))
                .sorted()
                .toList();
    }

    private void look() {
        int tick = asksAt++;
        for (String id : unfinished()) {
            if (tick % 5 == 0) {
                List<SimulatedNode> up =
                        cluster.nodes.values().stream().filter(node -> node.alive).toList();
                if (!up.isEmpty()) {
                    cluster.users.ask(
                            up.get(Math.floorMod(id.hashCode() + tick / 5, up.size())), id);
                }
            }
            double now = cluster.clock.now;
            if (now - Math.max(calmAt, answeredAt.getOrDefault(id, 0.0)) > FORGOTTEN_S) {
                breaksOnce("forgotten: no question about " + id + " is answered");
            }
            if (!waitsBesideRoom(id)) {
                besideRoom.remove(id);
            } else if (now - besideRoom.computeIfAbsent(id, key -> now) > LEFT_WAITING_S) {
                breaksOnce("left waiting: " + id);
            }
        }
        cluster.after(1, this::look);
    }

    /**
     * Whether tasks of it are neither done nor on machines, and could be: there is room, and its
     * team is under its limit.
     */
    private boolean waitsBesideRoom(String id) {
        JobSpec spec = cluster.specs.get(id);
        if (spec == null
                || cancelAsked.contains(id)
                || !before(id).stream().allMatch(doneAt::containsKey)) {
            return false;
        }
        long on =
                cluster.workers.values().stream()
                        .flatMap(worker -> worker.tasks.values().stream())
                        .filter(task -> task.jobId.equals(id) && task.on())
                        .map(task -> task.number)
                        .distinct()
                        .count();
        long missing = spec.taskCount() - cluster.completed.getOrDefault(id, Set.of()).size() - on;
        if (missing <= 0
                || spec.isGang() && on > 0
                || spec.isGang() && cluster.completed.containsKey(id)) {
            return false;
        }
        long atOnce = spec.isGang() ? missing : 1;
        ClusterSettings.Team limit = cluster.teams.get(spec.team());
        double[] used = onMachines(spec.team());
        if (limit == null
                || limit.maxCpus() > 0 && used[0] + atOnce * spec.cpusPerTask() > limit.maxCpus() + 1e-6
                || limit.maxGpus() > 0 && used[1] + atOnce * spec.gpusPerTask() > limit.maxGpus() + 1e-6) {
            return false;
        }
        Map<String, Long> rooms = new HashMap<>();
        cluster.workers.values().stream()
                .filter(
                        worker ->
                                worker.up
                                        && !worker.cut
                                        && !worker.deaf
                                        && !worker.mute
                                        && !worker.hangs())
                .filter(
                        worker ->
                                (spec.zone() == null || spec.zone().equals(worker.zone))
                                        && (!worker.spot || spec.allowsSpot())
                                        && fitsBeside(spec, worker.zone))
                .forEach(
                        worker ->
                                rooms.merge(
                                        spec.isSingleZone() ? worker.zone : "",
                                        room(worker, spec),
                                        Long::sum));
        return rooms.values().stream().anyMatch(r -> r >= atOnce);
    }

    /** Whether the job's other tasks, where they are now, let one more of it start in that zone. */
    private boolean fitsBeside(JobSpec spec, String zone) {
        List<SimulatedTask> on =
                cluster.workers.values().stream()
                        .flatMap(worker -> worker.tasks.values().stream())
                        .filter(task -> task.jobId.equals(spec.id()) && task.on())
                        .toList();
        long here = on.stream().filter(task -> task.worker.zone.equals(zone)).count();
        return (!spec.isSingleZone() || here == on.size()) && here < spec.maxTasksPerZone();
    }

    private long room(SimulatedWorker worker, JobSpec s) {
        double cpus = cluster.type.cpus();
        double memory = cluster.type.memoryGigabytes();
        for (SimulatedTask task : worker.tasks.values()) {
            JobSpec o = cluster.specs.get(task.jobId);
            if (task.on() && o != null) {
                cpus -= o.cpusPerTask();
                memory -= o.memoryGigabytesPerTask();
            }
        }
        return (long)
                Math.max(
                        0,
                        Math.min(
                                s.cpusPerTask() > 0 ? (cpus + 1e-9) / s.cpusPerTask() : 1e6,
                                s.memoryGigabytesPerTask() > 0 ? (memory + 1e-9) / s.memoryGigabytesPerTask() : 1e6));
    }
}
