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
 * @param submittedMillis by the time of day of the node that accepted it
 * @param dependencies jobs that have to be done before any task of this one starts
 * @param tasksPerPart how many tasks one of its parts holds; 0: as {@link
 *     ClusterSettings#tasksPerPart} says
 * @param nextAttempt the number of its next attempt, at least; 0 if its parts say all
 */
public record JobRecord(
        JobSpec spec,
        double submittedMillis,
        List<String> dependencies,
        int tasksPerPart,
        long nextAttempt) {
    /** After a shape's name, where earlier versions must not read the record. */
    private static final String NEWER_SHAPE_SUFFIX = "/2";

    public JobRecord {
        dependencies = List.copyOf(dependencies);
    }

    public Map<String, Object> toRecord() {
        Map<String, Object> m = spec.toRecord();
        if (!dependencies.isEmpty() || tasksPerPart > 0) {
            m.put("shape", spec.shape().name() + NEWER_SHAPE_SUFFIX);
        }
        if (!dependencies.isEmpty()) {
            m.put("needs", dependencies);
        }
        if (tasksPerPart > 0) {
            m.put("partTasks", (long) tasksPerPart);
        }
        if (nextAttempt > 0) {
            m.put("next", nextAttempt);
        }
        m.put("submittedMs", submittedMillis);
        return m;
    }

    /** Of a name that may be cut. */
    private static final int TRIMMED_NAME_LENGTH = 40;

    /**
     * What is kept of a job that is over: what it waited for does not matter any more, and where
     * its record was accepted when records could be larger, what only says where it might have run
     * is left out.
     *
     * @param extra what is said besides
     */
    public Map<String, Object> toFinishedRecord(Map<String, Object> extra, int bytes) {
        Map<String, Object> m =
                new JobRecord(spec, submittedMillis, List.of(), tasksPerPart, 0).toRecord();
        m.putAll(extra);
        if (JsonSize.sizeInBytes(m) > bytes) {
            m.put("types", null);
            for (String name : List.of("class", "image")) {
                String s = (String) m.get(name);
                m.put(name, s.substring(0, Math.min(TRIMMED_NAME_LENGTH, s.length())));
            }
        }
        return m;
    }

    /**
     * A submission's needs: each once, in their order by name, so that two records of one
     * submission are equal.
     */
    public static List<String> distinctSorted(List<String> needs) {
        Set<String> once = new TreeSet<>(needs);
        return new ArrayList<>(once);
    }

    /**
     * Reads what any version wrote.
     *
     * @throws InvalidInputException if it is not a job's record
     * @throws IllegalArgumentException if it has names that this version does not know
     */
    public static JobRecord fromRecord(String id, Object record) {
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

    static JobSpec.Shape parseShape(String name) {
        return JobSpec.Shape.valueOf(
                name.endsWith(NEWER_SHAPE_SUFFIX)
                        ? name.substring(0, name.length() - NEWER_SHAPE_SUFFIX.length())
                        : name);
    }
}
