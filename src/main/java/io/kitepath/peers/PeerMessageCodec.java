package io.kitepath.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Output;
import io.kitepath.core.model.InvalidInputException;

/**
 * Encodes and decodes the messages between controller nodes, in the format of Kryo with registered
 * classes only. Not safe for use by more than one thread at a time.
 */
final class PeerMessageCodec {
    /** The largest frame in bytes; the largest message is a worker's relayed heartbeat. */
    static final int MAX_FRAME_BYTES = 256 * 1024;

    private static final int INITIAL_BUFFER_BYTES = 1024;

    /**
     * Objects within each other in one frame; the deepest message has five. Guards against a frame
     * of nested lists that overflows the stack of the event loop's thread.
     */
    private static final int MAX_DEPTH = 16;

    private final Kryo kryo = new Kryo();
    private final Output output = new Output(INITIAL_BUFFER_BYTES, MAX_FRAME_BYTES);

    private PeerMessageCodec() {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        kryo.setMaxDepth(MAX_DEPTH);
        PeerMessageSerializers.register(kryo);
    }

    /** A codec for the messages within one cell; the classes of the others are not loaded. */
    static PeerMessageCodec withinCell() {
        return new PeerMessageCodec();
    }

    /** A codec for the messages within a cell and between cells. */
    static PeerMessageCodec betweenCells() {
        PeerMessageCodec codec = new PeerMessageCodec();
        CellMessageSerializers.register(codec.kryo);
        return codec;
    }

    /**
     * Encodes a message as the content of one frame.
     *
     * @throws com.esotericsoftware.kryo.KryoException if it is larger than {@link #MAX_FRAME_BYTES}
     */
    byte[] encode(PeerMessage message) {
        output.reset();
        kryo.writeClassAndObject(output, message);
        return output.toBytes();
    }

    /**
     * Decodes the content of one frame.
     *
     * @throws InvalidInputException if the bytes are not a message
     */
    PeerMessage decode(byte[] frame) {
        Object decoded;
        try {
            decoded = kryo.readClassAndObject(new FrameInput(frame));
        } catch (RuntimeException e) {
            // Kryo throws exceptions of many classes on malformed bytes.
            throw new InvalidInputException("message: " + e.getMessage());
        }
        if (decoded instanceof PeerMessage message) {
            return message;
        }
        throw new InvalidInputException("message: not one between nodes");
    }
}
