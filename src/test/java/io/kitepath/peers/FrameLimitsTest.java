package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Output;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.InvalidInputException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Frames that are larger than they may be, or that claim what they don't hold. */
class FrameLimitsTest {
    /** In frames, the id of a class is two more than the id that it is registered under. */
    private static final int ASK_PROGRESS = 34;

    private static final int LIST = 33;
    private static final int VIEW = 22;
    private static final int ANSWER_CELL = 39;
    private static final int WORD = 46;

    private final PeerMessageCodec messages = PeerMessageCodec.betweenCells();

    private static Output frame(int... classes) {
        Output frame = new Output(64, 1024);
        for (int id : classes) {
            frame.writeVarInt(id, true);
        }
        return frame;
    }

    private void refuses(Output frame) {
        assertThrows(InvalidInputException.class, () -> messages.decode(frame.toBytes()));
    }

    @Test
    void aListThatTheFrameCannotHoldIsRefusedBeforeItIsAllocated() {
        for (int length : new int[] {2, 1000, Integer.MAX_VALUE - 8, -7}) {
            Output frame = frame(ASK_PROGRESS, LIST);
            frame.writeVarIntFlag(true, length + 1, true);
            frame.writeVarInt(0, true); // All elements are null, which takes no more bytes.
            refuses(frame);
        }
    }

    @Test
    void bytesThatTheFrameCannotHoldAreRefusedBeforeTheyAreAllocated() {
        for (int length : new int[] {2, 1000, Integer.MAX_VALUE - 8, -7}) {
            Output frame = frame(ANSWER_CELL, WORD);
            frame.writeString("west");
            frame.writeVarInt(length + 1, true);
            frame.writeByte(1);
            refuses(frame);
        }
    }

    @Test
    void aListOfAnotherClassIsRefused() {
        Output frame = frame(ASK_PROGRESS, LIST);
        frame.writeVarIntFlag(true, 2, true);
        frame.writeVarInt(VIEW, true);
        frame.writeBoolean(false);
        frame.writeString("kite-1");
        frame.writeBoolean(true);
        frame.writeBoolean(true);
        frame.writeVarLong(7, false);
        frame.writeVarLong(9, false);
        refuses(frame);
    }

    @Test
    void anotherClassInThePlaceOfACellMessageIsRefused() {
        Output frame = frame(ANSWER_CELL, VIEW);
        frame.writeString("kite-1");
        frame.writeBoolean(true);
        frame.writeBoolean(true);
        frame.writeVarLong(7, false);
        frame.writeVarLong(9, false);
        refuses(frame);
    }

    @Test
    void aMessageOverTheCapIsNotEncodedAndTheNextOneIs() {
        String half = "x".repeat(PeerMessageCodec.MAX_FRAME_BYTES / 2);
        PeerMessage.ProgressRequest large = new PeerMessage.ProgressRequest(1, List.of(half, half));
        assertThrows(KryoException.class, () -> messages.encode(large));
        PeerMessage.CellReply next = new PeerMessage.CellReply(5, null);
        PeerMessage.CellReply decoded =
                (PeerMessage.CellReply) messages.decode(messages.encode(next));
        assertEquals(5, decoded.requestId());
        assertNull(decoded.message());
        PeerMessage.CellRequest last =
                new PeerMessage.CellRequest(6, new CellMessage.QuotaGrantAccepted(8));
        assertEquals(last, messages.decode(messages.encode(last)));
    }
}
