package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What it costs to pass on the demand of dependents, in edges that are looked at. Guards against a
 * large pipeline that keeps the event loop busy for longer than a lease.
 */
class DependencyDemandCostTest {
    private static final int TASKS_PER_PART = 4;

    /** Adding an edge, passing a demand on along it, and removing it. */
    private static final int STEPS_PER_EDGE = 3;

    private static final int STAGE_JOBS = 220;
    private static final int DENSE_JOBS = 240;
    private static final int MANY_JOBS = 5000;

    private final ClusterSettings settings = new SimulatedCluster().settings("k1");
    private final List<Job> pipeline = new ArrayList<>();
    private ShardState shard;

    @BeforeEach
    void startEmpty() {
        shard = new ShardState(settings, machine -> {});
        pipeline.clear();
    }

    private static List<String> ids(int count) {
        return IntStream.range(0, count).mapToObj(i -> "j-" + i).toList();
    }

    /** Adds a job to the pipeline, which is not open yet; the jobs that it names come before it. */
    private Job plan(List<String> dependencies, JobSpec.Priority priority, double dueSeconds) {
        int number = pipeline.size();
        JobSpec spec = SimulatedCluster.job("j-" + number, Shape.ARRAY, 1, 1);
        Map<String, Object> record = new HashMap<>(spec.toRecord());
        if (dueSeconds > 0) {
            record.put("deadline", dueSeconds);
        }
        JobSpec withDeadline = JobSpec.fromRecord(spec.id(), record);
        JobSpec planned = withDeadline.toBuilder().priority(priority).build();
        Job job =
                Job.of(
                        new JobRecord(planned, 5000 + number, dependencies, 0, 0),
                        settings,
                        "jobs/open/" + spec.id(),
                        number + 1,
                        TASKS_PER_PART);
        pipeline.add(job);
        return job;
    }

    private Job plan(List<String> dependencies) {
        return plan(dependencies, JobSpec.Priority.NORMAL, 0);
    }

    private void planTwoStages() {
        IntStream.range(0, STAGE_JOBS).forEach(i -> plan(List.of()));
        IntStream.range(0, STAGE_JOBS).forEach(i -> plan(ids(STAGE_JOBS)));
    }

    private void planDense(boolean isLastDue) {
        for (int i = 0; i < DENSE_JOBS; i++) {
            boolean isDue = isLastDue && i == DENSE_JOBS - 1;
            plan(ids(i), JobSpec.Priority.NORMAL, isDue ? 9000 : 0);
        }
    }

    private long edges() {
        return pipeline.stream().mapToLong(job -> job.dependencies().size()).sum();
    }

    /** Opens all jobs in the order, and closes them again, the last ones first. */
    private void expectFewSteps(List<Job> order) {
        order.forEach(shard::addJob);
        long stepsToOpen = shard.jobDependencies().demandSteps();
        assertTrue(
                stepsToOpen <= STEPS_PER_EDGE * edges(), stepsToOpen + " steps to open " + edges());
        for (int i = pipeline.size() - 1; i >= 0; i--) {
            shard.finishJob("j-" + i);
        }
        long steps = shard.jobDependencies().demandSteps() - stepsToOpen;
        assertTrue(steps <= STEPS_PER_EDGE * edges(), steps + " steps to close " + edges());
    }

    private void expectFewStepsInAnyOrder(Runnable planJobs) {
        for (int order = 0; order < 3; order++) {
            startEmpty();
            planJobs.run();
            List<Job> jobs = new ArrayList<>(pipeline);
            if (order == 1) {
                Collections.reverse(jobs);
            } else if (order == 2) {
                Collections.shuffle(jobs, new Random(1));
            }
            expectFewSteps(jobs);
        }
    }

    @Test
    void twoFullStagesCostAFewStepsForEachEdge() {
        expectFewStepsInAnyOrder(this::planTwoStages);
    }

    @Test
    void jobsThatNameAllEarlierOnesCostAFewStepsForEachEdge() {
        expectFewStepsInAnyOrder(() -> planDense(false));
    }

    @Test
    void oneDeadlineAtTheEndCostsAFewStepsForEachEdge() {
        planDense(true);
        expectFewSteps(List.copyOf(pipeline));
    }

    @Test
    void aLongChainCostsAFewStepsForEachEdge() {
        expectFewStepsInAnyOrder(
                () -> {
                    plan(List.of());
                    for (int i = 1; i < MANY_JOBS; i++) {
                        plan(List.of("j-" + (i - 1)));
                    }
                });
    }

    @Test
    void aWideFanCostsAFewStepsForEachEdge() {
        expectFewStepsInAnyOrder(
                () -> {
                    plan(List.of());
                    IntStream.range(1, MANY_JOBS).forEach(i -> plan(List.of("j-0")));
                });
    }

    /** Guards against values that differ from what the graph says, in any order of events. */
    @Test
    void demandsEqualAPlainRecomputationInRandomGraphs() {
        for (int seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            startEmpty();
            for (int i = 0; i < 30; i++) {
                List<String> dependencies = new ArrayList<>();
                for (int k = 0; i > 0 && k < random.nextInt(5); k++) {
                    dependencies.add("j-" + random.nextInt(i));
                }
                JobSpec.Priority[] priorities = JobSpec.Priority.values();
                plan(
                        dependencies,
                        priorities[random.nextInt(priorities.length)],
                        random.nextInt(3) == 0 ? 100 + random.nextInt(500) : 0);
            }
            List<Job> unseen = new ArrayList<>(pipeline);
            Collections.shuffle(unseen, random);
            while (!unseen.isEmpty() || random.nextInt(60) > 0) {
                if (!unseen.isEmpty() && random.nextBoolean()) {
                    shard.addJob(unseen.remove(0));
                } else {
                    shard.finishJob("j-" + random.nextInt(30));
                }
                expectPlainDemands("seed " + seed);
            }
        }
    }

    private void expectPlainDemands(String message) {
        Map<String, DueTimes> dueOf = new HashMap<>();
        Map<String, JobSpec.Priority> priorityOf = new HashMap<>();
        for (int i = pipeline.size() - 1; i >= 0; i--) {
            Job job = pipeline.get(i);
            if (!shard.jobs().containsKey(job.spec.id()) || job.isFinished) {
                continue;
            }
            JobSpec.Priority priority = job.spec.priority();
            DueTimes due = DueTimes.NONE;
            for (Job dependent : pipeline) {
                String id = dependent.spec.id();
                if (priorityOf.containsKey(id)
                        && dependent.dependencies().contains(job.spec.id())) {
                    priority =
                            priorityOf.get(id).compareTo(priority) < 0
                                    ? priorityOf.get(id)
                                    : priority;
                    due = due.min(demandedBy(dependent, dueOf.get(id)));
                }
            }
            priorityOf.put(job.spec.id(), priority);
            dueOf.put(job.spec.id(), due);
            assertEquals(priority, job.effectivePriority(), message + " job " + job.spec.id());
            assertEquals(due, job.startGoals.dependentsDue(), message + " job " + job.spec.id());
        }
    }

    private DueTimes demandedBy(Job job, DueTimes dependentsDue) {
        double[] own = settings.ownDeadlinesSeconds(job.spec);
        DueTimes due = dependentsDue;
        for (double seconds : own) {
            double millis = job.submittedMillis + 1000 * seconds;
            boolean isLast = seconds == own[own.length - 1];
            due = due.min(new DueTimes(millis, isLast ? millis : Double.POSITIVE_INFINITY));
        }
        double gapSeconds = 2 * settings.workers().heartbeatIntervalSeconds();
        return due.minusMillis(1000 * (job.spec.estimatedSeconds() + gapSeconds));
    }
}
