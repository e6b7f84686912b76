package io.kitepath.peers;

import com.esotericsoftware.kryo.io.Input;

/**
 * Reads one frame. A text of more characters than the frame has bytes left is refused before memory
 * is allocated for it; {@link BoundedListSerializer} and {@link BoundedBytesSerializer} do the same
 * for lists and byte arrays.
 */
final class FrameInput extends Input {
    FrameInput(byte[] frame) {
        super(frame);
    }

    @Override
    public String readString() {
        int start = position();
        boolean hasLength = readVarIntFlag(); // A text without a length is ASCII.
        if (hasLength) {
            int lengthPlusOne = readVarIntFlag(true);
            FrameBounds.requireRemaining(this, lengthPlusOne - 1);
        }
        setPosition(start);
        return super.readString();
    }
}
