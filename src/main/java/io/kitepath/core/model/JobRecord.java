package io.kitepath.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A job as stored in the state service.
 *
 * <p>Earlier versions read these records too and ignore unknown fields. A record whose meaning
 * depends on such fields (the job has dependencies, or its parts have another layout) gets a shape
 * that earlier versions cannot parse: they log an error and place none of its tasks, but accept,
 * show and cancel the job like any other. Guards against a node of an earlier version that becomes
 * active again and starts a job before its dependencies, or maps a part's key to other tasks and
 * starts them twice.
 *
 * @param submittedMillis when the job was submitted, in milliseconds since 1970 by the clock of the
 *     node that accepted it
 * @param dependencies the ids of the jobs that have to be done before any task of this job starts
 * @param tasksPerPart the number of tasks in one part of the job; 0: as given by {@link
 *     ClusterSettings#tasksPerPart}
 * @param nextAttempt the lowest number for the job's next attempt; 0 if the records of its parts
 *     suffice to determine it
 */
public record JobRecord(
        JobSpec spec,
        double submittedMillis,
        List<String> dependencies,
        int tasksPerPart,
        long nextAttempt) {
    /** Suffix of the shape's name that prevents earlier versions from reading the record. */
    private static final String NEWER_SHAPE_SUFFIX = "/2";

    /**
     * Length in characters to which names in a finished job's record are cut if the record is too
     * large.
     */
    private static final int TRIMMED_NAME_CHARS = 40;

    /** Creates a record with a copy of the list of dependencies. */
    public JobRecord {
        dependencies = List.copyOf(dependencies);
    }

    /** Returns the stored form; see {@link #fromRecord}. */
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
     * Returns the stored form of a finished job, without its dependencies, which are no longer
     * needed. If the record is too large because it was accepted under a higher value size limit,
     * fields that only affect where the job could run are dropped or cut.
     *
     * @param outcome the fields that describe how the job ended
     * @param maxBytes the size limit of the record
     */
    public Map<String, Object> toFinishedRecord(Map<String, Object> outcome, int maxBytes) {
        Map<String, Object> fields =
                new JobRecord(spec, submittedMillis, List.of(), tasksPerPart, 0).toRecord();
        fields.putAll(outcome);
        if (JsonSize.sizeInBytes(fields) > maxBytes) {
            fields.put("types", null);
            for (String field : List.of("class", "image")) {
                String name = (String) fields.get(field);
                fields.put(field, name.substring(0, Math.min(TRIMMED_NAME_CHARS, name.length())));
            }
        }
        return fields;
    }

    /**
     * Returns the dependencies of a submission without duplicates and sorted by id, so that two
     * records of one submission are equal.
     */
    public static List<String> distinctSorted(List<String> dependencies) {
        return new ArrayList<>(new TreeSet<>(dependencies));
    }

    /**
     * Reads a record that any version wrote.
     *
     * @throws InvalidInputException if {@code record} is not a job's record
     * @throws IllegalArgumentException if it contains names that are unknown to this version
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

    /** Returns the shape that a record names, with or without the suffix for newer versions. */
    static JobSpec.Shape parseShape(String storedShape) {
        return JobSpec.Shape.valueOf(
                storedShape.endsWith(NEWER_SHAPE_SUFFIX)
                        ? storedShape.substring(
                                0, storedShape.length() - NEWER_SHAPE_SUFFIX.length())
                        : storedShape);
    }
}
