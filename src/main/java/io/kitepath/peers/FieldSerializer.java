package io.kitepath.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.ImmutableSerializer;
import java.util.ArrayList;
import java.util.List;

/**
 * Base of the serializers of all messages and of the records inside them: each writes and reads its
 * fields one by one, in an order that is spelled out.
 *
 * <p>Kryo's own serializer for records finds the fields by reflection and sorts them by name.
 * Renaming a record component would then move its bytes inside the frame, and nodes of two versions
 * could not talk to each other during an upgrade. With an explicit order a name can change freely.
 * The order is that of the names which the components had when the format was fixed; it is part of
 * the protocol and never changes. The same holds for the constants of enums, which travel as their
 * ordinal numbers, and for the registration ids of the classes.
 */
abstract class FieldSerializer<T> extends ImmutableSerializer<T> {
    /** A variable number of bytes; values near zero, also negative ones, are short. */
    static void writeLong(Output output, long value) {
        output.writeVarLong(value, false);
    }

    static long readLong(Input input) {
        return input.readVarLong(false);
    }

    /** A variable number of bytes; values near zero, also negative ones, are short. */
    static void writeInt(Output output, int value) {
        output.writeVarInt(value, false);
    }

    static int readInt(Input input) {
        return input.readVarInt(false);
    }

    /** Writes a list that is not null, with the class of its elements. */
    static void writeList(Kryo kryo, Output output, List<?> list) {
        // A copy, as the protocol knows one class of lists.
        kryo.writeClassAndObject(output, new ArrayList<>(list));
    }

    /** Writes a list with the class of its elements, or that there is none. */
    static void writeListOrNull(Kryo kryo, Output output, List<?> list) {
        kryo.writeClassAndObject(output, list == null ? null : new ArrayList<>(list));
    }

    /**
     * Reads a list that has to be there.
     *
     * @throws RuntimeException if it is absent or has elements of another class
     */
    static <E> List<E> readList(Kryo kryo, Input input, Class<E> elementClass) {
        List<E> list = readListOrNull(kryo, input, elementClass);
        if (list == null) {
            throw new IllegalArgumentException("no list of " + elementClass.getSimpleName());
        }
        return list;
    }

    /**
     * Reads a list, or null if there is none.
     *
     * @throws RuntimeException if it has elements of another class
     */
    static <E> List<E> readListOrNull(Kryo kryo, Input input, Class<E> elementClass) {
        List<?> list = (List<?>) kryo.readClassAndObject(input);
        if (list == null) {
            return null;
        }
        List<E> checked = new ArrayList<>(list.size());
        for (Object element : list) {
            checked.add(elementClass.cast(element));
        }
        return checked;
    }
}
