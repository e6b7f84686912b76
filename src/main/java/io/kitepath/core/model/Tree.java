package io.kitepath.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checked reading of a decoded document (maps, lists, text, {@link Long}, {@link Double}, booleans,
 * null), whatever notation it came in. Every complaint names the field.
 */
public final class Tree {
    private final Map<?, ?> map;
    private final String at;

    private Tree(Map<?, ?> map, String at) {
        this.map = map;
        this.at = at;
    }

    public static Tree of(Object value) {
        return of(value, "");
    }

    private static Tree of(Object value, String at) {
        if (!(value instanceof Map<?, ?> map)) {
            throw new Malformed((at.isEmpty() ? "document" : at) + ": must be a map");
        }
        return new Tree(map, at);
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
        throw wrong(name, "text");
    }

    public String textOr(String name, String absent) {
        return has(name) ? text(name) : absent;
    }

    /** A finite number of at least {@code least}. */
    public double number(String name, double least) {
        Object v = map.get(name);
        if (!(v instanceof Long) && !(v instanceof Double)) {
            throw wrong(name, "a number");
        }
        double d = ((Number) v).doubleValue();
        if (!Double.isFinite(d) || d < least) {
            throw new Malformed(at + name + ": must be a finite number of at least " + least);
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
            throw wrong(name, "an integer");
        }
        if (n < least || n > most) {
            throw new Malformed(at + name + ": must be from " + least + " to " + most);
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
        throw wrong(name, "true or false");
    }

    public Tree child(String name) {
        if (map.get(name) instanceof Map<?, ?> m) {
            return new Tree(m, at + name + ".");
        }
        throw wrong(name, "a map");
    }

    public List<?> list(String name) {
        if (map.get(name) instanceof List<?> l) {
            return l;
        }
        throw wrong(name, "a list");
    }

    public List<Tree> children(String name) {
        List<Tree> out = new ArrayList<>();
        int i = 0;
        for (Object o : list(name)) {
            String where = at + name + "[" + i++ + "].";
            if (!(o instanceof Map<?, ?> m)) {
                throw new Malformed(where.substring(0, where.length() - 1) + ": must be a map");
            }
            out.add(new Tree(m, where));
        }
        return out;
    }

    public List<String> texts(String name) {
        List<String> out = new ArrayList<>();
        for (Object o : list(name)) {
            if (!(o instanceof String s)) {
                throw wrong(name, "a list of text");
            }
            out.add(s);
        }
        return out;
    }

    /** A complaint about the field that names where it is. */
    public Malformed complaint(String name, String reason) {
        return new Malformed(at + name + ": " + reason);
    }

    private Malformed wrong(String name, String kind) {
        return new Malformed(at + name + (has(name) ? ": must be " + kind : ": is missing"));
    }
}
