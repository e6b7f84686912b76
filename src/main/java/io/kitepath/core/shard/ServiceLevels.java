package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.JobSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How much of what each class, its largest jobs, and each team asked for was served: done within
 * the most generous time that is expected of it. Guards against an overload in which the number of
 * jobs in time is as large as can be, and all that go without are of one class or one team: a class
 * of which less than half is served counts as an outage to its users, however well the others do.
 *
 * <p>What is decided already says too little, too late: of a class whose jobs have minutes, the
 * first misses are counted when hundreds of jobs can't be in time any more. So jobs that have used
 * most of the time in which they may wait, and still do, count as if they had been missed; see
 * {@link ServiceGroup#share}.
 */
public final class ServiceLevels {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceLevels.class);

    /**
     * The share below which a class or team is behind, above the half that it must never fall
     * under. What is endangered may still be served, so the share that comes of it is higher.
     */
    public static final double BEHIND_BELOW = 0.55;

    /** Above which it is not any more. */
    private static final double CAUGHT_UP_FROM = 0.6;

    /**
     * How much an older job counts for each one decided after it: what counts is about the last
     * 256.
     */
    private static final double DECAY = 1 - 1.0 / 256;

    /** Decided jobs from which on a share says something. */
    private static final double MIN_WEIGHT = 8;

    /** Users name the classes, so there may be any number of them. */
    private static final int MAX_GROUPS = 1000;

    /**
     * Of the time that a job may wait and still be in time, the part after which it counts as
     * endangered.
     */
    private static final double ENDANGERED_FRACTION = 0.6;

    /** What one group takes in the record, in bytes of its JSON form, besides its name. */
    private static final int GROUP_BYTES = 64;

    /** One class or team. Counts are of jobs. */
    public static final class ServiceGroup {
        private final String name;
        private long undecided;
        private long endangered;

        /** Open, in time so far, and all placed. */
        private long fullyPlaced;

        private long inTime;
        private long done;
        private long missed;
        private double decayedInTime;
        private double decayedDecided;
        private boolean isBehind;

        private ServiceGroup(String name) {
            this.name = name;
        }

        /** Decided, or open now. */
        public long submitted() {
            return inTime + missed + undecided;
        }

        /** Open, and not likely to be in time any more unless others go without for them. */
        public long endangered() {
            return endangered;
        }

        /** Done within what is expected. */
        public long inTime() {
            return inTime;
        }

        /** Done at all. */
        public long done() {
            return done;
        }

        /** Past all that was expected, whether or not they were done later. */
        public long missed() {
            return missed;
        }

        /**
         * Of the jobs decided lately, those that are all placed and those endangered now, what was
         * served or probably will be; 1 while there are none.
         */
        public double share() {
            return weight() == 0 ? 1 : (decayedInTime + fullyPlaced) / weight();
        }

        private double weight() {
            return decayedDecided + fullyPlaced + endangered;
        }

        private void recordDecision(boolean intoTime) {
            decayedInTime = decayedInTime * DECAY + (intoTime ? 1 : 0);
            decayedDecided = decayedDecided * DECAY + 1;
            inTime += intoTime ? 1 : 0;
            missed += intoTime ? 0 : 1;
        }

        private void updateBehind() {
            boolean now =
                    weight() >= MIN_WEIGHT && share() < (isBehind ? CAUGHT_UP_FROM : BEHIND_BELOW);
            if (now != isBehind) {
                isBehind = now;
                LOG.warn(
                        "{} {}: {} of {} jobs decided were served in time, {} endangered of {} open",
                        name,
                        now ? "is behind" : "has caught up",
                        inTime,
                        inTime + missed,
                        endangered,
                        undecided);
            }
        }

        private double catchUpShare() {
            return isBehind ? share() : 1;
        }
    }

    private final ClusterSettings settings;
    private final Map<String, ServiceGroup> classes = new LinkedHashMap<>();
    private final Map<String, ServiceGroup> teams = new LinkedHashMap<>();

    /**
     * By class, its largest jobs alone: of a class that is served well, they may be the ones that
     * go without.
     */
    private final Map<String, ServiceGroup> largest = new LinkedHashMap<>();

    private final JobSizes sizes = new JobSizes();

    /** What was missed up to then, by the time of day, has been counted by an earlier holder. */
    private double countedUntilMillis;

    ServiceLevels(ClusterSettings settings) {
        this.settings = settings;
    }

    void clear() {
        classes.clear();
        teams.clear();
        largest.clear();
        countedUntilMillis = 0;
    }

    private static ServiceGroup group(Map<String, ServiceGroup> in, String kind, String name) {
        ServiceGroup group = in.get(name);
        if (group == null && in.size() < MAX_GROUPS) {
            group = new ServiceGroup(kind + " " + name);
            in.put(name, group);
        }
        return group;
    }

    private void forEachGroup(JobSpec spec, Consumer<ServiceGroup> then) {
        ServiceGroup c = group(classes, "class", spec.jobClass());
        ServiceGroup t = group(teams, "team", spec.team());
        if (c != null) {
            then.accept(c);
        }
        if (t != null) {
            then.accept(t);
        }
        ServiceGroup l =
                sizes.isAmongLargest(spec) ? group(largest, "largest of", spec.jobClass()) : null;
        if (l != null) {
            then.accept(l);
        }
    }

    /** A job has become known. */
    void recordArrival(JobSpec spec) {
        sizes.add(spec);
    }

    /** Whether the job is one of the largest of its class, by those that came lately. */
    public boolean largest(JobSpec spec) {
        return sizes.isAmongLargest(spec);
    }

    /**
     * Looks at all jobs there are. Those that are past all that was expected of them are decided
     * now, whenever they will be done.
     *
     * @param leadS how long jobs of a kind take from placing to running
     */
    public void update(Collection<Job> jobs, ToDoubleFunction<JobSpec> leadS, double wallMs) {
        allGroups()
                .forEach(
                        group -> {
                            group.undecided = 0;
                            group.endangered = 0;
                            group.fullyPlaced = 0;
                        });
        for (Job job : jobs) {
            // One that waits for others asks for nothing yet.
            if (job.isFinished || job.borrowed || job.isHeld()) {
                continue;
            }
            double withinS = settings.latestUsefulCompletionSeconds(job.spec, job.heldSeconds());
            recordIfMissed(job, withinS, wallMs);
            if (!job.hasMissedAllGoals) {
                double mayWaitS =
                        withinS
                                - job.heldSeconds()
                                - job.spec.estimatedSeconds()
                                - leadS.applyAsDouble(job.spec);
                boolean waits = job.waitingTasks() > 0;
                boolean endangered =
                        waits
                                && wallMs
                                        > job.eligibleSinceMillis()
                                                + 1000 * ENDANGERED_FRACTION * mayWaitS;
                forEachGroup(
                        job.spec,
                        group -> {
                            group.undecided++;
                            group.endangered += endangered ? 1 : 0;
                            group.fullyPlaced += waits ? 0 : 1;
                        });
            }
        }
        allGroups().forEach(ServiceGroup::updateBehind);
    }

    private void recordIfMissed(Job job, double withinS, double wallMs) {
        double until = job.submittedMillis + 1000 * withinS;
        if (!job.hasMissedAllGoals && wallMs > until) {
            job.hasMissedAllGoals = true;
            if (until > countedUntilMillis) {
                forEachGroup(job.spec, group -> group.recordDecision(false));
            }
        }
    }

    private List<ServiceGroup> allGroups() {
        List<ServiceGroup> all = new ArrayList<>(classes.values());
        all.addAll(teams.values());
        all.addAll(largest.values());
        return all;
    }

    /** The store has it that the job is done. */
    public void recordDone(Job job, double wallMs) {
        recordIfMissed(
                job, settings.latestUsefulCompletionSeconds(job.spec, job.heldSeconds()), wallMs);
        forEachGroup(job.spec, group -> group.done++);
        if (!job.hasMissedAllGoals) {
            forEachGroup(job.spec, group -> group.recordDecision(true));
        }
    }

    /**
     * 1, or the share that the job's class, its largest jobs, or its team get, the lowest one, if
     * that is so little that others of its rank go without before it.
     */
    public double catchUpShare(JobSpec spec) {
        ServiceGroup c = classes.get(spec.jobClass());
        ServiceGroup t = teams.get(spec.team());
        ServiceGroup l = sizes.isAmongLargest(spec) ? largest.get(spec.jobClass()) : null;
        return Math.min(
                l == null ? 1 : l.catchUpShare(),
                Math.min(c == null ? 1 : c.catchUpShare(), t == null ? 1 : t.catchUpShare()));
    }

    // ---- for the next holder
    // ---------------------------------------------------------------------

    /**
     * What the next holder has to know. Guards against counts that begin anew with each holder: on
     * a day with many ends nobody would ever be behind. Those with the most jobs decided, as many
     * as a value may hold.
     */
    public Map<String, Object> toRecord(double wallMs) {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("untilMs", wallMs);
        double left = settings.store().maxValueBytes() * 0.3;
        out.put("classes", records(classes, left));
        out.put("teams", records(teams, left));
        out.put("largest", records(largest, left));
        return out;
    }

    private static Map<String, Object> records(Map<String, ServiceGroup> of, double bytes) {
        Map<String, Object> out = new LinkedHashMap<>();
        double left = bytes;
        for (Map.Entry<String, ServiceGroup> e :
                of.entrySet().stream()
                        .sorted(
                                Comparator.comparingLong(
                                        (Map.Entry<String, ServiceGroup> e) ->
                                                -e.getValue().inTime - e.getValue().missed))
                        .toList()) {
            ServiceGroup group = e.getValue();
            left -= GROUP_BYTES + e.getKey().length();
            if (left < 0 || group.inTime + group.missed == 0) {
                break;
            }
            out.put(
                    e.getKey(),
                    List.of(
                            group.inTime,
                            group.done,
                            group.missed,
                            Math.round(1000 * group.decayedInTime),
                            Math.round(1000 * group.decayedDecided)));
        }
        return out;
    }

    /**
     * Goes on from what an earlier holder counted.
     *
     * @throws io.kitepath.core.model.InvalidInputException if that is not a record of it
     */
    public void restore(Object record) {
        DocumentReader document = DocumentReader.of(record);
        countedUntilMillis = document.number("untilMs", 0);
        restore(document, "classes", "class", classes);
        restore(document, "teams", "team", teams);
        restore(document, "largest", "largest of", largest);
    }

    private static void restore(
            DocumentReader record, String field, String kind, Map<String, ServiceGroup> into) {
        if (!(record.raw(field) instanceof Map<?, ?> groups)) {
            return;
        }
        groups.forEach(
                (name, counts) -> {
                    if (name instanceof String n
                            && counts instanceof List<?> l
                            && l.size() == 5
                            && l.stream().allMatch(Number.class::isInstance)) {
                        ServiceGroup group = group(into, kind, n);
                        if (group != null) {
                            group.inTime = ((Number) l.get(0)).longValue();
                            group.done = ((Number) l.get(1)).longValue();
                            group.missed = ((Number) l.get(2)).longValue();
                            group.decayedInTime = ((Number) l.get(3)).doubleValue() / 1000;
                            group.decayedDecided = ((Number) l.get(4)).doubleValue() / 1000;
                        }
                    }
                });
    }

    /**
     * For the log: by class and team, what was in time of what was decided, and what is open and
     * endangered.
     */
    public String summary() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "served least: class %.2f, team %.2f, largest jobs of a class %.2f; served in time:",
                                least(classes),
                                least(teams),
                                least(largest)));
        for (ServiceGroup group : allGroups()) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            " %s %d of %d, %d open, %d endangered;",
                            group.name,
                            group.inTime,
                            group.inTime + group.missed,
                            group.undecided,
                            group.endangered));
        }
        return text.toString();
    }

    /** By name, for operators. */
    public Map<String, ServiceGroup> classes() {
        return new TreeMap<>(classes);
    }

    public Map<String, ServiceGroup> teams() {
        return new TreeMap<>(teams);
    }

    public Map<String, ServiceGroup> largest() {
        return new TreeMap<>(largest);
    }

    /** The lowest share of all classes, their largest jobs, and teams. */
    public double leastShare() {
        return Math.min(least(largest), Math.min(least(classes), least(teams)));
    }

    private static double least(Map<String, ServiceGroup> of) {
        return of.values().stream().mapToDouble(ServiceGroup::share).min().orElse(1);
    }
}
