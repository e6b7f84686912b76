import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** MessagePack without binary values and extensions, and the size of a value as JSON. */
final class Pack {
    private Pack() {}

    static byte[] encode(Object value) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            write(new DataOutputStream(bytes), value);
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void write(DataOutputStream out, Object value) throws IOException {
        if (value == null) {
            out.writeByte(0xc0);
        } else if (value instanceof Boolean flag) {
            out.writeByte(flag ? 0xc3 : 0xc2);
        } else if (value instanceof Double number) {
            out.writeByte(0xcb);
            out.writeDouble(number);
        } else if (value instanceof Number number) {
            long n = number.longValue();
            if (n >= 0 && n < 128) {
                out.writeByte((int) n);
            } else if (n >= 0) {
                out.writeByte(0xcf);
                out.writeLong(n);
            } else {
                out.writeByte(0xd3);
                out.writeLong(n);
            }
        } else if (value instanceof String text) {
            byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
            if (utf8.length < 32) {
                out.writeByte(0xa0 | utf8.length);
            } else {
                out.writeByte(0xdb);
                out.writeInt(utf8.length);
            }
            out.write(utf8);
        } else if (value instanceof List<?> list) {
            out.writeByte(0xdd);
            out.writeInt(list.size());
            for (Object item : list) {
                write(out, item);
            }
        } else if (value instanceof Map<?, ?> map) {
            out.writeByte(0xdf);
            out.writeInt(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                write(out, entry.getKey());
                write(out, entry.getValue());
            }
        } else {
            throw new IllegalArgumentException("cannot pack " + value.getClass());
        }
    }

    static Object decode(byte[] body) {
        return read(ByteBuffer.wrap(body));
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(byte[] body) {
        return body == null || body.length == 0
                ? new LinkedHashMap<>()
                : (Map<String, Object>) decode(body);
    }

    private static Object read(ByteBuffer in) {
        int b = in.get() & 0xff;
        if (b < 0x80) {
            return (long) b;
        } else if (b < 0x90) {
            return readMap(in, b & 15);
        } else if (b < 0xa0) {
            return readList(in, b & 15);
        } else if (b < 0xc0) {
            return readText(in, b & 31);
        } else if (b >= 0xe0) {
            return (long) (byte) b;
        }
        return switch (b) {
            case 0xc0 -> null;
            case 0xc2 -> false;
            case 0xc3 -> true;
            case 0xca -> (double) in.getFloat();
            case 0xcb -> in.getDouble();
            case 0xcc -> (long) (in.get() & 0xff);
            case 0xcd -> (long) (in.getShort() & 0xffff);
            case 0xce -> in.getInt() & 0xffffffffL;
            case 0xcf, 0xd3 -> in.getLong();
            case 0xd0 -> (long) in.get();
            case 0xd1 -> (long) in.getShort();
            case 0xd2 -> (long) in.getInt();
            case 0xd9 -> readText(in, in.get() & 0xff);
            case 0xda -> readText(in, in.getShort() & 0xffff);
            case 0xdb -> readText(in, in.getInt());
            case 0xdc -> readList(in, in.getShort() & 0xffff);
            case 0xdd -> readList(in, in.getInt());
            case 0xde -> readMap(in, in.getShort() & 0xffff);
            case 0xdf -> readMap(in, in.getInt());
            default -> throw new IllegalArgumentException("not MessagePack: " + b);
        };
    }

    private static String readText(ByteBuffer in, int length) {
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static List<Object> readList(ByteBuffer in, int count) {
        List<Object> list = new ArrayList<>(Math.min(count, in.remaining()));
        for (int i = 0; i < count; i++) {
            list.add(read(in));
        }
        return list;
    }

    private static Map<String, Object> readMap(ByteBuffer in, int count) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            String key = (String) read(in);
            map.put(key, read(in));
        }
        return map;
    }

    /** JSON text of a value; the protocol's size limits count this form. */
    static String json(Object value) {
        StringBuilder text = new StringBuilder();
        json(value, text);
        return text.toString();
    }

    private static void json(Object value, StringBuilder out) {
        if (value instanceof String text) {
            out.append('"').append(text.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        } else if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                json(entry.getKey(), out);
                out.append(':');
                json(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object item : list) {
                out.append(separator);
                json(item, out);
                separator = ",";
            }
            out.append(']');
        } else {
            out.append(value);
        }
    }
}
