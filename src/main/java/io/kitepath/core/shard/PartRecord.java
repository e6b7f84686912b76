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
 * The stored form of a {@link JobPart}: the number of the job's next attempt, a bit per task that
 * is done, the live attempts by machine, and for a job with dependencies since when it is eligible.
 *
 * <p>An instance reads one record; the fields are checked as they are asked for.
 */
public final class PartRecord {
    private static final String NEXT_ATTEMPT = "next";
    private static final String DONE = "done";
    private static final String LIVE = "live";
    private static final String ELIGIBLE_SINCE = "ready";

    /** Bytes of a record without done bits and attempts: names, punctuation and two numbers. */
    private static final int FIXED_BYTES = 110;

    /** Bytes of one attempt on a machine that has no other attempt of the part, at most. */
    private static final int MAX_ATTEMPT_BYTES = 32;

    /** Around an attempt's two numbers: two commas and spaces. */
    private static final int ATTEMPT_SEPARATOR_BYTES = 4;

    /** Around a machine's id: quotes, colon, brackets and separators. */
    private static final int MACHINE_SEPARATOR_BYTES = 8;

    /** An attempt that is, or may be, on a machine. */
    record PlacedAttempt(String machineId, int task, long number) {}

    private final DocumentReader document;

    private PartRecord(DocumentReader document) {
        this.document = document;
    }

    // ---- size -----------------------------------------------------------------------------------

    /** An upper bound, in bytes, of the record of a part of so many tasks without attempts. */
    static int bytesWithoutAttempts(int tasksPerPart) {
        int doneBytes = (tasksPerPart + 7) / 8;
        int base64Bytes = doneBytes * 4 / 3 + 4;
        return FIXED_BYTES + base64Bytes;
    }

    /** The bytes that the attempt takes, with its machine's id where no other attempt names it. */
    static int attemptBytes(Attempt attempt, boolean isOnlyOneOnMachine) {
        return JsonSize.digits(attempt.task)
                + JsonSize.digits(attempt.number)
                + ATTEMPT_SEPARATOR_BYTES
                + (isOnlyOneOnMachine ? attempt.machine.id.length() + MACHINE_SEPARATOR_BYTES : 0);
    }

    /** Whether a record of {@code bytes} can take {@code attempts} more attempts. */
    static boolean hasRoomFor(int attempts, int bytes, int maxRecordBytes) {
        return bytes + attempts * MAX_ATTEMPT_BYTES <= maxRecordBytes;
    }

    // ---- writing --------------------------------------------------------------------------------

    /**
     * @param done a bit per task of the part, counted from the part's first task
     * @param live the part's live attempts, by task
     * @param eligibleSinceMillis of a job with dependencies, in milliseconds since 1970
     */
    static Map<String, Object> toRecord(
            long nextAttempt,
            BitSet done,
            Collection<Attempt> live,
            OptionalDouble eligibleSinceMillis) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put(NEXT_ATTEMPT, nextAttempt);
        record.put(DONE, Base64.getEncoder().encodeToString(done.toByteArray()));
        record.put(LIVE, tasksAndNumbersByMachine(live));
        if (eligibleSinceMillis.isPresent()) {
            record.put(ELIGIBLE_SINCE, eligibleSinceMillis.getAsDouble());
        }
        return record;
    }

    /** Machines by name, each with task and attempt number of its attempts in turn. */
    private static Map<String, List<Object>> tasksAndNumbersByMachine(Collection<Attempt> live) {
        Map<String, List<Object>> byMachine = new TreeMap<>();
        for (Attempt attempt : live) {
            List<Object> tasksAndNumbers =
                    byMachine.computeIfAbsent(attempt.machine.id, id -> new ArrayList<>());
            tasksAndNumbers.add((long) attempt.task);
            tasksAndNumbers.add(attempt.number);
        }
        return byMachine;
    }

    // ---- reading --------------------------------------------------------------------------------

    /**
     * @throws InvalidInputException if the value is not a map
     */
    static PartRecord of(Object record) {
        return new PartRecord(DocumentReader.of(record));
    }

    /**
     * @throws InvalidInputException if the field is missing or not a count
     */
    long nextAttempt() {
        return document.count(NEXT_ATTEMPT);
    }

    /**
     * A bit per task of the part, counted from the part's first task.
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
     * In milliseconds since 1970, 0 where the record does not say.
     *
     * @throws InvalidInputException if it is not a number of 0 or more
     */
    double eligibleSinceMillis() {
        return document.numberOr(ELIGIBLE_SINCE, 0, 0);
    }

    /**
     * What is, or may be, on machines.
     *
     * @throws InvalidInputException if the field is missing or not of the form that is written
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
     * Checks what a record names against the job that it is of.
     *
     * @param endTask the task after the last one that is done
     * @throws InvalidInputException if the job does not have these tasks
     */
    static void requireTasksBelow(int taskCount, int endTask, List<PlacedAttempt> placed) {
        if (endTask > taskCount
                || placed.stream().anyMatch(attempt -> attempt.task() >= taskCount)) {
            throw new InvalidInputException("names tasks that the job does not have");
        }
    }

    /**
     * A job's progress as its parts' records have it, for a node that does not hold the job in
     * memory. Placed tasks count as running, as a record does not tell them apart.
     *
     * @throws InvalidInputException if a record is not one of a part
     */
    public static JobProgress progress(String jobId, List<Object> records) {
        int done = 0;
        int placed = 0;
        for (Object value : records) {
            PartRecord record = of(value);
            done += record.doneTasks().cardinality();
            placed += record.placedAttempts().size();
        }
        return new JobProgress(jobId, done, placed, null);
    }
}
