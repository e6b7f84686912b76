package io.kitepath.wire;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * What users send to submit jobs and what they get as a job's status.
 *
 * <p>Every method that decodes takes a body as {@link MessagePackCodec#decode} returns it, and
 * throws an {@link InvalidInputException} that names the first field that is wrong.
 */
public final class UserCodec {
    private static final int MAX_TASKS_PER_JOB = 100_000;
    private static final int MAX_SUBMISSION_BYTES = 64 * 1024;
    private static final int MAX_NAME_LENGTH = 200;
    private static final Pattern JOB_ID = Pattern.compile("j-[0-9]{1,18}");

    private UserCodec() {}

    /** Whether the text has the form of a job id, such as {@code j-000412}. */
    public static boolean isJobId(String text) {
        return JOB_ID.matcher(text).matches();
    }

    /** The job id in a submission; everything else may still be wrong. */
    public static String decodeSubmittedId(Object body) {
        if (MessagePackCodec.approximateJsonSize(body) > MAX_SUBMISSION_BYTES) {
            throw new InvalidInputException("body: over 64 KiB");
        }
        String jobId = DocumentReader.of(body).text("nameId");
        if (!isJobId(jobId)) {
            throw new InvalidInputException("nameId: must look like j-000412");
        }
        return jobId;
    }

    /** The job that a submission describes, without its dependencies. */
    public static JobSpec decodeSubmission(Object body) {
        DocumentReader document = DocumentReader.of(body);
        // The order decides which of several wrong fields is named.
        return JobSpec.builder(decodeSubmittedId(body))
                .jobClass(readName(document, "lane"))
                .team(readName(document, "crew"))
                .shape(parseShape(document.text("shape")))
                .priority(parsePriority(document.text("urgency")))
                .taskCount((int) document.integer("sheets", 1, MAX_TASKS_PER_JOB))
                .cpusPerTask(document.number("vcpus", 0))
                .gpusPerTask(document.number("cards", 0))
                .memoryGigabytesPerTask(document.number("ramGb", 0))
                .machineTypes(document.has("frames") ? document.texts("frames") : null)
                .zone(document.textOr("field", null))
                .singleZone(document.flag("oneZone"))
                .spreadAcrossZones(document.flag("spread"))
                .allowSpot(document.flag("loaners"))
                .image(readImage(document))
                .imageGigabytes(document.number("sizeGb", 0))
                .estimatedSeconds(document.number("expectS", 0))
                .checkpointIntervalSeconds(document.number("markEveryS", 0))
                .checkpointSaveSeconds(document.number("markCostS", 0))
                .deadlineSeconds(document.has("dueS") ? document.number("dueS", 0) : null)
                .build();
    }

    /** The jobs that have to be done before the submitted one starts, each once. */
    public static List<String> decodeDependencies(Object body) {
        DocumentReader document = DocumentReader.of(body);
        if (!document.has("awaits")) {
            return List.of();
        }
        List<String> jobIds = document.texts("awaits");
        for (String jobId : jobIds) {
            if (!isJobId(jobId)) {
                throw new InvalidInputException("awaits: must be a list of ids such as j-000412");
            }
        }
        return JobRecord.distinctSorted(jobIds);
    }

    /**
     * A job's status as its user sees it.
     *
     * @param brief without the progress, as the answer to a submission is
     */
    public static byte[] encodeJobStatus(JobStatus status, boolean brief) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("nameId", status.jobId());
        fields.put("status", status.status().equals("cancelled") ? "withdrawn" : status.status());
        if (!brief) {
            fields.put("done", (long) status.doneTaskCount());
            fields.put("running", (long) status.runningTaskCount());
            if (status.note() != null) {
                fields.put("note", status.note());
            }
        }
        return MessagePackCodec.encode(fields);
    }

    private static String readName(DocumentReader document, String field) {
        String name = document.text(field);
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            throw new InvalidInputException(field + ": must have 1 to 200 characters");
        }
        return name;
    }

    private static String readImage(DocumentReader document) {
        String image = document.text("kit");
        if (image.isEmpty()) {
            throw document.invalid("kit", "must not be empty");
        }
        return image;
    }

    private static JobSpec.Shape parseShape(String text) {
        return switch (text) {
            case "array" -> JobSpec.Shape.ARRAY;
            case "group" -> JobSpec.Shape.GANG;
            case "service" -> JobSpec.Shape.SERVICE;
            default -> throw new InvalidInputException("shape: must be array, group or service");
        };
    }

    private static JobSpec.Priority parsePriority(String text) {
        return switch (text) {
            case "production" -> JobSpec.Priority.PRODUCTION;
            case "high" -> JobSpec.Priority.HIGH;
            case "standard" -> JobSpec.Priority.NORMAL;
            case "low" -> JobSpec.Priority.LOW;
            default ->
                    throw new InvalidInputException(
                            "urgency: must be production, high, standard or low");
        };
    }
}
