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

    /** Brackets, braces or quotes. */
    private static final int DELIMITER_BYTES = 2;

    /** A comma or colon and a space. */
    private static final int SEPARATOR_BYTES = 2;

    private JsonSize() {}

    /** In bytes, of plain maps, lists, text, numbers, booleans and null. */
    public static int sizeInBytes(Object value) {
        if (value instanceof String text) {
            return textSize(text);
        }
        if (value instanceof Map<?, ?> map) {
            int bytes = DELIMITER_BYTES;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                bytes += textSize((String) entry.getKey()) + SEPARATOR_BYTES;
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

    private static int textSize(String text) {
        int bytes = DELIMITER_BYTES;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            bytes += c == '"' || c == '\\' ? 2 : c < 0x20 || c > 0x7e ? ESCAPE_BYTES : 1;
        }
        return bytes;
    }

    /** How many digits a number without a fraction has; it must not be negative. */
    public static int digits(long number) {
        int digits = 1;
        for (long rest = number; rest >= 10; rest /= 10) {
            digits++;
        }
        return digits;
    }
}
