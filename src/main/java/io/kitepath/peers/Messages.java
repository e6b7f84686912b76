package io.kitepath.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobStatus;
import java.util.List;

/** What goes between controller nodes, in Kryo's notation with registered classes only. */
final class Messages {
    /** A frame's size cap; the largest message is a worker's report. */
    static final int MAX_FRAME = 256 * 1024;

    /**
     * A node's view: the highest token it knows, whether it leads with it, whether the store serves
     * it.
     */
    record View(String by, long token, boolean leads, boolean served) {}

    /** The store has it that this job is over. */
    record Over(JobStatus job) {}

    /**
     * Asks the leader, or one who may pass it on, to answer a check-in; the number ties the answer
     * to it.
     */
    record Ask(long number, Heartbeat report, boolean passOn) {}

    record Answer(long number, HeartbeatResponse heartbeat) {}

    /** Asks the leader how far jobs are. */
    record AskProgress(long number, List<String> jobs) {}

    record AnswerProgress(long number, List<JobProgress> progress) {}

    /** Between cells: a question under a number, and its answer, null if there is none. */
    record AskCell(long number, CellMessage message) {}

    record AnswerCell(long number, CellMessage message) {}

    /** What a node knows to be cancelled; only for those that said that they can read it. */
    record Digest(String by, double sinceMs, double untilMs, List<String> jobs) {}

    /**
     * A node says that way that it reads {@link Digest}: an answer to a question that nobody asked,
     * which the version in production drops, so that it may be sent to anybody. Questions are
     * numbered from 1.
     */
    static final long READS_DIGESTS = Long.MIN_VALUE;

    private final Kryo kryo = new Kryo();
    private final Output output = new Output(1024, MAX_FRAME);

    Messages() {
        this(false);
    }

    /** {@code cells}: whether there are others; without them their classes are not loaded. */
    Messages(boolean cells) {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        MessageSerializers.register(kryo);
        if (cells) {
            CellMessageSerializers.register(kryo);
        }
    }

    byte[] bytes(Object message) {
        output.reset();
        kryo.writeClassAndObject(output, message);
        return output.toBytes();
    }

    Object value(byte[] frame) {
        try {
            return kryo.readClassAndObject(new Input(frame));
        } catch (RuntimeException e) {
            // Kryo throws all kinds on bad bytes.
            throw new InvalidInputException("message: " + e.getMessage());
        }
    }
}
