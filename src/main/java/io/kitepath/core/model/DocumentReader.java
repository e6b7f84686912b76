package io.kitepath.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checked reading of a map in a decoded document (maps, lists, text, {@link Long}, {@link Double},
 * booleans, null), whatever format it came in. A field that is null counts as missing. Every method
 * that reads a field throws an {@link InvalidInputException} with its path if it is missing or of
 * another kind.
 */
public final class DocumentReader {
    /** Beyond this, a double may be another integer than the one that was written. */
    private static final double MAX_EXACT_INTEGER = 1L << 53;

    private final Map<?, ?> map;
    private final String path;

    private DocumentReader(Map<?, ?> map, String path) {
        this.map = map;
        this.path = path;
    }

    /** Reads the document's outermost map. */
    public static DocumentReader of(Object document) {
        if (document instanceof Map<?, ?> map) {
            return new DocumentReader(map, "");
        }
        throw new InvalidInputException("document: must be a map");
    }

    /** Whether the field is there and not null. */
    public boolean has(String name) {
        return map.get(name) != null;
    }

    /** The field whatever it is; null if it is missing. */
    public Object raw(String name) {
        return map.get(name);
    }

    /** A field with text. */
    public String text(String name) {
        if (map.get(name) instanceof String text) {
            return text;
        }
        throw wrongType(name, "text");
    }

    /** A field with text that may be missing. */
    public String textOr(String name, String absent) {
        return has(name) ? text(name) : absent;
    }

    /** A finite number of at least {@code min}. */
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

    /** A finite number of at least {@code min} that may be missing. */
    public double numberOr(String name, double min, double absent) {
        return has(name) ? number(name, min) : absent;
    }

    /**
     * An integer within the bounds, which may have been written as a number with a fraction of 0.
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

    /** An integer of 0 or more. */
    public long count(String name) {
        return integer(name, 0, Long.MAX_VALUE);
    }

    /** A field that is true or false. */
    public boolean flag(String name) {
        if (map.get(name) instanceof Boolean flag) {
            return flag;
        }
        throw wrongType(name, "true or false");
    }

    /** A field with a map. */
    public DocumentReader child(String name) {
        if (map.get(name) instanceof Map<?, ?> child) {
            return new DocumentReader(child, path + name + ".");
        }
        throw wrongType(name, "a map");
    }

    /** A field with a list of anything. */
    public List<?> list(String name) {
        if (map.get(name) instanceof List<?> list) {
            return list;
        }
        throw wrongType(name, "a list");
    }

    /** A field with a list of maps. */
    public List<DocumentReader> children(String name) {
        List<DocumentReader> children = new ArrayList<>();
        for (Object item : list(name)) {
            String indexed = name + "[" + children.size() + "]";
            if (!(item instanceof Map<?, ?> child)) {
                throw invalid(indexed, "must be a map");
            }
            children.add(new DocumentReader(child, path + indexed + "."));
        }
        return children;
    }

    /** A field with a list of text. */
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

    /** A complaint about the field, with its path. */
    public InvalidInputException invalid(String name, String reason) {
        return new InvalidInputException(path + name + ": " + reason);
    }

    private InvalidInputException wrongType(String name, String kind) {
        return invalid(name, has(name) ? "must be " + kind : "is missing");
    }
}
