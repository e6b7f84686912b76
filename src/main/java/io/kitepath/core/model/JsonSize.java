package io.kitepath.core.model;

import java.util.List;
import java.util.Map;

/**
 * Computes an upper bound of a value's size as JSON in bytes, which the state service's limits
 * refer to. It assumes a space after each separator and an escape wherever one is allowed.
 */
public final class JsonSize {
    /** Upper bound for a number with a fraction, independent of the JSON encoder. */
    private static final int MAX_DOUBLE_BYTES = 20;

    /** Size of an escaped character outside printable ASCII. */
    private static final int ESCAPE_BYTES = 6;

    /** Size of a pair of brackets, braces or quotes. */
    private static final int DELIMITER_BYTES = 2;

    /** Size of a comma or colon and a space. */
    private static final int SEPARATOR_BYTES = 2;

    private JsonSize() {}

    /**
     * Returns the size in bytes of a value made of maps, lists, text, numbers, booleans and null.
     */
    public static int sizeInBytes(Object value) {
        if (value instanceof String text) {
            return textSizeInBytes(text);
        }
        if (value instanceof Map<?, ?> map) {
            int bytes = DELIMITER_BYTES;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                bytes += textSizeInBytes((String) entry.getKey()) + SEPARATOR_BYTES;
                bytes += sizeInBytes(entry.getValue()) + SEPARATOR_BYTES;
            }
            return bytes;
        }
        if (value instanceof List<?> list) {
            int bytes = DELIMITER_BYTES;
            for (Object item : list) {
                bytes += sizeInBytes(item) + SEPARATOR_BYTES;
            }
            return bytes;
        }
        return value instanceof Double || value instanceof Float
                ? MAX_DOUBLE_BYTES
                : String.valueOf(value).length();
    }

    private static int textSizeInBytes(String text) {
        int bytes = DELIMITER_BYTES;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            bytes += c == '"' || c == '\\' ? 2 : c < 0x20 || c > 0x7e ? ESCAPE_BYTES : 1;
        }
        return bytes;
    }

    /** Returns the number of decimal digits of an integer that is not negative. */
    public static int digits(long number) {
        int digits = 1;
        for (long remaining = number; remaining >= 10; remaining /= 10) {
            digits++;
        }
        return digits;
    }
}
