package io.kitepath.settings;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The file that names the cells, checked on its own and against a node's settings.
 *
 * @param addresses by cell and node, of all cells but this one
 */
public record CellsFile(
        CellDirectory directory, Map<String, Map<String, InetSocketAddress>> addresses) {
    /**
     * Less than any task takes: the part of a limit of a cell that has none of it, where 0 would
     * mean no limit.
     */
    private static final double SMALLEST_LIMIT = 1e-9;

    /** How far parts of a whole may add up to more because they are decimal numbers. */
    private static final double SUM_TOLERANCE = 1e-6;

    /** Complains with a {@link InvalidInputException} that names file, field and reason. */
    public static CellsFile read(Path file, ClusterSettings settings) {
        byte[] bytes = SettingsFile.readBytes(file);
        try {
            return parse(bytes, settings);
        } catch (InvalidInputException invalid) {
            throw new InvalidInputException(file + ": " + invalid.getMessage());
        }
    }

    /** Complains with a {@link InvalidInputException} that names field and reason. */
    static CellsFile parse(byte[] json, ClusterSettings settings) {
        DocumentReader t = DocumentReader.of(SettingsFile.parseJson(json));
        long version = t.integer("version", 1, Long.MAX_VALUE);
        Map<String, CellDirectory.Cell> cells = new LinkedHashMap<>();
        Map<String, Map<String, InetSocketAddress>> addresses = new HashMap<>();
        Map<String, String> zoneOf = new HashMap<>();
        Set<String> nodes = new HashSet<>();
        String own = null;
        for (DocumentReader c : t.children("cells")) {
            String name = cellName(c);
            if (cells.containsKey(name)) {
                throw c.invalid("name", "there are two cells \"" + name + "\"");
            }
            for (String z : c.texts("zones")) {
                String other = zoneOf.put(z, name);
                if (other != null) {
                    throw c.invalid(
                            "zones", "\"" + z + "\" is a zone of cell \"" + other + "\" too");
                }
            }
            Map<String, String> of = new LinkedHashMap<>();
            Map<String, InetSocketAddress> at = new LinkedHashMap<>();
            for (DocumentReader n : c.children("nodes")) {
                String label = n.text("label");
                if (!nodes.add(label)) {
                    throw n.invalid("label", "there are two nodes \"" + label + "\"");
                }
                at.put(label, SettingsFile.parseAddress(n, "addr"));
                of.put(label, n.text("addr"));
            }
            if (of.isEmpty()) {
                throw c.invalid("nodes", "must name at least one node");
            }
            if (of.containsKey(settings.node())) {
                own = name;
            } else {
                addresses.put(name, at);
            }
            boolean home = !c.has("home") || c.flag("home");
            cells.put(
                    name,
                    new CellDirectory.Cell(
                            name,
                            home,
                            c.has("drained") && c.flag("drained"),
                            c.texts("zones"),
                            of,
                            cellTeams(c, settings)));
        }
        if (own == null) {
            throw t.invalid("cells", "no cell has this node, \"" + settings.node() + "\"");
        }
        if (cells.values().stream().noneMatch(CellDirectory.Cell::isHome)) {
            throw t.invalid("cells", "none is a home");
        }
        CellDirectory directory = new CellDirectory(version, own, cells);
        checkOwnCell(t, directory, settings);
        checkTeamSums(t, directory, settings);
        return new CellsFile(directory, addresses);
    }

    /** A cell's name is a part of keys and messages. */
    private static String cellName(DocumentReader document) {
        String name = document.text("name");
        if (!name.matches("[a-z0-9][a-z0-9-]{0,39}")) {
            throw document.invalid(
                    "name", "must be 1 to 40 of a-z, 0-9 and -, not \"" + name + "\"");
        }
        return name;
    }

    /**
     * The cell's part of each team's limits; a team that is not named has an equal part of none.
     */
    private static Map<String, ClusterSettings.Team> cellTeams(
            DocumentReader c, ClusterSettings settings) {
        Map<String, DocumentReader> named = new HashMap<>();
        if (c.has("teams")) {
            for (DocumentReader x : c.children("teams")) {
                if (!settings.teams().containsKey(x.text("name"))) {
                    throw x.invalid("name", "the settings have no team \"" + x.text("name") + "\"");
                }
                named.put(x.text("name"), x);
            }
        }
        Map<String, ClusterSettings.Team> out = new LinkedHashMap<>();
        for (ClusterSettings.Team whole : settings.teams().values()) {
            DocumentReader x = named.get(whole.name());
            out.put(
                    whole.name(),
                    new ClusterSettings.Team(
                            whole.name(),
                            x == null ? 0 : x.numberOr("cpus", 0, 0),
                            cellLimit(x, "cpus_max", whole.maxCpus()),
                            x == null ? 0 : x.numberOr("gpus", 0, 0),
                            cellLimit(x, "gpus_max", whole.maxGpus())));
        }
        return out;
    }

    private static double cellLimit(DocumentReader document, String field, double whole) {
        double part = document == null ? 0 : document.numberOr(field, 0, 0);
        if (whole == 0) {
            if (part > 0) {
                throw document.invalid(field, "the settings limit this team to nothing there");
            }
            return 0;
        }
        return part > 0 ? part : SMALLEST_LIMIT;
    }

    private static void checkOwnCell(
            DocumentReader document, CellDirectory directory, ClusterSettings settings) {
        Set<String> mine = new HashSet<>(settings.siblings());
        mine.add(settings.node());
        if (!directory.ownCell().nodes().keySet().equals(mine)) {
            throw document.invalid(
                    "cells",
                    "cell \""
                            + directory.ownCellName()
                            + "\" has the nodes "
                            + directory.ownCell().nodes().keySet()
                            + ", the settings have "
                            + mine);
        }
        for (String z : settings.zones()) {
            if (!directory.ownCell().zones().contains(z)) {
                throw document.invalid(
                        "cells",
                        "cell \""
                                + directory.ownCellName()
                                + "\" lacks the settings' zone \""
                                + z
                                + "\"");
            }
        }
    }

    /** Parts that add up to more than the whole would be a limit that nobody keeps. */
    private static void checkTeamSums(
            DocumentReader document, CellDirectory directory, ClusterSettings settings) {
        for (ClusterSettings.Team whole : settings.teams().values()) {
            double[] sum = new double[4];
            for (CellDirectory.Cell cell : directory.cells().values()) {
                ClusterSettings.Team part = cell.teams().get(whole.name());
                sum[0] += part.guaranteedCpus();
                sum[1] += part.maxCpus();
                sum[2] += part.guaranteedGpus();
                sum[3] += part.maxGpus();
            }
            double[] of = {
                whole.guaranteedCpus(), whole.maxCpus(), whole.guaranteedGpus(), whole.maxGpus()
            };
            String[] names = {"cpus", "cpus_max", "gpus", "gpus_max"};
            for (int i = 0; i < sum.length; i++) {
                if (sum[i] > of[i] + SUM_TOLERANCE) {
                    throw document.invalid(
                            "cells",
                            "the parts of \""
                                    + names[i]
                                    + "\" of team \""
                                    + whole.name()
                                    + "\" add up to "
                                    + Math.round(sum[i] * 1000) / 1000.0
                                    + ", the settings have "
                                    + of[i]);
                }
            }
        }
    }
}
