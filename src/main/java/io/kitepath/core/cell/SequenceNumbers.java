package io.kitepath.core.cell;

import io.kitepath.core.model.DocumentReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Which numbers of one home can never be taken here any more. Guards against an offer that comes
 * late, or once more, after what was lent under it has been given back, and starts it a second
 * time. Below the floor, which the home raises, all are void; above it those that are listed, of
 * which there are never more than the home keeps out.
 */
final class SequenceNumbers {
    /**
     * Numbers of one home that may be void above its floor; a home that leaves more of them
     * unsettled is refused.
     */
    static final int MAX_LISTED = 200;

    private long floor;
    private final TreeSet<Long> listed = new TreeSet<>();

    /** Of its record, 0 while there is none. */
    private long revision;

    /** What {@link #record} wrote. */
    static SequenceNumbers read(Object record, long revision) {
        SequenceNumbers numbers = new SequenceNumbers();
        DocumentReader document = DocumentReader.of(record);
        numbers.floor = document.count("floor");
        for (Object o : document.list("void")) {
            numbers.listed.add(((Number) o).longValue());
        }
        numbers.revision = revision;
        return numbers;
    }

    boolean isVoid(long number) {
        return number < floor || listed.contains(number);
    }

    boolean isFull() {
        return listed.size() >= MAX_LISTED;
    }

    /** The home has nothing out any more below that number. */
    void raiseFloor(long to) {
        floor = Math.max(floor, to);
        listed.headSet(floor).clear();
    }

    void add(long number) {
        if (number >= floor) {
            listed.add(number);
        }
    }

    Map<String, Object> record() {
        List<Object> list = new ArrayList<>(listed);
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("floor", floor);
        m.put("void", list);
        return m;
    }

    long revision() {
        return revision;
    }

    void recorded(long atRevision) {
        revision = atRevision;
    }

    @Override
    public String toString() {
        return record().toString();
    }
}
