package io.kitepath.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.serializers.CollectionSerializer;
import java.util.ArrayList;

/**
 * Kryo's format of lists, but a length that the rest of the frame can't hold is refused before
 * memory is allocated for it. There is one class of lists in the protocol.
 */
final class BoundedListSerializer extends CollectionSerializer<ArrayList<?>> {
    @Override
    protected ArrayList<?> create(
            Kryo kryo, Input input, Class<? extends ArrayList<?>> listClass, int size) {
        FrameBounds.requireRemaining(input, size);
        return new ArrayList<>(size);
    }
}
