package io.kitepath.core.model;

import java.util.List;
import java.util.Map;

/**
 * How many bytes a value takes as JSON, which is what the state service's limits count. Never too
 * few: with a space after each separator, and with everything escaped that may be.
 */
public final class JsonSize {
    /** A number with a fraction, whoever prints it. */
    private static final int MAX_DOUBLE_BYTES = 20;

    /** A character outside ASCII as an escape. */
    private static final int ESCAPE_BYTES = 6;

    private JsonSize() {}

    /** In bytes, of plain maps, lists, text, numbers, booleans and null. */
    public static int sizeInBytes(Object value) {
        if (value instanceof String s) {
            return sizeInBytes(s);
        }
        if (value instanceof Map<?, ?> map) {
            int n = 2;
            for (Map.Entry<?, ?> e : map.entrySet()) {
                n += sizeInBytes((String) e.getKey()) + 4 + sizeInBytes(e.getValue());
            }
            return n;
        }
        if (value instanceof List<?> list) {
            int n = 2;
            for (Object o : list) {
                n += sizeInBytes(o) + 2;
            }
            return n;
        }
        return value instanceof Double || value instanceof Float
                ? MAX_DOUBLE_BYTES
                : String.valueOf(value).length();
    }

    private static int sizeInBytes(String s) {
        int n = 2;
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            n += c == '"' || c == '\\' ? 2 : c < 0x20 || c > 0x7e ? ESCAPE_BYTES : 1;
        }
        return n;
    }

    /** Of a number of zero or more without a fraction. */
    public static int digits(long n) {
        int d = 1;
        for (long left = n; left >= 10; left /= 10) {
            d++;
        }
        return d;
    }
}
