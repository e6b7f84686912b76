package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.InvalidInputException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the stored form of a job's loans. */
class TaskLoanTest {
    @Test
    void loanRecordKeepsStoredFormAndRejectsIncompleteEntries() {
        List<TaskLoan> loans =
                List.of(new TaskLoan(1, "west", 2, 6, 0), new TaskLoan(2, "east", 6, 8, 0));
        assertEquals(
                "{loans=[[1, west, 2, 6], [2, east, 6, 8]]}", TaskLoan.toRecord(loans).toString());
        assertEquals(
                Map.of("loans", List.of(List.of(1L, "west", 2L, 6L), List.of(2L, "east", 6L, 8L))),
                TaskLoan.toRecord(loans));
        List<TaskLoan> read = TaskLoan.fromRecord(TaskLoan.toRecord(loans), 30);
        assertEquals(TaskLoan.toRecord(loans), TaskLoan.toRecord(read));
        assertTrue(read.get(1).isRecorded);
        assertEquals(30, read.get(1).offeredAt);
        InvalidInputException thrown =
                assertThrows(
                        InvalidInputException.class,
                        () -> TaskLoan.fromRecord(Map.of("loans", List.of(List.of(1L))), 0));
        assertEquals("loans: must be lists of number, cell, first and last", thrown.getMessage());
    }
}
