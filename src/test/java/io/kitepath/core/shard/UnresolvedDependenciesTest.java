package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which waiting jobs may have to be cancelled without this being known, as the graph changes. */
class UnresolvedDependenciesTest {
    private static final int TASKS_PER_PART = 4;

    private final ClusterSettings settings = new SimulatedCluster().settings("k1");
    private final ShardState shard = new ShardState(settings, machine -> {});
    private final JobDependencies dependencies = shard.jobDependencies();

    private Job add(String id, List<String> dependencyIds) {
        JobRecord record =
                new JobRecord(
                        SimulatedCluster.job(id, Shape.ARRAY, 1, 1), 5000, dependencyIds, 0, 0);
        Job job = Job.of(record, settings, "jobs/open/" + id, 1, TASKS_PER_PART);
        shard.addJob(job);
        return job;
    }

    private boolean mayReport(Job job) {
        return dependencies.mayReport(job, 5000);
    }

    /** Guards against a dependent that is reported while only a job in between is known. */
    @Test
    void anUnknownOutcomeIsPassedOnToIndirectDependents() {
        add("j-1", List.of());
        Job second = add("j-2", List.of("j-1"));
        Job third = add("j-3", List.of("j-2"));
        dependencies.onVerified(5000);
        assertTrue(mayReport(second) && mayReport(third));
        shard.finishJob("j-1");
        assertFalse(mayReport(second) || mayReport(third));
        assertEquals(2, dependencies.unresolvedJobCount());
        dependencies.recordOutcome("j-1", true, 5000);
        assertTrue(mayReport(second) && mayReport(third));
    }

    /** Guards against a job that is never reported because a record can't be read here. */
    @Test
    void aDependencyThatIsOpenInTheStoreOnlyIsResolvedUntilItEnds() {
        Job second = add("j-2", List.of("j-1"));
        Job third = add("j-3", List.of("j-2"));
        dependencies.onVerified(5000);
        assertFalse(mayReport(second) || mayReport(third));
        dependencies.recordNotEnded("j-1", 5000);
        assertTrue(mayReport(second) && mayReport(third));
        assertEquals(List.of("j-1"), dependencies.notEndedDependencies());
        shard.finishJob("j-1");
        assertFalse(mayReport(second) || mayReport(third));
        dependencies.recordOutcome("j-1", false, 5000);
        assertEquals(List.of(second, third), dependencies.jobsToCancel());
    }

    /** Guards against a verification that is taken for one of jobs which it did not cover. */
    @Test
    void aJobThatIsAddedDuringAVerificationIsCoveredFromItsSubmissionOnly() {
        add("j-1", List.of());
        dependencies.onVerificationStarted();
        Job second = add("j-2", List.of("j-1"));
        double laterMillis = 5000 + 900 * settings.workers().dependencyStalenessSeconds();
        dependencies.onVerified(laterMillis);
        assertTrue(dependencies.mayReport(second, laterMillis));
        assertFalse(dependencies.mayReport(second, 2 * laterMillis));
        dependencies.onVerificationStarted();
        dependencies.onVerified(2 * laterMillis);
        assertTrue(dependencies.mayReport(second, 2 * laterMillis));
    }

    /** Guards against counts that drift from what the graph says, in any order of events. */
    @Test
    void countsEqualAPlainRecomputationInRandomGraphs() {
        for (int seed = 0; seed < 60; seed++) {
            new RandomGraph(seed).play();
        }
    }

    /** A random graph whose jobs become known, end, start and get their outcomes in any order. */
    private final class RandomGraph {
        private static final int JOBS = 25;
        private static final int STEPS = 250;

        private final int seed;
        private final Random random;
        private final Map<String, List<String>> dependencyIds = new HashMap<>();
        private final List<String> unseen = new ArrayList<>();
        private final Map<String, Job> seen = new HashMap<>();
        private final Set<String> withOutcome = new HashSet<>();
        private final Set<String> notEnded = new HashSet<>();
        private final Set<String> started = new HashSet<>();

        RandomGraph(int seed) {
            this.seed = seed;
            this.random = new Random(seed);
            shard.clearJobs();
            for (int i = 0; i < JOBS; i++) {
                List<String> ids = new ArrayList<>();
                for (int k = 0; i > 0 && k < random.nextInt(4); k++) {
                    ids.add("j-" + random.nextInt(i)); // The same one may be named twice.
                }
                dependencyIds.put("j-" + i, ids);
                unseen.add("j-" + i);
            }
            Collections.shuffle(unseen, random);
        }

        void play() {
            for (int step = 0; step < STEPS; step++) {
                change("j-" + random.nextInt(JOBS));
                notEnded.removeIf(id -> !isNamed(id)); // It would be read anew for others.
                for (Job job : seen.values()) {
                    if (!job.isFinished) {
                        assertEquals(
                                isUnresolvedFor(job),
                                job.hasUnresolvedDependency(),
                                "seed " + seed + " step " + step + " job " + job.spec.id());
                    }
                }
            }
        }

        private void change(String id) {
            Job job = seen.get(id);
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    if (!unseen.isEmpty()) {
                        String next = unseen.remove(0);
                        notEnded.remove(next);
                        seen.put(next, add(next, dependencyIds.get(next)));
                    }
                }
                case 2 -> {
                    shard.finishJob(id);
                    notEnded.remove(id);
                }
                case 3 -> {
                    // An outcome is known before or after the end, never while the job goes on.
                    if (job != null && withOutcome.add(id)) {
                        notEnded.remove(id);
                        dependencies.recordOutcome(id, random.nextBoolean(), 5000);
                        shard.finishJob(id);
                    }
                }
                default -> {
                    if (job == null) {
                        if (isNamed(id)) {
                            dependencies.recordNotEnded(id, 5000);
                            notEnded.add(id);
                        }
                    } else if (!job.isFinished && random.nextInt(4) == 0) {
                        job.dependencyState.unmet.clear();
                        dependencies.onJobStarted(job);
                        started.add(id);
                    }
                }
            }
        }

        private boolean isNamed(String id) {
            return seen.values().stream()
                    .anyMatch(job -> !job.isFinished && job.unmetDependencies().contains(id));
        }

        private boolean isUnresolvedFor(Job job) {
            return !started.contains(job.spec.id())
                    && job.dependencies().stream().anyMatch(this::isUnresolved);
        }

        private boolean isUnresolved(String id) {
            if (withOutcome.contains(id)) {
                return false;
            }
            Job job = seen.get(id);
            return job != null && !job.isFinished ? isUnresolvedFor(job) : !notEnded.contains(id);
        }
    }
}
