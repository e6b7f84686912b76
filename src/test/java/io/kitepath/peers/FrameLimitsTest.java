package io.kitepath.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Output;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.InvalidInputException;
import java.lang.management.ManagementFactory;
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

    /**
     * What happened: a frame of seven bytes made the node allocate 4 GiB, so that it could end for
     * want of memory. Why: Kryo allocates a text by the length that the frame states. What showed
     * it: an OutOfMemoryError for the largest length here, with a heap of 200 MiB. So memory is
     * counted, not only the refusal.
     */
    @Test
    void aTextThatTheFrameCannotHoldIsRefusedBeforeItIsAllocated() {
        for (int length : new int[] {2, 1000, 10_000_000, 100_000_000, -7}) {
            Output frame = frame(VIEW);
            frame.writeVarIntFlag(true, length + 1, true);
            frame.writeByte(1);
            long before = allocatedBytes();
            refuses(frame);
            long allocated = allocatedBytes() - before;
            assertTrue(allocated < PeerMessageCodec.MAX_FRAME_BYTES, length + ": " + allocated);
        }
    }

    /** By this thread since it began. */
    private static long allocatedBytes() {
        return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getCurrentThreadAllocatedBytes();
    }

    /**
     * What happened: lists in lists, three bytes each, overflowed the stack of the event loop's
     * thread. Why: reading recurses as deeply as the frame says. What showed it: a
     * StackOverflowError in place of the refusal.
     */
    @Test
    void listsThatAreNestedTooDeeplyAreRefused() {
        for (int depth : new int[] {50, 1000, 80_000}) {
            Output frame = new Output(64, PeerMessageCodec.MAX_FRAME_BYTES);
            frame.writeVarInt(ASK_PROGRESS, true);
            frame.writeVarInt(LIST, true);
            for (int i = 0; i < depth; i++) {
                frame.writeVarIntFlag(true, 2, true); // One element,
                frame.writeVarInt(LIST, true); // a list,
                frame.writeByte(0); // which is not null.
            }
            frame.writeVarIntFlag(true, 1, true); // The innermost is empty.
            frame.writeVarLong(7, false);
            InvalidInputException refusal =
                    assertThrows(
                            InvalidInputException.class, () -> messages.decode(frame.toBytes()));
            assertTrue(refusal.getMessage().contains("depth"), refusal.getMessage());
        }
        PeerMessage.ProgressRequest next = new PeerMessage.ProgressRequest(1, List.of("j-1"));
        assertEquals(next, messages.decode(messages.encode(next)), "the next message is read");
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
