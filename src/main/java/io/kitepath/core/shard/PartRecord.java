package io.kitepath.core.shard;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JsonSize;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;

/**
 * The stored form of a {@link JobPart}: the number of the job's next attempt, one bit per task that
 * is set if the task is done, the live attempts by machine, and, for a job with dependencies, the
 * time since which it is eligible.
 *
 * <p>An instance reads one record; each field is validated when it is read.
 */
public final class PartRecord {
    private static final String NEXT_ATTEMPT = "next";
    private static final String DONE = "done";
    private static final String LIVE = "live";
    private static final String ELIGIBLE_SINCE = "ready";

    /** Size of a record without done bits and attempts: names, punctuation and two numbers. */
    private static final int FIXED_BYTES = 110;

    /** Maximum size of an attempt on a machine that has no other attempt of the part. */
    private static final int MAX_ATTEMPT_BYTES = 32;

    /** Size of the separators of an attempt's two numbers: two commas and spaces. */
    private static final int ATTEMPT_SEPARATOR_BYTES = 4;

    /** Size of the punctuation of a machine's id: quotes, colon, brackets and separators. */
    private static final int MACHINE_SEPARATOR_BYTES = 8;

    /** An attempt that is or may be on a machine. */
    record PlacedAttempt(String machineId, int task, long number) {}

    private final DocumentReader document;

    private PartRecord(DocumentReader document) {
        this.document = document;
    }

    // ---- size -----------------------------------------------------------------------------------

    /**
     * An upper bound, in bytes, of the record of a part of {@code tasksPerPart} tasks without
     * attempts.
     */
    static int bytesWithoutAttempts(int tasksPerPart) {
        int doneBytes = (tasksPerPart + 7) / 8;
        int base64Bytes = doneBytes * 4 / 3 + 4;
        return FIXED_BYTES + base64Bytes;
    }

    /**
     * The size of the attempt in bytes, including its machine's id if no other attempt names it.
     */
    static int attemptBytes(Attempt attempt, boolean isOnlyAttemptOnMachine) {
        return JsonSize.digits(attempt.task)
                + JsonSize.digits(attempt.number)
                + ATTEMPT_SEPARATOR_BYTES
                + (isOnlyAttemptOnMachine
                        ? attempt.machine.id.length() + MACHINE_SEPARATOR_BYTES
                        : 0);
    }

    /** Whether {@code attemptCount} more attempts fit into a record of {@code recordBytes}. */
    static boolean fitsAttempts(int attemptCount, int recordBytes, int maxRecordBytes) {
        return recordBytes + attemptCount * MAX_ATTEMPT_BYTES <= maxRecordBytes;
    }

    // ---- writing --------------------------------------------------------------------------------

    /**
     * Builds the record of a part.
     *
     * @param doneTasks one bit per task of the part, set if the task is done; bit 0 is the first
     *     task
     * @param liveAttempts the part's live attempts, by task
     * @param eligibleSinceMillis present for a job with dependencies, in milliseconds since 1970
     */
    static Map<String, Object> toRecord(
            long nextAttempt,
            BitSet doneTasks,
            Collection<Attempt> liveAttempts,
            OptionalDouble eligibleSinceMillis) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put(NEXT_ATTEMPT, nextAttempt);
        record.put(DONE, Base64.getEncoder().encodeToString(doneTasks.toByteArray()));
        record.put(LIVE, tasksAndNumbersByMachine(liveAttempts));
        if (eligibleSinceMillis.isPresent()) {
            record.put(ELIGIBLE_SINCE, eligibleSinceMillis.getAsDouble());
        }
        return record;
    }

    /** Alternating tasks and attempt numbers by machine id, sorted by machine id. */
    private static Map<String, List<Object>> tasksAndNumbersByMachine(
            Collection<Attempt> liveAttempts) {
        Map<String, List<Object>> byMachine = new TreeMap<>();
        for (Attempt attempt : liveAttempts) {
            List<Object> tasksAndNumbers =
                    byMachine.computeIfAbsent(attempt.machine.id, id -> new ArrayList<>());
            tasksAndNumbers.add((long) attempt.task);
            tasksAndNumbers.add(attempt.number);
        }
        return byMachine;
    }

    // ---- reading --------------------------------------------------------------------------------

    /**
     * Creates a reader of the record.
     *
     * @throws InvalidInputException if the value is not a map
     */
    static PartRecord of(Object record) {
        return new PartRecord(DocumentReader.of(record));
    }

    /**
     * The number of the job's next attempt.
     *
     * @throws InvalidInputException if the field is missing or not a count
     */
    long nextAttempt() {
        return document.count(NEXT_ATTEMPT);
    }

    /**
     * One bit per task of the part, set if the task is done; bit 0 is the first task.
     *
     * @throws InvalidInputException if the field is missing or not text in Base64
     */
    BitSet doneTasks() {
        try {
            return BitSet.valueOf(Base64.getDecoder().decode(document.text(DONE)));
        } catch (IllegalArgumentException notBase64) {
            throw document.invalid(DONE, notBase64.getMessage());
        }
    }

    /**
     * The time since which the job is eligible, in milliseconds since 1970; 0 if the field is
     * missing.
     *
     * @throws InvalidInputException if it is not a number of 0 or more
     */
    double eligibleSinceMillis() {
        return document.numberOr(ELIGIBLE_SINCE, 0, 0);
    }

    /**
     * The attempts that are or may be on machines.
     *
     * @throws InvalidInputException if the field is missing or not in the stored format
     */
    List<PlacedAttempt> placedAttempts() {
        if (!(document.raw(LIVE) instanceof Map<?, ?> byMachine)) {
            throw document.invalid(LIVE, "must be a map");
        }
        List<PlacedAttempt> attempts = new ArrayList<>();
        byMachine.forEach(
                (machineId, tasksAndNumbers) ->
                        attempts.addAll(attemptsOnMachine(machineId, tasksAndNumbers)));
        return attempts;
    }

    private List<PlacedAttempt> attemptsOnMachine(Object machineId, Object tasksAndNumbers) {
        if (!(machineId instanceof String id)
                || !(tasksAndNumbers instanceof List<?> numbers)
                || numbers.size() % 2 != 0) {
            throw document.invalid(LIVE, "must have pairs of numbers by machine");
        }
        List<PlacedAttempt> attempts = new ArrayList<>();
        for (int i = 0; i < numbers.size(); i += 2) {
            if (!(numbers.get(i) instanceof Long task)
                    || !(numbers.get(i + 1) instanceof Long number)
                    || task < 0
                    || task > Integer.MAX_VALUE) {
                throw document.invalid(LIVE, "must have a task and its attempt's number");
            }
            attempts.add(new PlacedAttempt(id, task.intValue(), number));
        }
        return attempts;
    }

    /**
     * Checks that the job has all tasks that a record of it names.
     *
     * @param endTask the task after the last done task
     * @throws InvalidInputException if the job does not have all these tasks
     */
    static void requireTasksBelow(int taskCount, int endTask, List<PlacedAttempt> placed) {
        if (endTask > taskCount
                || placed.stream().anyMatch(attempt -> attempt.task() >= taskCount)) {
            throw new InvalidInputException("names tasks that the job does not have");
        }
    }

    /**
     * Computes a job's progress from its parts' records, for a node that does not have the job in
     * memory. Placed tasks count as running, as a record does not distinguish them.
     *
     * @throws InvalidInputException if one of the values is not the record of a part
     */
    public static JobProgress progress(String jobId, List<Object> records) {
        int doneTaskCount = 0;
        int placedTaskCount = 0;
        for (Object value : records) {
            PartRecord record = of(value);
            doneTaskCount += record.doneTasks().cardinality();
            placedTaskCount += record.placedAttempts().size();
        }
        return new JobProgress(jobId, doneTaskCount, placedTaskCount, null);
    }
}
