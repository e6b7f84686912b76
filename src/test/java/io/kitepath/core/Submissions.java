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
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("nameId", id);
        body.put("lane", "work");
        body.put("crew", "red");
        body.put("shape", "array");
        body.put("urgency", "standard");
        body.put("sheets", 1L);
        body.put("vcpus", 1.0);
        body.put("cards", 0.0);
        body.put("ramGb", 1.0);
        body.put("kit", "img");
        body.put("sizeGb", 1.0);
        body.put("frames", null);
        body.put("field", null);
        body.put("oneZone", false);
        body.put("spread", false);
        body.put("loaners", false);
        body.put("expectS", 20.0);
        body.put("markEveryS", 0.0);
        body.put("markCostS", 0.0);
        body.put("dueS", null);
        return body;
    }

    /** A good one with some fields, by name and value, that are otherwise. */
    static Map<String, Object> with(Object... fields) {
        Map<String, Object> body = good("j-0");
        for (int i = 0; i < fields.length; i += 2) {
            body.put((String) fields[i], fields[i + 1]);
        }
        return body;
    }

    static Map<String, Object> without(String field) {
        Map<String, Object> body = good("j-0");
        body.remove(field);
        return body;
    }

    static Map<String, Object> named(Map<String, Object> body, String id) {
        Map<String, Object> renamed = new LinkedHashMap<>(body);
        renamed.put("nameId", id);
        return renamed;
    }

    /** What lacks a field or has one that can't be. */
    static List<Map<String, Object>> malformed() {
        List<Map<String, Object>> bodies = new ArrayList<>();
        bodies.addAll(withMissingOrMistypedFields());
        bodies.addAll(withMalformedTexts());
        bodies.addAll(withMalformedAmounts());
        bodies.addAll(withMalformedTaskCounts());
        bodies.addAll(withMalformedFlags());
        bodies.addAll(withMalformedListsAndOptions());
        return bodies;
    }

    /** Each field absent, null, an object or a flag in turn, where it may not be. */
    private static List<Map<String, Object>> withMissingOrMistypedFields() {
        List<Map<String, Object>> bodies = new ArrayList<>();
        for (String field : good("j-0").keySet()) {
            if (!List.of("nameId", "frames", "field", "dueS").contains(field)) {
                bodies.add(without(field));
                bodies.add(with(field, null));
            }
            bodies.add(with(field, Map.of("x", 1L)));
            if (!FLAGS.contains(field)) {
                bodies.add(with(field, true));
            }
        }
        bodies.removeIf(body -> !body.get("nameId").equals("j-0"));
        return bodies;
    }

    private static List<Map<String, Object>> withMalformedTexts() {
        List<Map<String, Object>> bodies = new ArrayList<>();
        for (String field : TEXTS) {
            for (Object value : List.of(5L, 1.5, List.of("img"), "")) {
                bodies.add(with(field, value));
            }
        }
        bodies.add(with("shape", "gang"));
        bodies.add(with("shape", "Array"));
        bodies.add(with("urgency", "normal"));
        bodies.add(with("lane", "x".repeat(300)));
        return bodies;
    }

    private static List<Map<String, Object>> withMalformedAmounts() {
        List<Map<String, Object>> bodies = new ArrayList<>();
        List<String> amounts = new ArrayList<>(AMOUNTS);
        amounts.add("dueS");
        List<Object> values =
                List.of(
                        "1.0",
                        List.of(1.0),
                        -1e-9,
                        -1L,
                        Double.NaN,
                        Double.POSITIVE_INFINITY,
                        Double.NEGATIVE_INFINITY);
        for (String field : amounts) {
            for (Object value : values) {
                bodies.add(with(field, value));
            }
        }
        return bodies;
    }

    private static List<Map<String, Object>> withMalformedTaskCounts() {
        List<Map<String, Object>> bodies = new ArrayList<>();
        List<Object> values =
                List.of(
                        0L,
                        -1L,
                        100_001L,
                        1.5,
                        1e300,
                        Long.MAX_VALUE,
                        "1",
                        Double.NaN,
                        List.of(1L));
        for (Object value : values) {
            bodies.add(with("sheets", value));
        }
        return bodies;
    }

    private static List<Map<String, Object>> withMalformedFlags() {
        List<Map<String, Object>> bodies = new ArrayList<>();
        for (String field : FLAGS) {
            for (Object value : List.of(0L, 1L, "true", List.of())) {
                bodies.add(with(field, value));
            }
        }
        return bodies;
    }

    /** Machine types, zone and dependencies. */
    private static List<Map<String, Object>> withMalformedListsAndOptions() {
        List<Map<String, Object>> bodies = new ArrayList<>();
        for (Object value :
                List.of("m4", 5L, List.of(5L), Arrays.asList("m4", null), List.of(List.of("m4")))) {
            bodies.add(with("frames", value));
        }
        for (Object value : List.of(5L, List.of("a"), 1.5)) {
            bodies.add(with("field", value));
        }
        for (Object value : List.of("j-1", List.of(5L), List.of("x"), List.of(""))) {
            bodies.add(with("awaits", value));
        }
        return bodies;
    }

    /** Well formed, and no machine or limit will ever do. */
    static List<Map<String, Object>> impossible() {
        List<Map<String, Object>> bodies =
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
            bodies.add(with("shape", shape, "sheets", 2L, "spread", true, "oneZone", true));
            bodies.add(with("shape", shape, "sheets", 2L, "spread", true, "field", "a"));
            bodies.add(with("shape", shape, "sheets", 3L, "spread", true, "field", "b"));
        }
        return bodies;
    }

    /** What is odd, but can run. */
    static List<Map<String, Object>> odd() {
        List<Map<String, Object>> bodies =
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
        for (String field : List.of("sizeGb", "expectS", "markEveryS", "markCostS", "dueS")) {
            for (Object value : List.of(1e-300, 1e15, 1e300, Double.MAX_VALUE, Long.MAX_VALUE)) {
                bodies.add(with(field, value, "loaners", bodies.size() % 2 == 0));
            }
        }
        for (String field : List.of("frames", "field", "dueS")) {
            bodies.add(without(field));
        }
        return bodies;
    }
}
