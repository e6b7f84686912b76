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
    private static final MessagePack.PackerConfig PACKER =
            new MessagePack.PackerConfig().withBufferSize(1024);
    private static final MessagePack.UnpackerConfig UNPACKER =
            new MessagePack.UnpackerConfig().withBufferSize(1024);

    private MessagePackCodec() {}

    public static byte[] encode(Object value) {
        try (MessageBufferPacker out = PACKER.newBufferPacker()) {
            write(out, value);
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    public static Object decode(byte[] body) {
        try (MessageUnpacker in = UNPACKER.newUnpacker(body)) {
            Object value = read(in, body.length, 0);
            if (in.hasNext()) {
                throw new InvalidInputException("body: more than one value");
            }
            return value;
        } catch (MessageInsufficientBufferException e) {
            throw new InvalidInputException("body: cut short");
        } catch (MessagePackException | IOException e) {
            throw new InvalidInputException("body: not MessagePack");
        }
    }

    private static Object read(MessageUnpacker in, int size, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new InvalidInputException("body: nested too deeply");
        }
        switch (in.getNextFormat().getValueType()) {
            case NIL:
                in.unpackNil();
                return null;
            case BOOLEAN:
                return in.unpackBoolean();
            case INTEGER:
                return integer(in);
            case FLOAT:
                return in.unpackDouble();
            case STRING:
                return in.unpackString();
            case ARRAY:
                {
                    int n = checkedCount(in.unpackArrayHeader(), size);
                    List<Object> list = new ArrayList<>(n);
                    for (int i = 0; i < n; i++) {
                        list.add(read(in, size, depth + 1));
                    }
                    return list;
                }
            case MAP:
                {
                    int n = checkedCount(in.unpackMapHeader(), size);
                    Map<String, Object> map = new LinkedHashMap<>(n * 2);
                    for (int i = 0; i < n; i++) {
                        map.put(in.unpackString(), read(in, size, depth + 1));
                    }
                    return map;
                }
            default:
                throw new InvalidInputException("body: binary values are not allowed");
        }
    }

    /**
     * Guards against a body that is refused for a number over 63 bits in a field that nobody here
     * reads.
     */
    private static Object integer(MessageUnpacker in) throws IOException {
        if (in.getNextFormat() != MessageFormat.UINT64) {
            return in.unpackLong();
        }
        BigInteger n = in.unpackBigInteger();
        return n.bitLength() < Long.SIZE ? (Object) n.longValue() : (Object) n.doubleValue();
    }

    /**
     * Guards against a header that promises more items than the body has bytes, which would exhaust
     * memory.
     */
    private static int checkedCount(int n, int size) {
        if (n < 0 || n > size) {
            throw new InvalidInputException("body: cut short");
        }
        return n;
    }

    private static void write(MessagePacker out, Object value) throws IOException {
        if (value == null) {
            out.packNil();
        } else if (value instanceof String s) {
            out.packString(s);
        } else if (value instanceof Boolean b) {
            out.packBoolean(b);
        } else if (value instanceof Double || value instanceof Float) {
            out.packDouble(((Number) value).doubleValue());
        } else if (value instanceof Number n) {
            out.packLong(n.longValue());
        } else if (value instanceof Map<?, ?> map) {
            out.packMapHeader(map.size());
            for (Map.Entry<?, ?> e : map.entrySet()) {
                out.packString((String) e.getKey());
                write(out, e.getValue());
            }
        } else if (value instanceof List<?> list) {
            out.packArrayHeader(list.size());
            for (Object o : list) {
                write(out, o);
            }
        } else {
            throw new IllegalArgumentException("cannot pack " + value.getClass());
        }
    }

    /**
     * About how many bytes the value takes written as JSON, which is what the protocol's size
     * limits count.
     */
    public static int approximateJsonSize(Object value) {
        if (value instanceof String s) {
            return s.length() + 2;
        }
        if (value instanceof Map<?, ?> map) {
            int n = 2;
            for (Map.Entry<?, ?> e : map.entrySet()) {
                n += ((String) e.getKey()).length() + 4 + approximateJsonSize(e.getValue());
            }
            return n;
        }
        if (value instanceof List<?> list) {
            int n = 2;
            for (Object o : list) {
                n += approximateJsonSize(o) + 1;
            }
            return n;
        }
        return String.valueOf(value).length();
    }
}
