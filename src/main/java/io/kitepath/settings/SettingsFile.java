package io.kitepath.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings file that the platform hands over, checked. */
public record SettingsFile(
        ClusterSettings settings,
        InetSocketAddress listenAddress,
        InetSocketAddress internalAddress,
        Map<String, InetSocketAddress> siblingAddresses,
        InetSocketAddress cloudAddress,
        InetSocketAddress storeAddress) {

    /** Complains with a {@link InvalidInputException} that names file, field and reason. */
    public static SettingsFile read(Path file) {
        byte[] bytes = readBytes(file);
        try {
            return parse(bytes);
        } catch (InvalidInputException invalid) {
            throw new InvalidInputException(file + ": " + invalid.getMessage());
        }
    }

    static byte[] readBytes(Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            throw new InvalidInputException(file + ": no such file");
        } catch (IOException e) {
            throw new InvalidInputException(file + ": can't be read: " + e.getMessage());
        }
    }

    /** Complains with a {@link InvalidInputException} that names field and reason. */
    public static SettingsFile parse(byte[] json) {
        return parse(DocumentReader.of(parseJson(json)));
    }

    private static SettingsFile parse(DocumentReader t) {
        String node = t.text("label");
        Map<String, InetSocketAddress> siblings = new LinkedHashMap<>();
        for (DocumentReader s : t.children("siblings")) {
            siblings.put(s.text("label"), parseAddress(s, "addr"));
        }
        DocumentReader f = t.child("facts");
        Map<String, ClusterSettings.Team> teams = new LinkedHashMap<>();
        for (DocumentReader x : f.children("teams")) {
            teams.put(
                    x.text("name"),
                    new ClusterSettings.Team(
                            x.text("name"),
                            x.numberOr("cpus", 0, 0),
                            x.numberOr("cpus_max", 0, 0),
                            x.numberOr("gpus", 0, 0),
                            x.numberOr("gpus_max", 0, 0)));
        }
        List<ClusterSettings.Objective> objectives = new ArrayList<>();
        if (f.has("objectives")) {
            for (DocumentReader x : f.children("objectives")) {
                objectives.add(
                        new ClusterSettings.Objective(
                                x.text("kind"),
                                x.textOr("class", ""),
                                x.numberOr("within_s", 0, 0),
                                x.numberOr("times", 0, 1),
                                x.numberOr("share", 0, 0)));
            }
        }
        DocumentReader w = f.child("workers");
        DocumentReader s = f.child("state");
        DocumentReader c = f.child("cloud");
        DocumentReader l = f.child("limits");
        ClusterSettings settings =
                new ClusterSettings(
                        node,
                        t.text("domain"),
                        List.copyOf(siblings.keySet()),
                        f.texts("zones"),
                        teams,
                        objectives,
                        new ClusterSettings.WorkerTimings(
                                w.number("report_s", 0.001),
                                w.number("lease_s", 0.001),
                                w.number("gang_wait_s", 0),
                                w.number("gang_peer_s", 0),
                                w.number("cancel_s", 0)),
                        storeLimits(s),
                        new ClusterSettings.CloudLimits(
                                c.number("rps", 0.001), c.number("list_lag_s", 0)),
                        new ClusterSettings.ProcessLimits(
                                l.number("cpu", 0.001),
                                l.number("ram_mb", 1),
                                (int) l.integer("sockets", 16, Integer.MAX_VALUE)),
                        f.numberOr("clock_error_ms", 0, t.numberOr("clock_error_ms", 0, 0)));
        DocumentReader e = t.child("endpoints");
        return new SettingsFile(
                settings,
                parseAddress(t, "listen"),
                parseAddress(t, "internal_addr"),
                siblings,
                parseAddress(e, "cloud"),
                parseAddress(e, "state"));
    }

    /**
     * The state service's limits, and those that it will have at some later time, if that is
     * announced.
     */
    private static ClusterSettings.StoreLimits storeLimits(DocumentReader s) {
        ClusterSettings.StoreLimits now =
                new ClusterSettings.StoreLimits(
                        s.number("rps", 1),
                        s.number("write_rps", 1),
                        s.number("value_kb", 1),
                        (int) s.integer("txn_ops", 4, 1_000_000));
        if (!s.has("next")) {
            return now;
        }
        DocumentReader n = s.child("next");
        return now.tightenedBy(
                new ClusterSettings.StoreLimits(
                        n.numberOr("rps", 1, now.requestsPerSecond()),
                        n.numberOr("write_rps", 1, now.writesPerSecond()),
                        n.numberOr("value_kb", 1, now.maxValueKibibytes()),
                        n.has("txn_ops")
                                ? (int) n.integer("txn_ops", 4, 1_000_000)
                                : now.maxTransactionOperations()));
    }

    /** A numeric IPv4 address and a port; names are not looked up. */
    static InetSocketAddress parseAddress(DocumentReader document, String field) {
        String s = document.text(field);
        int colon = s.lastIndexOf(':');
        try {
            String host = s.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(s.substring(colon + 1));
            if (host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") && port > 0 && port < 65536) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Said below.
        }
        throw document.invalid(
                field, "must be an address such as 10.0.0.1:8080, not \"" + s + "\"");
    }

    /**
     * Plain maps, lists, text, numbers, booleans and null as a JSON document; what {@link
     * #document} reads.
     */
    public static byte[] toJson(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator g = new JsonFactory().createGenerator(out)) {
            g.useDefaultPrettyPrinter();
            writeJson(g, value);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return out.toByteArray();
    }

    private static void writeJson(JsonGenerator g, Object value) throws IOException {
        if (value instanceof Map<?, ?> m) {
            g.writeStartObject();
            for (Map.Entry<?, ?> e : m.entrySet()) {
                g.writeFieldName((String) e.getKey());
                writeJson(g, e.getValue());
            }
            g.writeEndObject();
        } else if (value instanceof List<?> l) {
            g.writeStartArray();
            for (Object x : l) {
                writeJson(g, x);
            }
            g.writeEndArray();
        } else if (value instanceof Integer i) {
            g.writeNumber(i);
        } else if (value instanceof Long n) {
            g.writeNumber(n);
        } else if (value instanceof Double d) {
            g.writeNumber(d);
        } else if (value instanceof Boolean b) {
            g.writeBoolean(b);
        } else if (value == null) {
            g.writeNull();
        } else {
            g.writeString(value.toString());
        }
    }

    /** A JSON document as plain maps, lists, text, numbers, booleans and null. */
    public static Object parseJson(byte[] bytes) {
        try (JsonParser p = new JsonFactory().createParser(bytes)) {
            if (p.nextToken() == null) {
                throw new InvalidInputException("is empty");
            }
            Object value = readJson(p);
            if (p.nextToken() != null) {
                throw new InvalidInputException("has more than one value");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new InvalidInputException(
                    "not JSON: "
                            + e.getOriginalMessage()
                            + ", line "
                            + (e.getLocation() == null ? "?" : e.getLocation().getLineNr()));
        } catch (IOException e) {
            throw new InvalidInputException("not JSON: " + e.getMessage());
        }
    }

    private static Object readJson(JsonParser p) throws IOException {
        JsonToken t = p.currentToken();
        switch (t) {
            case START_OBJECT:
                {
                    Map<String, Object> m = new LinkedHashMap<>();
                    while (p.nextToken() != JsonToken.END_OBJECT) {
                        String name = p.currentName();
                        p.nextToken();
                        m.put(name, readJson(p));
                    }
                    return m;
                }
            case START_ARRAY:
                {
                    List<Object> l = new ArrayList<>();
                    while (p.nextToken() != JsonToken.END_ARRAY) {
                        l.add(readJson(p));
                    }
                    return l;
                }
            case VALUE_NUMBER_INT:
                try {
                    return p.getLongValue();
                } catch (JsonProcessingException tooLarge) {
                    return p.getDoubleValue();
                }
            case VALUE_NUMBER_FLOAT:
                return p.getDoubleValue();
            case VALUE_TRUE:
                return true;
            case VALUE_FALSE:
                return false;
            case VALUE_NULL:
                return null;
            default:
                return p.getText();
        }
    }
}
