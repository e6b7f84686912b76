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
 * The contents of the cells file, checked for consistency and against the node's settings.
 *
 * @param directory all cells, including the node's own
 * @param addresses the node addresses of the remote cells, by cell and node
 */
public record CellsFile(
        CellDirectory directory, Map<String, Map<String, InetSocketAddress>> addresses) {
    /**
     * Reads a file.
     *
     * @throws InvalidInputException that names the file, the field and the reason
     */
    public static CellsFile read(Path file, ClusterSettings settings) {
        return InputFile.read(file, json -> parse(json, settings));
    }

    /**
     * Parses the content of a file.
     *
     * @throws InvalidInputException that names the field and the reason
     */
    static CellsFile parse(byte[] json, ClusterSettings settings) {
        return new Parser(settings).parse(DocumentReader.of(JsonCodec.parseJson(json)));
    }

    /** Collects the cells of one file and checks each against those before it. */
    private static final class Parser {
        private final ClusterSettings settings;
        private final Map<String, CellDirectory.Cell> cells = new LinkedHashMap<>();
        private final Map<String, Map<String, InetSocketAddress>> remoteCellAddresses =
                new HashMap<>();
        private final Map<String, String> cellByZone = new HashMap<>();
        private final Set<String> nodes = new HashSet<>();
        private String ownCellName;

        Parser(ClusterSettings settings) {
            this.settings = settings;
        }

        CellsFile parse(DocumentReader document) {
            long version = document.integer("version", 1, Long.MAX_VALUE);
            for (DocumentReader cell : document.children("cells")) {
                addCell(cell);
            }
            if (ownCellName == null) {
                throw document.invalid(
                        "cells", "no cell has this node, \"" + settings.node() + "\"");
            }
            if (cells.values().stream().noneMatch(CellDirectory.Cell::isHome)) {
                throw document.invalid("cells", "at least one cell must be a home cell");
            }
            CellDirectory directory = new CellDirectory(version, ownCellName, cells);
            checkOwnCell(document, directory, settings);
            CellQuotas.checkSums(document, directory, settings);
            return new CellsFile(directory, remoteCellAddresses);
        }

        private void addCell(DocumentReader document) {
            String name = cellName(document);
            if (cells.containsKey(name)) {
                throw document.invalid("name", "there are two cells \"" + name + "\"");
            }
            addZones(document, name);
            Map<String, String> addressTexts = new LinkedHashMap<>();
            Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
            for (DocumentReader node : document.children("nodes")) {
                String label = node.text("label");
                if (!nodes.add(label)) {
                    throw node.invalid("label", "there are two nodes \"" + label + "\"");
                }
                addresses.put(label, InputFile.address(node, "addr"));
                addressTexts.put(label, node.text("addr"));
            }
            if (addresses.isEmpty()) {
                throw document.invalid("nodes", "must name at least one node");
            }
            if (addresses.containsKey(settings.node())) {
                ownCellName = name;
            } else {
                remoteCellAddresses.put(name, addresses);
            }
            boolean isHome = !document.has("home") || document.flag("home");
            cells.put(
                    name,
                    new CellDirectory.Cell(
                            name,
                            isHome,
                            document.has("drained") && document.flag("drained"),
                            document.texts("zones"),
                            addressTexts,
                            CellQuotas.parse(document, settings)));
        }

        private void addZones(DocumentReader document, String cellName) {
            for (String zone : document.texts("zones")) {
                String otherCellName = cellByZone.put(zone, cellName);
                if (otherCellName != null) {
                    throw document.invalid(
                            "zones",
                            "\"" + zone + "\" is a zone of cell \"" + otherCellName + "\" too");
                }
            }
        }
    }

    /** Returns the cell's name, whose characters are restricted as keys and messages contain it. */
    private static String cellName(DocumentReader document) {
        String name = document.text("name");
        if (!name.matches("[a-z0-9][a-z0-9-]{0,39}")) {
            throw document.invalid(
                    "name", "must be 1 to 40 of a-z, 0-9 and -, not \"" + name + "\"");
        }
        return name;
    }

    private static void checkOwnCell(
            DocumentReader document, CellDirectory directory, ClusterSettings settings) {
        CellDirectory.Cell ownCell = directory.ownCell();
        Set<String> settingsNodes = new HashSet<>(settings.peers());
        settingsNodes.add(settings.node());
        if (!ownCell.nodes().keySet().equals(settingsNodes)) {
            throw document.invalid(
                    "cells",
                    "cell \""
                            + directory.ownCellName()
                            + "\" has the nodes "
                            + ownCell.nodes().keySet()
                            + ", the settings have "
                            + settingsNodes);
        }
        for (String zone : settings.zones()) {
            if (!ownCell.zones().contains(zone)) {
                throw document.invalid(
                        "cells",
                        "cell \""
                                + directory.ownCellName()
                                + "\" lacks the settings' zone \""
                                + zone
                                + "\"");
            }
        }
    }
}
