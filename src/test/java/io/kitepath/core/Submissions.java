package io.kitepath.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Submissions by the protocol's names: good ones, and such as have something wrong or odd in them.
 */
final class Submissions {
    private static final List<String> TEXTS = List.of("lane", "crew", "shape", "urgency", "kit");
    private static final List<String> AMOUNTS =
            List.of("vcpus", "cards", "ramGb", "sizeGb", "expectS", "markEveryS", "markCostS");
    private static final List<String> FLAGS = List.of("oneZone", "spread", "loaners");

    private Submissions() {}

    static Map<String, Object> good(String id) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("nameId", id);
        m.put("lane", "work");
        m.put("crew", "red");
        m.put("shape", "array");
        m.put("urgency", "standard");
        m.put("sheets", 1L);
        m.put("vcpus", 1.0);
        m.put("cards", 0.0);
        m.put("ramGb", 1.0);
        m.put("kit", "img");
        m.put("sizeGb", 1.0);
        m.put("frames", null);
        m.put("field", null);
        m.put("oneZone", false);
        m.put("spread", false);
        m.put("loaners", false);
        m.put("expectS", 20.0);
        m.put("markEveryS", 0.0);
        m.put("markCostS", 0.0);
        m.put("dueS", null);
        return m;
    }

    /** A good one with some fields, by name and value, that are otherwise. */
    static Map<String, Object> with(Object... fields) {
        Map<String, Object> m = good("j-0");
        for (int i = 0; i < fields.length; i += 2) {
            m.put((String) fields[i], fields[i + 1]);
        }
        return m;
    }

    static Map<String, Object> without(String field) {
        Map<String, Object> m = good("j-0");
        m.remove(field);
        return m;
    }

    static Map<String, Object> named(Map<String, Object> body, String id) {
        Map<String, Object> m = new LinkedHashMap<>(body);
        m.put("nameId", id);
        return m;
    }

    /** What lacks a field or has one that can't be. */
    static List<Map<String, Object>> malformed() {
        List<Map<String, Object>> out = new ArrayList<>();
        for (String f : good("j-0").keySet()) {
            if (!List.of("nameId", "frames", "field", "dueS").contains(f)) {
                out.add(without(f));
                out.add(with(f, null));
            }
            out.add(with(f, Map.of("x", 1L)));
            if (!FLAGS.contains(f)) {
                out.add(with(f, true));
            }
        }
        out.removeIf(b -> !b.get("nameId").equals("j-0"));
        for (String f : TEXTS) {
            for (Object x : List.of(5L, 1.5, List.of("img"), "")) {
                out.add(with(f, x));
            }
        }
        out.add(with("shape", "gang"));
        out.add(with("shape", "Array"));
        out.add(with("urgency", "normal"));
        out.add(with("lane", "x".repeat(300)));
        List<String> numbers = new ArrayList<>(AMOUNTS);
        numbers.add("dueS");
        for (String f : numbers) {
            for (Object x :
                    List.of(
                            "1.0",
                            List.of(1.0),
                            -1e-9,
                            -1L,
                            Double.NaN,
                            Double.POSITIVE_INFINITY,
                            Double.NEGATIVE_INFINITY)) {
                out.add(with(f, x));
            }
        }
        for (Object x :
                List.of(
                        0L,
                        -1L,
                        100_001L,
                        1.5,
                        1e300,
                        Long.MAX_VALUE,
                        "1",
                        Double.NaN,
                        List.of(1L))) {
            out.add(with("sheets", x));
        }
        for (String f : FLAGS) {
            for (Object x : List.of(0L, 1L, "true", List.of())) {
                out.add(with(f, x));
            }
        }
        for (Object x :
                List.of("m4", 5L, List.of(5L), Arrays.asList("m4", null), List.of(List.of("m4")))) {
            out.add(with("frames", x));
        }
        for (Object x : List.of(5L, List.of("a"), 1.5)) {
            out.add(with("field", x));
        }
        for (Object x : List.of("j-1", List.of(5L), List.of("x"), List.of(""))) {
            out.add(with("awaits", x));
        }
        return out;
    }

    /** Well formed, and no machine or limit will ever do. */
    static List<Map<String, Object>> impossible() {
        List<Map<String, Object>> out =
                new ArrayList<>(
                        List.of(
                                with("crew", "nobody"),
                                with("vcpus", 4.5),
                                with("vcpus", 1e300),
                                with("cards", 1.0),
                                with("ramGb", 16.5),
                                with("ramGb", Double.MAX_VALUE),
                                with("frames", List.of()),
                                with("frames", List.of("m5")),
                                with("frames", List.of("")),
                                with("field", "c"),
                                with("field", ""),
                                // More than the team's limit of six.
                                with("crew", "blue", "shape", "group", "sheets", 7L),
                                with("crew", "blue", "shape", "service", "sheets", 7L),
                                with("crew", "blue", "shape", "group", "sheets", 2L, "vcpus", 3.5),
                                with(
                                        "crew", "blue", "shape", "service", "sheets", 100_000L,
                                        "vcpus", 0.001)));
        for (String shape : List.of("group", "service")) {
            // Half of its tasks, rounded up, is less than all of them, and there is one zone for
            // them.
            out.add(with("shape", shape, "sheets", 2L, "spread", true, "oneZone", true));
            out.add(with("shape", shape, "sheets", 2L, "spread", true, "field", "a"));
            out.add(with("shape", shape, "sheets", 3L, "spread", true, "field", "b"));
        }
        return out;
    }

    /** What is odd, but can run. */
    static List<Map<String, Object>> odd() {
        List<Map<String, Object>> out =
                new ArrayList<>(
                        List.of(
                                with("vcpus", 4.0, "ramGb", 16.0),
                                with("vcpus", 0.0, "ramGb", 0.0, "sheets", 5L),
                                with("frames", List.of("m5", "m4")),
                                with("sizeGb", 0.0),
                                with("dueS", 0.0),
                                with("expectS", 0.0),
                                with("crew", "blue", "shape", "group", "sheets", 6L),
                                with("crew", "blue", "sheets", 12L),
                                with("crew", "tiny", "shape", "group", "sheets", 3L, "vcpus", 0.1),
                                with("spread", true, "field", "a"),
                                with("shape", "group", "spread", true, "oneZone", true),
                                // Half of it at a time is all that one zone may have, and an array
                                // needs no more.
                                with("spread", true, "field", "b", "sheets", 5L),
                                with("spread", true, "oneZone", true, "sheets", 4L),
                                with("shape", "group", "spread", true, "sheets", 5L, "vcpus", 1.5),
                                with("awaits", List.of()),
                                with("shape", "group", "oneZone", true, "sheets", 8L),
                                with(
                                        "extra",
                                        Map.of("a", List.of(1L, Map.of("b", -7L))),
                                        "more",
                                        Arrays.asList(null, true))));
        for (String f : List.of("sizeGb", "expectS", "markEveryS", "markCostS", "dueS")) {
            for (Object x : List.of(1e-300, 1e15, 1e300, Double.MAX_VALUE, Long.MAX_VALUE)) {
                out.add(with(f, x, "loaners", out.size() % 2 == 0));
            }
        }
        for (String f : List.of("frames", "field", "dueS")) {
            out.add(without(f));
        }
        return out;
    }
}
