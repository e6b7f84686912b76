package io.kitepath.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A job as it is kept in the state service.
 *
 * <p>Earlier versions read these records too, and ignore fields that they do not know. A record
 * that would mean something else without those (the job waits for others; its parts are laid out
 * another way) has a shape that they can't read: they log an error and place nothing of it, but
 * accept, show and cancel it as any other job. Guards against a node of an earlier version that
 * comes back and starts a job before those that it depends on, or reads a part's key as other tasks
 * and starts them twice.
 *
 * @param submittedMillis milliseconds since 1970, by the clock of the node that accepted it
 * @param dependencies ids of the jobs that have to be done before any task of this one starts
 * @param tasksPerPart how many tasks one of its parts holds; 0: as {@link
 *     ClusterSettings#tasksPerPart} says
 * @param nextAttempt its next attempt gets at least this number; 0 if its parts say all
 */
public record JobRecord(
        JobSpec spec,
        double submittedMillis,
        List<String> dependencies,
        int tasksPerPart,
        long nextAttempt) {
    /** Follows the name of a shape where earlier versions must not read the record. */
    private static final String NEWER_SHAPE_SUFFIX = "/2";

    /** Names of a job that is over are cut to this many characters if its record is too large. */
    private static final int TRIMMED_NAME_LENGTH = 40;

    /** Copies the list of dependencies. */
    public JobRecord {
        dependencies = List.copyOf(dependencies);
    }

    /** The stored form; see {@link #fromRecord}. */
    public Map<String, Object> toRecord() {
        Map<String, Object> fields = spec.toRecord();
        if (!dependencies.isEmpty() || tasksPerPart > 0) {
            fields.put("shape", spec.shape().name() + NEWER_SHAPE_SUFFIX);
        }
        if (!dependencies.isEmpty()) {
            fields.put("needs", dependencies);
        }
        if (tasksPerPart > 0) {
            fields.put("partTasks", (long) tasksPerPart);
        }
        if (nextAttempt > 0) {
            fields.put("next", nextAttempt);
        }
        fields.put("submittedMs", submittedMillis);
        return fields;
    }

    /**
     * The stored form of a job that is over: without what it waited for, which does not matter any
     * more. A record that was accepted when values could be larger is cut: it loses what only says
     * where the job might have run.
     *
     * @param outcome how the job ended, added to its fields
     * @param maxBytes how large the record may be
     */
    public Map<String, Object> toFinishedRecord(Map<String, Object> outcome, int maxBytes) {
        Map<String, Object> fields =
                new JobRecord(spec, submittedMillis, List.of(), tasksPerPart, 0).toRecord();
        fields.putAll(outcome);
        if (JsonSize.sizeInBytes(fields) > maxBytes) {
            fields.put("types", null);
            for (String field : List.of("class", "image")) {
                String name = (String) fields.get(field);
                fields.put(field, name.substring(0, Math.min(TRIMMED_NAME_LENGTH, name.length())));
            }
        }
        return fields;
    }

    /**
     * A submission's dependencies: each once, in the order of their ids, so that two records of one
     * submission are equal.
     */
    public static List<String> distinctSorted(List<String> dependencies) {
        return new ArrayList<>(new TreeSet<>(dependencies));
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

    /** The shape that a record names, whichever versions may read it. */
    static JobSpec.Shape parseShape(String text) {
        return JobSpec.Shape.valueOf(
                text.endsWith(NEWER_SHAPE_SUFFIX)
                        ? text.substring(0, text.length() - NEWER_SHAPE_SUFFIX.length())
                        : text);
    }
}
