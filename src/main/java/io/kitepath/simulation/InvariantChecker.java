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

    private final SimulatedCluster w;
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

    InvariantChecker(SimulatedCluster w) {
        this.w = w;
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
        w.broken.add(what);
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
        acceptedAt.putIfAbsent(id, w.clock.now);
        w.accepted.putIfAbsent(id, w.clock.now);
    }

    /**
     * What a user is told, against the rules about what users are told. An answer is an old one if
     * another was given before it was asked for; of two questions at the same time either may be
     * answered first.
     */
    JobSubmissionService.Answer heard(String id, JobSubmissionService.Answer a, double asked) {
        if (a == null) {
            return null;
        }
        answers++;
        if (a.verdict() != JobSubmissionService.Verdict.KNOWN
                && a.verdict() != JobSubmissionService.Verdict.CREATED) {
            if (a.verdict() != JobSubmissionService.Verdict.LATER
                    && acceptedAt.getOrDefault(id, 1e18) < asked) {
                breaks("forgotten: " + id + " gets " + a.verdict());
            }
            return a;
        }
        answeredAt.put(id, w.clock.now);
        if (w.specs.get(id) == null && !w.store.everHad(id)) {
            breaks("invented: " + id);
        }
        acceptedAt.putIfAbsent(id, w.clock.now);
        String status = a.state().status();
        if (doneAt.getOrDefault(id, 1e18) <= asked && !status.equals("done")
                || w.toldCancelled.getOrDefault(id, 1e18) <= asked && !status.equals("cancelled")) {
            breaks("went back: " + id + " is called " + status);
        }
        if (status.equals("done")) {
            JobSpec s = w.specs.get(id);
            int ended = w.completed.getOrDefault(id, Set.of()).size();
            if (s != null && (s.gang() ? ended == 0 : ended < s.tasks())) {
                breaks("not done: " + id + " is called done after " + ended + " of " + s.tasks());
            }
            w.toldDone.add(id);
            doneAt.putIfAbsent(id, w.clock.now);
        } else if (status.equals("cancelled")) {
            if (!cancelAsked.contains(id) && before(id).stream().noneMatch(cancelAsked::contains)) {
                breaksOnce("went back: " + id + " is called cancelled and nobody asked for it");
            }
            if (w.toldCancelled.putIfAbsent(id, w.clock.now) == null) {
                // A moment more than the rule's, for what is due in the same moment.
                w.after(w.cancelS + 0.01, () -> hasGone(id));
            }
        } else if (before(id).stream()
                .anyMatch(
                        n ->
                                w.clock.now
                                        > Math.max(
                                                        w.accepted.getOrDefault(id, 0.0),
                                                        w.toldCancelled.getOrDefault(n, 1e18))
                                                + w.cancelS)) {
            breaks("orphaned: " + id + " is called " + status);
        }
        return a;
    }

    // ---- cancelled tasks ------------------------------------------------------------------------

    private void hasGone(String id) {
        for (SimulatedWorker x : w.workers.values()) {
            x.tasks.values().stream()
                    .filter(t -> t.job.equals(id) && t.on())
                    .forEach(
                            t -> {
                                if (x.hangs()) {
                                    // It does nothing while it hangs; it must not go on with it.
                                    hungWithCancelled++;
                                    x.goesOn(() -> w.after(0.01, () -> hasGone(id)));
                                } else {
                                    breaksOnce(
                                            "ran cancelled: " + t.key() + " is still on " + x.id);
                                }
                            });
        }
    }

    /** All jobs that have to be done before that one, directly or through others. */
    private Set<String> before(String id) {
        Set<String> all = new HashSet<>();
        List<String> next = new ArrayList<>(w.needs.getOrDefault(id, List.of()));
        while (!next.isEmpty()) {
            String n = next.remove(next.size() - 1);
            if (all.add(n)) {
                next.addAll(w.needs.getOrDefault(n, List.of()));
            }
        }
        return all;
    }

    // ---- starts ---------------------------------------------------------------------------------

    /** A task starts, and is on its machine already. */
    void starts(SimulatedTask t) {
        String id = t.job;
        besideRoom.remove(id);
        double after = w.clock.now - w.toldCancelled.getOrDefault(id, Double.POSITIVE_INFINITY);
        if (after > w.cancelS) {
            breaks("ran cancelled: " + id + " starts");
        }
        if (after > 0) {
            startsAfterCancellation++;
            latestStartAfterS = Math.max(latestStartAfterS, after);
        }
        for (String n : before(id)) {
            JobSpec s = w.specs.get(n);
            int done = w.completed.getOrDefault(n, Set.of()).size();
            // The tasks of a gang complete together.
            if (s == null || (s.gang() ? done == 0 : done < s.tasks())) {
                breaks("too early: " + id + " starts before " + n + " is done");
            }
        }
        JobSpec s = w.specs.get(id);
        if (s != null) {
            place(t, s);
            limit(s.team());
        }
    }

    private void place(SimulatedTask t, JobSpec s) {
        SimulatedWorker x = t.worker;
        if (s.types() != null && !s.types().contains(w.type.name())
                || s.zone() != null && !s.zone().equals(x.zone)
                || x.spot && !s.spot()) {
            breaks("wrong place: " + t.key() + " on " + x.id);
        }
        if (!s.oneZone() && !s.spread()) {
            return;
        }
        int here = 0;
        for (SimulatedWorker y : w.workers.values()) {
            long on = y.tasks.values().stream().filter(o -> o.job.equals(t.job) && o.on()).count();
            here += y.zone.equals(x.zone) ? on : 0;
            if (s.oneZone() && on > 0 && !y.zone.equals(x.zone)) {
                breaks("wrong place: " + t.key() + " in " + x.zone + " beside tasks in " + y.zone);
            }
        }
        if (s.spread() && here > s.mostPerZone()) {
            breaks("wrong place: " + here + " tasks of " + t.job + " in " + x.zone);
        }
    }

    /**
     * CPUs and GPUs of the team's tasks that are on machines, also on such that nobody can reach.
     */
    public double[] onMachines(String team) {
        double[] used = new double[2];
        for (SimulatedWorker x : w.workers.values()) {
            for (SimulatedTask t : x.tasks.values()) {
                JobSpec s = w.specs.get(t.job);
                if (s != null && s.team().equals(team) && t.on()) {
                    used[0] += s.cpus();
                    used[1] += s.gpus();
                }
            }
        }
        return used;
    }

    private void limit(String team) {
        ClusterSettings.Team limit = w.teams.get(team);
        if (limit == null || limit.cpusMax() <= 0 && limit.gpusMax() <= 0) {
            return;
        }
        double[] used = onMachines(team);
        if (limit.cpusMax() > 0 && used[0] > limit.cpusMax() + 1e-6
                || limit.gpusMax() > 0 && used[1] > limit.gpusMax() + 1e-6) {
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
        calmAt = w.clock.now;
        answeredAt.clear();
        besideRoom.clear();
        if (first) {
            look();
        }
    }

    private List<String> unfinished() {
        return w.accepted.keySet().stream()
                .filter(id -> !w.toldCancelled.containsKey(id) && !doneAt.containsKey(id))
                .sorted()
                .toList();
    }

    private void look() {
        int tick = asksAt++;
        for (String id : unfinished()) {
            if (tick % 5 == 0) {
                List<SimulatedNode> up = w.nodes.values().stream().filter(n -> n.alive).toList();
                if (!up.isEmpty()) {
                    w.users.ask(up.get(Math.floorMod(id.hashCode() + tick / 5, up.size())), id);
                }
            }
            double now = w.clock.now;
            if (now - Math.max(calmAt, answeredAt.getOrDefault(id, 0.0)) > FORGOTTEN_S) {
                breaksOnce("forgotten: no question about " + id + " is answered");
            }
            if (!waitsBesideRoom(id)) {
                besideRoom.remove(id);
            } else if (now - besideRoom.computeIfAbsent(id, k -> now) > LEFT_WAITING_S) {
                breaksOnce("left waiting: " + id);
            }
        }
        w.after(1, this::look);
    }

    /**
     * Whether tasks of it are neither done nor on machines, and could be: there is room, and its
     * team is under its limit.
     */
    private boolean waitsBesideRoom(String id) {
        JobSpec s = w.specs.get(id);
        if (s == null
                || cancelAsked.contains(id)
                || !before(id).stream().allMatch(doneAt::containsKey)) {
            return false;
        }
        long on =
                w.workers.values().stream()
                        .flatMap(x -> x.tasks.values().stream())
                        .filter(t -> t.job.equals(id) && t.on())
                        .map(t -> t.number)
                        .distinct()
                        .count();
        long missing = s.tasks() - w.completed.getOrDefault(id, Set.of()).size() - on;
        if (missing <= 0 || s.gang() && on > 0 || s.gang() && w.completed.containsKey(id)) {
            return false;
        }
        long atOnce = s.gang() ? missing : 1;
        ClusterSettings.Team limit = w.teams.get(s.team());
        double[] used = onMachines(s.team());
        if (limit == null
                || limit.cpusMax() > 0 && used[0] + atOnce * s.cpus() > limit.cpusMax() + 1e-6
                || limit.gpusMax() > 0 && used[1] + atOnce * s.gpus() > limit.gpusMax() + 1e-6) {
            return false;
        }
        Map<String, Long> rooms = new HashMap<>();
        w.workers.values().stream()
                .filter(x -> x.up && !x.cut && !x.deaf && !x.mute && !x.hangs())
                .filter(
                        x ->
                                (s.zone() == null || s.zone().equals(x.zone))
                                        && (!x.spot || s.spot())
                                        && fitsBeside(s, x.zone))
                .forEach(x -> rooms.merge(s.oneZone() ? x.zone : "", room(x, s), Long::sum));
        return rooms.values().stream().anyMatch(r -> r >= atOnce);
    }

    /** Whether the job's other tasks, where they are now, let one more of it start in that zone. */
    private boolean fitsBeside(JobSpec s, String zone) {
        List<SimulatedTask> on =
                w.workers.values().stream()
                        .flatMap(x -> x.tasks.values().stream())
                        .filter(t -> t.job.equals(s.id()) && t.on())
                        .toList();
        long here = on.stream().filter(t -> t.worker.zone.equals(zone)).count();
        return (!s.oneZone() || here == on.size()) && here < s.mostPerZone();
    }

    private long room(SimulatedWorker x, JobSpec s) {
        double cpus = w.type.cpus();
        double memory = w.type.memoryGb();
        for (SimulatedTask t : x.tasks.values()) {
            JobSpec o = w.specs.get(t.job);
            if (t.on() && o != null) {
                cpus -= o.cpus();
                memory -= o.memoryGb();
            }
        }
        return (long)
                Math.max(
                        0,
                        Math.min(
                                s.cpus() > 0 ? (cpus + 1e-9) / s.cpus() : 1e6,
                                s.memoryGb() > 0 ? (memory + 1e-9) / s.memoryGb() : 1e6));
    }
}
