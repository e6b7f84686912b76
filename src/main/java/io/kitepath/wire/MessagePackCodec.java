package io.kitepath.wire;

import io.kitepath.core.model.InvalidInputException;
import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack bodies to and from plain maps, lists, text, numbers, booleans and null. */
public final class MessagePackCodec {
    private static final int MAX_DEPTH = 16;
    // The library's default of 8 KiB a body is far more than most bodies take.
    private static final int BUFFER_BYTES = 1024;
    private static final MessagePack.PackerConfig PACKER =
            new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);
    private static final MessagePack.UnpackerConfig UNPACKER =
            new MessagePack.UnpackerConfig().withBufferSize(BUFFER_BYTES);

    private MessagePackCodec() {}

    /**
     * The bytes of a document. Integers of any size are packed as such, {@link Float} as {@link
     * Double}.
     *
     * @throws IllegalArgumentException if it has a value of another type
     */
    public static byte[] encode(Object value) {
        try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
            write(packer, value);
            return packer.toByteArray();
        } catch (IOException e) {
            // A buffer in memory never fails.
            throw new IllegalStateException(e);
        }
    }

    /**
     * The document in a body; integers as {@link Long}, or as {@link Double} beyond 63 bits, and
     * maps in the order of the body.
     *
     * @throws InvalidInputException if it is not exactly one document, has binary values or is
     *     nested too deeply
     */
    public static Object decode(byte[] body) {
        try (MessageUnpacker unpacker = UNPACKER.newUnpacker(body)) {
            Object value = read(unpacker, body.length, 0);
            if (unpacker.hasNext()) {
                throw new InvalidInputException("body: more than one value");
            }
            return value;
        } catch (MessageInsufficientBufferException e) {
            throw cutShort();
        } catch (MessagePackException | IOException e) {
            throw new InvalidInputException("body: not MessagePack");
        }
    }

    private static Object read(MessageUnpacker unpacker, int bodyBytes, int depth)
            throws IOException {
        if (depth > MAX_DEPTH) {
            throw new InvalidInputException("body: nested too deeply");
        }
        return switch (unpacker.getNextFormat().getValueType()) {
            case NIL -> {
                unpacker.unpackNil();
                yield null;
            }
            case BOOLEAN -> unpacker.unpackBoolean();
            case INTEGER -> readInteger(unpacker);
            case FLOAT -> unpacker.unpackDouble();
            case STRING -> unpacker.unpackString();
            case ARRAY -> readList(unpacker, bodyBytes, depth);
            case MAP -> readMap(unpacker, bodyBytes, depth);
            default -> throw new InvalidInputException("body: binary values are not allowed");
        };
    }

    private static List<Object> readList(MessageUnpacker unpacker, int bodyBytes, int depth)
            throws IOException {
        int count = checkedCount(unpacker.unpackArrayHeader(), bodyBytes);
        List<Object> list = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            list.add(read(unpacker, bodyBytes, depth + 1));
        }
        return list;
    }

    private static Map<String, Object> readMap(MessageUnpacker unpacker, int bodyBytes, int depth)
            throws IOException {
        int count = checkedCount(unpacker.unpackMapHeader(), bodyBytes);
        Map<String, Object> map = new LinkedHashMap<>(count * 2);
        for (int i = 0; i < count; i++) {
            map.put(unpacker.unpackString(), read(unpacker, bodyBytes, depth + 1));
        }
        return map;
    }

    /**
     * Guards against a body that is refused for a number over 63 bits in a field that nobody here
     * reads.
     */
    private static Object readInteger(MessageUnpacker unpacker) throws IOException {
        if (unpacker.getNextFormat() != MessageFormat.UINT64) {
            return unpacker.unpackLong();
        }
        BigInteger number = unpacker.unpackBigInteger();
        return number.bitLength() < Long.SIZE
                ? (Object) number.longValue()
                : (Object) number.doubleValue();
    }

    /**
     * Guards against a header that promises more items than the body has bytes, which would exhaust
     * memory.
     */
    private static int checkedCount(int count, int bodyBytes) {
        if (count < 0 || count > bodyBytes) {
            throw cutShort();
        }
        return count;
    }

    private static InvalidInputException cutShort() {
        return new InvalidInputException("body: cut short");
    }

    private static void write(MessagePacker packer, Object value) throws IOException {
        if (value == null) {
            packer.packNil();
        } else if (value instanceof String text) {
            packer.packString(text);
        } else if (value instanceof Boolean flag) {
            packer.packBoolean(flag);
        } else if (value instanceof Double || value instanceof Float) {
            packer.packDouble(((Number) value).doubleValue());
        } else if (value instanceof Number number) {
            packer.packLong(number.longValue());
        } else if (value instanceof Map<?, ?> map) {
            packer.packMapHeader(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                packer.packString((String) entry.getKey());
                write(packer, entry.getValue());
            }
        } else if (value instanceof List<?> list) {
            packer.packArrayHeader(list.size());
            for (Object item : list) {
                write(packer, item);
            }
        } else {
            throw new IllegalArgumentException("cannot pack " + value.getClass());
        }
    }

    /**
     * About how many bytes the value takes written as JSON, which is what the protocol's size
     * limits count. Unlike {@link io.kitepath.core.model.JsonSize}, which never says too few, this
     * takes no notice of escapes and of text outside ASCII.
     */
    public static int approximateJsonSize(Object value) {
        if (value instanceof String text) {
            return text.length() + 2;
        }
        if (value instanceof Map<?, ?> map) {
            int bytes = 2;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                bytes += ((String) entry.getKey()).length() + 4;
                bytes += approximateJsonSize(entry.getValue());
            }
            return bytes;
        }
        if (value instanceof List<?> list) {
            int bytes = 2;
            for (Object item : list) {
                bytes += approximateJsonSize(item) + 1;
            }
            return bytes;
        }
        return String.valueOf(value).length();
    }
}
