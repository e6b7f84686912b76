package io.kitepath.wire;

import static io.kitepath.wire.ProtocolExamples.SUBMISSION;
import static io.kitepath.wire.ProtocolExamples.json;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.InvalidInputException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class MessagePackCodecTest {
    private static final int DAMAGED_BODIES = 200;

    /** Some damaged bodies are still submissions, with another number or name. */
    private static final int MIN_REFUSED = 50;

    @Test
    void malformedBodyIsRefusedAsInvalidInputAndNothingElse() {
        Random random = new Random(3);
        byte[] good = MessagePackCodec.encode(json(SUBMISSION));
        List<byte[]> malformed =
                new ArrayList<>(
                        List.of(
                                new byte[0],
                                new byte[] {(byte) 0xc1},
                                Arrays.copyOf(good, 50),
                                new byte[] {(byte) 0xdd, 0x7f, -1, -1, -1},
                                new byte[] {(byte) 0xc4, 1, 1}));
        for (int i = 0; i < DAMAGED_BODIES; i++) {
            byte[] damaged = good.clone();
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            malformed.add(damaged);
        }
        int refused = 0;
        for (byte[] body : malformed) {
            try {
                UserCodec.decodeSubmission(MessagePackCodec.decode(body));
            } catch (InvalidInputException invalid) {
                refused++;
            }
        }
        assertTrue(refused > MIN_REFUSED);
        assertThrows(InvalidInputException.class, () -> MessagePackCodec.decode(new byte[0]));
    }
}
