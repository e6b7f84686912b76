package io.kitepath.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads and validates the fields of a map in a decoded document (maps, lists, text, {@link Long},
 * {@link Double}, booleans, null), independent of the document's format. A null field counts as
 * missing. Every method that reads a field throws an {@link InvalidInputException} with the field's
 * path if the field is missing or of another type.
 */
public final class DocumentReader {
    /** The bound below which a double represents every integer exactly. */
    private static final double MAX_EXACT_INTEGER = 1L << 53;

    private final Map<?, ?> map;
    private final String path;

    private DocumentReader(Map<?, ?> map, String path) {
        this.map = map;
        this.path = path;
    }

    /** Returns a reader for the document's outermost map. */
    public static DocumentReader of(Object document) {
        if (document instanceof Map<?, ?> map) {
            return new DocumentReader(map, "");
        }
        throw new InvalidInputException("document: must be a map");
    }

    /** Whether the field is present and not null. */
    public boolean has(String name) {
        return map.get(name) != null;
    }

    /** Returns the field's value of any type, or null if it is missing. */
    public Object raw(String name) {
        return map.get(name);
    }

    /** Returns a text field. */
    public String text(String name) {
        if (map.get(name) instanceof String text) {
            return text;
        }
        throw wrongType(name, "text");
    }

    /** Returns a text field, or {@code defaultValue} if it is missing. */
    public String textOr(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /** Returns a finite number of at least {@code min}. */
    public double number(String name, double min) {
        Object value = map.get(name);
        if (!(value instanceof Long) && !(value instanceof Double)) {
            throw wrongType(name, "a number");
        }
        double number = ((Number) value).doubleValue();
        if (!Double.isFinite(number) || number < min) {
            throw invalid(name, "must be a finite number of at least " + min);
        }
        return number;
    }

    /**
     * Returns a finite number of at least {@code min}, or {@code defaultValue} if it is missing.
     */
    public double numberOr(String name, double min, double defaultValue) {
        return has(name) ? number(name, min) : defaultValue;
    }

    /**
     * Returns an integer from {@code min} to {@code max}. A number with a fraction of 0 is
     * accepted.
     */
    public long integer(String name, long min, long max) {
        long integer = integer(name);
        if (integer < min || integer > max) {
            throw invalid(name, "must be from " + min + " to " + max);
        }
        return integer;
    }

    private long integer(String name) {
        Object value = map.get(name);
        if (value instanceof Long integer) {
            return integer;
        }
        if (value instanceof Double number
                && number == Math.rint(number)
                && Math.abs(number) < MAX_EXACT_INTEGER) {
            return number.longValue();
        }
        throw wrongType(name, "an integer");
    }

    /** Returns an integer of 0 or more. */
    public long count(String name) {
        return integer(name, 0, Long.MAX_VALUE);
    }

    /** Returns a boolean field. */
    public boolean flag(String name) {
        if (map.get(name) instanceof Boolean flag) {
            return flag;
        }
        throw wrongType(name, "true or false");
    }

    /** Returns a reader for a field with a map. */
    public DocumentReader child(String name) {
        if (map.get(name) instanceof Map<?, ?> child) {
            return new DocumentReader(child, path + name + ".");
        }
        throw wrongType(name, "a map");
    }

    /** Returns a list with items of any type. */
    public List<?> list(String name) {
        if (map.get(name) instanceof List<?> list) {
            return list;
        }
        throw wrongType(name, "a list");
    }

    /** Returns a reader for each item of a list of maps. */
    public List<DocumentReader> children(String name) {
        List<DocumentReader> children = new ArrayList<>();
        for (Object item : list(name)) {
            String indexedName = name + "[" + children.size() + "]";
            if (!(item instanceof Map<?, ?> child)) {
                throw invalid(indexedName, "must be a map");
            }
            children.add(new DocumentReader(child, path + indexedName + "."));
        }
        return children;
    }

    /** Returns a list of text. */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (Object item : list(name)) {
            if (!(item instanceof String text)) {
                throw wrongType(name, "a list of text");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Creates an exception that names the field's path and the reason. */
    public InvalidInputException invalid(String name, String reason) {
        return new InvalidInputException(path + name + ": " + reason);
    }

    private InvalidInputException wrongType(String name, String expectedType) {
        return invalid(name, has(name) ? "must be " + expectedType : "is missing");
    }
}
