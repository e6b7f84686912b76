package io.kitepath.core.cell;

import io.kitepath.core.model.DocumentReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The numbers of one other cell under which nothing can be accepted here any more. Without them, an
 * offer that is late or repeated could be accepted a second time after the loan had been given
 * back. All numbers below the floor are void, which the other cell raises; above it those that are
 * listed, never more than the other cell leaves open.
 */
final class SequenceNumbers {
    /** Void numbers above the floor; a cell that leaves more of them open is refused. */
    static final int MAX_LISTED = 200;

    /** The names are part of stored records. */
    private static final String FLOOR = "floor";

    private static final String LISTED = "void";

    private long floor;
    private final TreeSet<Long> listed = new TreeSet<>();

    /** Of its record, 0 while there is none. */
    private long revision;

    /**
     * Reads what {@link #toRecord} wrote.
     *
     * @throws io.kitepath.core.model.InvalidInputException if a field is missing or malformed
     */
    static SequenceNumbers fromRecord(Object record, long revision) {
        SequenceNumbers numbers = new SequenceNumbers();
        DocumentReader document = DocumentReader.of(record);
        numbers.floor = document.count(FLOOR);
        for (Object number : document.list(LISTED)) {
            numbers.listed.add(((Number) number).longValue());
        }
        numbers.revision = revision;
        return numbers;
    }

    boolean isVoid(long number) {
        return number < floor || listed.contains(number);
    }

    /** Whether no more numbers can be made void until the other cell raises the floor. */
    boolean isFull() {
        return listed.size() >= MAX_LISTED;
    }

    /** The other cell has nothing open any more below that number. */
    void raiseFloor(long lowestOpenNumber) {
        floor = Math.max(floor, lowestOpenNumber);
        listed.headSet(floor).clear();
    }

    /** Makes the number void. */
    void add(long number) {
        if (number >= floor) {
            listed.add(number);
        }
    }

    /** The stored form. */
    Map<String, Object> toRecord() {
        List<Object> numbers = new ArrayList<>(listed);
        Map<String, Object> record = new LinkedHashMap<>();
        record.put(FLOOR, floor);
        record.put(LISTED, numbers);
        return record;
    }

    long revision() {
        return revision;
    }

    /** The store has the record at this revision. */
    void onCommitted(long committedRevision) {
        revision = committedRevision;
    }

    @Override
    public String toString() {
        return toRecord().toString();
    }
}
