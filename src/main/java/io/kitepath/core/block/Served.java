package io.kitepath.core.block;

import io.kitepath.core.model.Facts;
import io.kitepath.core.model.JobSpec;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How much of what each class and each team asked for was served, as far as this holder has seen: done within the most
 * generous time that is expected of it. Guards against an overload in which the number of jobs in time is as large as
 * can be, and all that go without are of one class or one team: a class of which less than half is served counts as an
 * outage to its users, however well the others do.
 */
public final class Served {
    private static final Logger LOG = LoggerFactory.getLogger(Served.class);
    /** The share below which a class or team is behind, well above the half that it must never fall under. */
    public static final double FLOOR = 0.65;
    /** Above which it is not any more. */
    private static final double CAUGHT_UP = 0.75;
    /** How much an older job counts for each one decided after it: what counts is about the last 256. */
    private static final double FADES = 1 - 1.0 / 256;
    /** Decided jobs from which on a share says something. */
    private static final double ENOUGH = 4;
    /** Users name the classes, so there may be any number of them. */
    private static final int MOST = 1000;

    /** One class or team. Counts are of jobs. */
    public static final class Group {
        private final String name;
        private long submitted;
        private long inTime;
        private long done;
        private long missed;
        private double served;
        private double decided;
        private boolean behind;

        private Group(String name) {
            this.name = name;
        }

        public long submitted() {
            return submitted;
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

        /** Of the jobs decided lately, what was served; 1 while none is. */
        public double share() {
            return decided == 0 ? 1 : served / decided;
        }

        private void decide(boolean intoTime) {
            served = served * FADES + (intoTime ? 1 : 0);
            decided = decided * FADES + 1;
            inTime += intoTime ? 1 : 0;
            missed += intoTime ? 0 : 1;
            boolean now = decided >= ENOUGH && share() < (behind ? CAUGHT_UP : FLOOR);
            if (now != behind) {
                behind = now;
                LOG.warn("{} {}: {} of {} jobs decided were served in time, {} submitted", name,
                        now ? "is behind" : "has caught up", inTime, inTime + missed, submitted);
            }
        }
    }

    private final Facts facts;
    private final Map<String, Group> classes = new LinkedHashMap<>();
    private final Map<String, Group> teams = new LinkedHashMap<>();

    Served(Facts facts) {
        this.facts = facts;
    }

    void clear() {
        classes.clear();
        teams.clear();
    }

    private static Group group(Map<String, Group> in, String kind, String name) {
        Group g = in.get(name);
        if (g == null && in.size() < MOST) {
            g = new Group(kind + " " + name);
            in.put(name, g);
        }
        return g;
    }

    private void each(JobSpec s, Consumer<Group> then) {
        Group c = group(classes, "class", s.jobClass());
        Group t = group(teams, "team", s.team());
        if (c != null) {
            then.accept(c);
        }
        if (t != null) {
            then.accept(t);
        }
    }

    void came(Job job) {
        each(job.spec, g -> g.submitted++);
    }

    /** Jobs that are past all that was expected of them are decided now, whenever they will be done. */
    public void look(Collection<Job> jobs, double wallMs) {
        for (Job j : jobs) {
            if (!j.over && !j.guest && !j.missed && wallMs > j.submittedMs + 1000 * facts.servedWithinS(j.spec)) {
                j.missed = true;
                each(j.spec, g -> g.decide(false));
            }
        }
    }

    /** The store has it that the job is done. */
    public void done(Job job, double wallMs) {
        look(List.of(job), wallMs);
        each(job.spec, g -> g.done++);
        if (!job.missed) {
            each(job.spec, g -> g.decide(true));
        }
    }

    /** Whether the job's class or team is served so little that others of its rank go without before it. */
    public boolean behind(JobSpec s) {
        Group c = classes.get(s.jobClass());
        Group t = teams.get(s.team());
        return c != null && c.behind || t != null && t.behind;
    }

    /** By name, for operators. */
    public Map<String, Group> classes() {
        return new TreeMap<>(classes);
    }

    public Map<String, Group> teams() {
        return new TreeMap<>(teams);
    }

    /** The lowest share of all classes and teams. */
    public double leastShare() {
        double least = 1;
        for (Group g : classes.values()) {
            least = Math.min(least, g.share());
        }
        for (Group g : teams.values()) {
            least = Math.min(least, g.share());
        }
        return least;
    }
}
