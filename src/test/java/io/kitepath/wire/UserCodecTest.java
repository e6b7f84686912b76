package io.kitepath.wire;

import static io.kitepath.wire.ProtocolExamples.SUBMISSION;
import static io.kitepath.wire.ProtocolExamples.json;
import static io.kitepath.wire.ProtocolExamples.received;
import static io.kitepath.wire.ProtocolExamples.submissionFields;
import static io.kitepath.wire.ProtocolExamples.throughBytes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class UserCodecTest {
    private static final int MIN_WRONG_VALUES_REFUSED = 4;

    @Test
    void submissionOfTheProtocolIsDecodedAndSurvivesItsStoredForm() {
        JobSpec spec = UserCodec.decodeSubmission(received(SUBMISSION));
        assertEquals(
                JobSpec.builder("j-000412")
                        .jobClass("train")
                        .team("vision")
                        .shape(JobSpec.Shape.GANG)
                        .priority(JobSpec.Priority.HIGH)
                        .taskCount(16)
                        .cpusPerTask(8)
                        .gpusPerTask(1)
                        .memoryGigabytesPerTask(64)
                        .machineTypes(List.of("g8"))
                        .zone(null)
                        .singleZone(true)
                        .spreadAcrossZones(false)
                        .allowSpot(true)
                        .image("img-07")
                        .imageGigabytes(6.2)
                        .estimatedSeconds(240)
                        .checkpointIntervalSeconds(30)
                        .checkpointSaveSeconds(4)
                        .deadlineSeconds(900.0)
                        .build(),
                spec);
        assertEquals(spec, JobSpec.fromRecord(spec.id(), throughBytes(spec.toRecord())));
    }

    @Test
    void fieldsThatMayBeNullMayBeMissingAndUnknownOnesAreIgnored() {
        Map<String, Object> fields = submissionFields();
        List.of("frames", "field", "dueS").forEach(fields::remove);
        fields.put("somethingNew", 5L);
        JobSpec spec = UserCodec.decodeSubmission(throughBytes(fields));
        assertNull(spec.machineTypes());
        assertNull(spec.deadlineSeconds());
    }

    @Test
    void wrongValueOfEachFieldIsRefusedWithItsName() {
        Object[] wrongValues = {
            "x", -1.0, Double.NaN, Double.POSITIVE_INFINITY, true, List.of(), null, 1e300
        };
        for (String field : submissionFields().keySet()) {
            int refused = 0;
            for (Object wrongValue : wrongValues) {
                Map<String, Object> fields = submissionFields();
                fields.put(field, wrongValue);
                try {
                    UserCodec.decodeSubmission(fields);
                } catch (InvalidInputException invalid) {
                    assertTrue(
                            invalid.getMessage().startsWith(field),
                            field + ": " + invalid.getMessage());
                    refused++;
                }
            }
            assertTrue(refused >= MIN_WRONG_VALUES_REFUSED, field + " refused only " + refused);
        }
    }

    @Test
    void taskCountOutOfBoundsIsRefused() {
        for (Object taskCount : Arrays.asList(0L, 100_001L, 2.5)) {
            Map<String, Object> fields = submissionFields();
            fields.put("sheets", taskCount);
            assertThrows(InvalidInputException.class, () -> UserCodec.decodeSubmission(fields));
        }
    }

    @Test
    void submissionOver64KibibytesIsRefused() {
        Map<String, Object> fields = submissionFields();
        fields.put("kit", "x".repeat(65 * 1024));
        assertThrows(InvalidInputException.class, () -> UserCodec.decodeSubmittedId(fields));
    }

    @Test
    void jobStatusIsEncodedWithProgressUnlessItIsBrief() {
        assertEquals(
                json("{\"nameId\":\"j-000412\",\"status\":\"running\",\"done\":3,\"running\":13}"),
                MessagePackCodec.decode(
                        UserCodec.encodeJobStatus(
                                new JobStatus("j-000412", "running", 3, 13, null), false)));
        assertEquals(
                json("{\"nameId\":\"j-000412\",\"status\":\"withdrawn\"}"),
                MessagePackCodec.decode(
                        UserCodec.encodeJobStatus(
                                new JobStatus("j-000412", "cancelled", 0, 0, null), true)));
    }
}
