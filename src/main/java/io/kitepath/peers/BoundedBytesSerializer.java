package io.kitepath.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.serializers.DefaultArraySerializers.ByteArraySerializer;

/**
 * Kryo's format of byte arrays, but a length that the rest of the frame can't hold is refused
 * before memory is allocated for it. An array may be null.
 */
final class BoundedBytesSerializer extends ByteArraySerializer {
    @Override
    @SuppressWarnings("rawtypes") // The overridden method has the raw type.
    public byte[] read(Kryo kryo, Input input, Class arrayClass) {
        int start = input.position();
        int lengthPlusOne = input.readVarInt(true);
        FrameBounds.requireRemaining(input, lengthPlusOne - 1);
        input.setPosition(start);
        return super.read(kryo, input, arrayClass);
    }
}
