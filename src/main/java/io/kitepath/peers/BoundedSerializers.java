package io.kitepath.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.serializers.CollectionSerializer;
import com.esotericsoftware.kryo.serializers.DefaultArraySerializers.ByteArraySerializer;
import java.util.ArrayList;

/**
 * Kryo's formats of lists and byte arrays, but a length that the rest of the frame can't hold is
 * refused before memory is allocated for it.
 */
final class BoundedSerializers {
    private BoundedSerializers() {}

    /** The only class of lists in the protocol. */
    static final class OfLists extends CollectionSerializer<ArrayList<?>> {
        @Override
        protected ArrayList<?> create(
                Kryo kryo, Input input, Class<? extends ArrayList<?>> type, int size) {
            requireRemaining(input, size);
            return new ArrayList<>(size);
        }
    }

    /** Byte arrays, or null. */
    static final class OfBytes extends ByteArraySerializer {
        @Override
        @SuppressWarnings("rawtypes") // As in the class of Kryo.
        public byte[] read(Kryo kryo, Input input, Class type) {
            int start = input.position();
            int lengthPlusOne = input.readVarInt(true);
            requireRemaining(input, lengthPlusOne - 1);
            input.setPosition(start);
            return super.read(kryo, input, type);
        }
    }

    /** Each element of a list takes a byte at least. */
    private static void requireRemaining(Input input, int length) {
        int remaining = input.limit() - input.position();
        if (length > remaining) {
            throw new KryoException("length " + length + " with " + remaining + " bytes left");
        }
    }
}
