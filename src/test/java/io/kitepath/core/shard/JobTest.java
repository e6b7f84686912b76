package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests a job's tasks, its parts and their stored form. */
class JobTest {
    private static final int TASKS_PER_PART = 4;

    /** Size of the record of a part of {@link #TASKS_PER_PART} tasks without attempts. */
    private static final int EMPTY_PART_BYTES = 115;

    /** Size that is reserved in a record for one more attempt. */
    private static final int MAX_ATTEMPT_BYTES = 32;

    private final ClusterSettings settings = new SimulatedCluster().settings("k1");
    private final ShardState shard = new ShardState(settings, machine -> {});

    private Job arrayJob(String id, int tasks, String... dependencies) {
        JobSpec spec = SimulatedCluster.job(id, Shape.ARRAY, tasks, 1);
        JobRecord record = new JobRecord(spec, 5000, List.of(dependencies), 0, 0);
        Job job = Job.of(record, settings, "jobs/open/" + id, 1, TASKS_PER_PART);
        shard.addJob(job);
        return job;
    }

    private static Map<String, Object> partRecord(
            long nextAttempt, String done, Map<String, ?> live) {
        return Map.of("next", nextAttempt, "done", done, "live", live);
    }

    @Test
    void partRecordKeepsFieldOrderAndListsAttemptsByMachine() {
        Job job = arrayJob("j-1", 10);
        Map<String, List<Long>> live =
                Map.of("i-2", List.of(1L, 3L, 3L, 4L), "i-1", List.of(2L, 4L));
        shard.restorePart(job, 0, partRecord(6, "AQ==", live), 7, 0);

        assertEquals(
                "{next=6, done=AQ==, live={i-1=[2, 4], i-2=[1, 3, 3, 4]}}",
                job.partRecord(0).toString());
        assertEquals(partRecord(6, "AQ==", live), job.partRecord(0));
        assertEquals("{next=6, done=, live={}}", job.partRecord(2).toString());
        assertEquals(7, job.part(0).revision());
        assertTrue(job.hasPartRecords());
    }

    @Test
    void partRecordOfStartedJobWithDependenciesContainsEligibleTime() {
        Job job = arrayJob("j-2", 4, "j-1");
        assertTrue(job.isHeld());
        Map<String, Object> record =
                Map.of("next", 3L, "done", "", "live", Map.of(), "ready", 9000.0);
        shard.restorePart(job, 0, record, 7, 0);

        assertFalse(job.isHeld());
        assertEquals(9000, job.eligibleSinceMillis());
        assertEquals(4, job.heldSeconds());
        assertEquals("{next=3, done=, live={}, ready=9000.0}", job.partRecord(0).toString());
    }

    @Test
    void partRecordForAnotherPartSizeIsEmptyWithoutDoneTasksOrAttempts() {
        Job job = arrayJob("j-1", 10);
        shard.restorePart(job, 1, partRecord(6, "AQ==", Map.of("i-1", List.of(6L, 5L))), 7, 0);

        assertEquals(Optional.empty(), job.partRecordOf(0, 2));
        assertEquals(Optional.empty(), job.partRecordOf(1, 2));
        assertEquals(
                "{next=6, done=AQ==, live={}}", job.partRecordOf(2, 2).orElseThrow().toString());
        assertEquals(
                "{next=6, done=, live={i-1=[6, 5]}}",
                job.partRecordOf(3, 2).orElseThrow().toString());
        assertEquals(Optional.empty(), job.partRecordOf(4, 2));
    }

    @Test
    void rejectsPartRecordWithoutDoneBitsAfterRestoringRevisionAndCounter() {
        Job job = arrayJob("j-1", 10);
        assertThrows(
                InvalidInputException.class,
                () -> shard.restorePart(job, 0, Map.of("next", 9L, "live", Map.of()), 7, 0));
        assertEquals(7, job.part(0).revision());
        assertEquals(9, job.nextAttempt());
    }

    private static void assertRecordBytes(int expected, Job job, int task) {
        assertTrue(job.fitsRecord(task, expected + MAX_ATTEMPT_BYTES));
        assertFalse(job.fitsRecord(task, expected + MAX_ATTEMPT_BYTES - 1));
    }

    @Test
    void recordBytesCountEachMachineOnceAndShrinkWhenAttemptsAreRemoved() {
        Job job = arrayJob("j-1", 10);
        assertRecordBytes(EMPTY_PART_BYTES, job, 0);
        Machine machine = shard.getOrAddMachine("i-1", 0);
        shard.place(job, 0, machine, 1);
        assertRecordBytes(EMPTY_PART_BYTES + 17, job, 0);
        shard.place(job, 1, machine, 1);
        assertRecordBytes(EMPTY_PART_BYTES + 23, job, 0);
        assertRecordBytes(EMPTY_PART_BYTES, job, TASKS_PER_PART);
        new ArrayList<>(job.liveAttempts().values())
                .forEach(attempt -> shard.stopAttempt(attempt, 0));
        assertRecordBytes(EMPTY_PART_BYTES, job, 0);
        assertTrue(job.liveAttempts().isEmpty());
    }

    @Test
    void allTasksFitRecordAtExactByteLimitAndNotOneByteBelow() {
        JobSpec spec = SimulatedCluster.job("j-1", Shape.GANG, 10, 1);
        assertTrue(Job.allTasksFitRecords(spec, 4, EMPTY_PART_BYTES + 4 * MAX_ATTEMPT_BYTES));
        assertFalse(Job.allTasksFitRecords(spec, 4, EMPTY_PART_BYTES + 4 * MAX_ATTEMPT_BYTES - 1));
        assertTrue(Job.allTasksFitRecords(spec, 16, EMPTY_PART_BYTES + 1 + 10 * MAX_ATTEMPT_BYTES));
        assertFalse(
                Job.allTasksFitRecords(
                        spec, 16, EMPTY_PART_BYTES + 1 + 10 * MAX_ATTEMPT_BYTES - 1));
    }

    @Test
    void placementIsDirtyUntilItsVersionIsStored() {
        Job job = arrayJob("j-1", 10);
        shard.place(job, 5, shard.getOrAddMachine("i-1", 0), 1);
        JobPart part = job.part(1);
        assertEquals(List.of(part), shard.dirtyParts().withPlacements());
        assertTrue(part.isDirty() && part.hasUnwrittenPlacement());
        assertFalse(job.part(0).isDirty());
        int version = job.version();
        shard.dirtyParts().remove(part);

        shard.markPartWritten(part, version - 1, 8);
        assertEquals(List.of(part), shard.dirtyParts().withPlacements());
        assertFalse(job.liveAttempts().get(5).isDurable());

        shard.dirtyParts().remove(part);
        shard.markPartWritten(part, version, 9);
        assertFalse(part.isDirty() || part.hasUnwrittenPlacement());
        assertEquals(List.of(), shard.dirtyParts().withPlacements());
        assertEquals(List.of(), shard.dirtyParts().withOtherChanges());
        assertTrue(job.liveAttempts().get(5).isDurable());
    }

    @Test
    void progressOfRecordsCountsDoneAndPlacedTasks() {
        assertEquals(
                new JobProgress("j-1", 3, 2, null),
                PartRecord.progress(
                        "j-1",
                        List.of(
                                partRecord(6, "AQ==", Map.of("i-1", List.of(2L, 4L, 3L, 5L))),
                                partRecord(2, "Aw==", Map.of()))));
    }

    @Test
    void lentTasksAreNotPlacedUntilTheLoanIsClosed() {
        Job job = arrayJob("j-1", 10);
        TaskLoan loan = new TaskLoan(1, "west", 2, 6, 0);
        int version = job.version();
        job.lend(loan);
        assertEquals(version + 1, job.version());
        assertEquals(6, job.waitingTasks());
        assertEquals(10, job.unfinishedTaskCount());
        assertEquals(6, job.nextWaitingTask(2));
        assertFalse(job.isPlaceable(5));

        BitSet done = new BitSet();
        done.set(1);
        done.set(7);
        job.closeLoan(loan, done);
        assertEquals(version + 2, job.version());
        assertTrue(job.isDone(3));
        assertFalse(job.isDone(9), "outside the loan");
        assertEquals(9, job.waitingTasks());
        assertEquals(2, job.nextWaitingTask(2));
        assertEquals(4, job.nextWaitingTask(3));
        assertTrue(job.part(0).isDirty());
        assertFalse(job.part(1).isDirty());
        assertEquals(List.of(loan), job.loans());
        job.removeLoan(loan);
        assertEquals(List.of(), job.loans());
    }

    @Test
    void borrowedJobHasOnlyLentTasks() {
        JobSpec spec = SimulatedCluster.job("j-1", Shape.ARRAY, 10, 1);
        Job job = Job.borrowed(spec, 5000, new double[] {60}, "guests/j-1", 1, 4, 2, 5);
        assertTrue(job.isBorrowed);
        assertEquals(3, job.unfinishedTaskCount());
        assertEquals(3, job.waitingTasks());
        assertEquals(2, job.nextWaitingTask(0));
        assertEquals(-1, job.nextWaitingTask(5));
        assertEquals(new JobRecord(spec, 5000, List.of(), 0, 0), job.record());
        assertEquals(List.of(), job.dependencies());
    }
}
