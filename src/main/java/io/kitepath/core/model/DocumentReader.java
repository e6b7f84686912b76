package io.kitepath.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checked reading of a decoded document (maps, lists, text, {@link Long}, {@link Double}, booleans,
 * null), whatever notation it came in. Every complaint names the field.
 */
public final class DocumentReader {
    private final Map<?, ?> map;
    private final String path;

    private DocumentReader(Map<?, ?> map, String at) {
        this.map = map;
        this.path = at;
    }

    public static DocumentReader of(Object value) {
        return of(value, "");
    }

    private static DocumentReader of(Object value, String at) {
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidInputException((at.isEmpty() ? "document" : at) + ": must be a map");
        }
        return new DocumentReader(map, at);
    }

    public boolean has(String name) {
        return map.get(name) != null;
    }

    public Object raw(String name) {
        return map.get(name);
    }

    public String text(String name) {
        if (map.get(name) instanceof String s) {
            return s;
        }
        throw wrongType(name, "text");
    }

    public String textOr(String name, String absent) {
        return has(name) ? text(name) : absent;
    }

    /** A finite number of at least {@code least}. */
    public double number(String name, double least) {
        Object v = map.get(name);
        if (!(v instanceof Long) && !(v instanceof Double)) {
            throw wrongType(name, "a number");
        }
        double d = ((Number) v).doubleValue();
        if (!Double.isFinite(d) || d < least) {
            throw new InvalidInputException(
                    path + name + ": must be a finite number of at least " + least);
        }
        return d;
    }

    public double numberOr(String name, double least, double absent) {
        return has(name) ? number(name, least) : absent;
    }

    public long integer(String name, long least, long most) {
        Object v = map.get(name);
        long n;
        if (v instanceof Long l) {
            n = l;
        } else if (v instanceof Double d && d == Math.rint(d) && Math.abs(d) < 1L << 53) {
            n = d.longValue();
        } else {
            throw wrongType(name, "an integer");
        }
        if (n < least || n > most) {
            throw new InvalidInputException(
                    path + name + ": must be from " + least + " to " + most);
        }
        return n;
    }

    public long count(String name) {
        return integer(name, 0, Long.MAX_VALUE);
    }

    public boolean flag(String name) {
        if (map.get(name) instanceof Boolean b) {
            return b;
        }
        throw wrongType(name, "true or false");
    }

    public DocumentReader child(String name) {
        if (map.get(name) instanceof Map<?, ?> m) {
            return new DocumentReader(m, path + name + ".");
        }
        throw wrongType(name, "a map");
    }

    public List<?> list(String name) {
        if (map.get(name) instanceof List<?> l) {
            return l;
        }
        throw wrongType(name, "a list");
    }

    public List<DocumentReader> children(String name) {
        List<DocumentReader> out = new ArrayList<>();
        int i = 0;
        for (Object o : list(name)) {
            String where = path + name + "[" + i++ + "].";
            if (!(o instanceof Map<?, ?> m)) {
                throw new InvalidInputException(
                        where.substring(0, where.length() - 1) + ": must be a map");
            }
            out.add(new DocumentReader(m, where));
        }
        return out;
    }

    public List<String> texts(String name) {
        List<String> out = new ArrayList<>();
        for (Object o : list(name)) {
            if (!(o instanceof String s)) {
                throw wrongType(name, "a list of text");
            }
            out.add(s);
        }
        return out;
    }

    /** A complaint about the field that names where it is. */
    public InvalidInputException invalid(String name, String reason) {
        return new InvalidInputException(path + name + ": " + reason);
    }

    private InvalidInputException wrongType(String name, String kind) {
        return new InvalidInputException(
                path + name + (has(name) ? ": must be " + kind : ": is missing"));
    }
}
