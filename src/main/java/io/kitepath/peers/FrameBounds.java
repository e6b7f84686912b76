package io.kitepath.peers;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;

/** Guards against frames that state a length which they can't hold. */
final class FrameBounds {
    private FrameBounds() {}

    /**
     * Checks a length before memory is allocated for it. Each element takes a byte at least.
     *
     * @throws KryoException if fewer bytes are left in the frame than there should be elements
     */
    static void requireRemaining(Input input, int elementCount) {
        int remaining = input.limit() - input.position();
        if (elementCount > remaining) {
            throw new KryoException(
                    "length " + elementCount + " with " + remaining + " bytes left");
        }
    }
}
