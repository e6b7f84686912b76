package io.kitepath.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A job as it is kept in the state service.
 *
 * <p>Earlier versions read these records too, and take no notice of fields that they do not know. A
 * record that would mean something else without those (the job waits for others; its parts are laid
 * out another way) has a shape that they can't read: they say so in their log and place nothing of
 * it, but accept, show and cancel it as any other job. Guards against a node of an earlier version
 * that comes back and starts a job before those that it needs, or reads a part's key as other tasks
 * and starts them twice.
 *
 * @param submittedMs by the time of day of the node that accepted it
 * @param needs jobs that have to be done before any task of this one starts
 * @param partTasks how many tasks one of its parts holds; 0: as {@link
 *     ClusterSettings#tasksPerPart} says
 * @param next the number of its next attempt, at least; 0 if its parts say all
 */
public record JobRecord(
        JobSpec spec, double submittedMs, List<String> needs, int partTasks, long next) {
    /** After a shape's name, where earlier versions must not read the record. */
    private static final String LATER = "/2";

    public JobRecord {
        needs = List.copyOf(needs);
    }

    public Map<String, Object> toMap() {
        Map<String, Object> m = spec.toRecord();
        if (!needs.isEmpty() || partTasks > 0) {
            m.put("shape", spec.shape().name() + LATER);
        }
        if (!needs.isEmpty()) {
            m.put("needs", needs);
        }
        if (partTasks > 0) {
            m.put("partTasks", (long) partTasks);
        }
        if (next > 0) {
            m.put("next", next);
        }
        m.put("submittedMs", submittedMs);
        return m;
    }

    /** Of a name that may be cut. */
    private static final int SLIM = 40;

    /**
     * What is kept of a job that is over: what it waited for does not matter any more, and where
     * its record was accepted when records could be larger, what only says where it might have run
     * is left out.
     *
     * @param extra what is said besides
     */
    public Map<String, Object> overMap(Map<String, Object> extra, int bytes) {
        Map<String, Object> m = new JobRecord(spec, submittedMs, List.of(), partTasks, 0).toMap();
        m.putAll(extra);
        if (JsonSize.size(m) > bytes) {
            m.put("types", null);
            for (String name : List.of("class", "image")) {
                String s = (String) m.get(name);
                m.put(name, s.substring(0, Math.min(SLIM, s.length())));
            }
        }
        return m;
    }

    /**
     * A submission's needs: each once, in their order by name, so that two records of one
     * submission are equal.
     */
    public static List<String> distinct(List<String> needs) {
        Set<String> once = new TreeSet<>(needs);
        return new ArrayList<>(once);
    }

    /**
     * Reads what any version wrote.
     *
     * @throws InvalidInputException if it is not a job's record
     * @throws IllegalArgumentException if it has names that this version does not know
     */
    public static JobRecord of(String id, Object record) {
        DocumentReader document = DocumentReader.of(record);
        return new JobRecord(
                JobSpec.fromRecord(id, record),
                document.number("submittedMs", 0),
                document.has("needs") ? document.texts("needs") : List.of(),
                document.has("partTasks")
                        ? (int) document.integer("partTasks", 1, Integer.MAX_VALUE)
                        : 0,
                document.has("next") ? document.count("next") : 0);
    }

    static JobSpec.Shape shape(String name) {
        return JobSpec.Shape.valueOf(
                name.endsWith(LATER) ? name.substring(0, name.length() - LATER.length()) : name);
    }
}
