package io.kitepath.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.InvalidInputException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class CellsFileTest {
    private static final String VALID =
            """
            {"version":3,"cells":[
              {"name":"east","zones":["a","b"],"nodes":[{"label":"e0","addr":"127.0.0.1:8081"},
                {"label":"e1","addr":"127.0.0.2:8081"}],"teams":[{"name":"t","cpus":4,"cpus_max":30}]},
              {"name":"west","zones":["c"],"nodes":[{"label":"w0","addr":"127.0.0.3:8081"}],
                "teams":[{"name":"t","cpus":6,"cpus_max":10}]},
              {"name":"spare","home":false,"zones":["d"],"nodes":[{"label":"s0","addr":"127.0.0.4:8081"}]}]}
            """;
    private final ClusterSettings settings =
            new ClusterSettings(
                    "e1",
                    "a",
                    List.of("e0"),
                    List.of("a", "b"),
                    Map.of(
                            "t",
                            new ClusterSettings.Team("t", 10, 40, 0, 0),
                            "free",
                            new ClusterSettings.Team("free", 0, 0, 0, 0)),
                    List.of(),
                    new ClusterSettings.WorkerTimings(1, 10, 30, 5, 30),
                    new ClusterSettings.StoreLimits(1000, 100, 8, 40),
                    new ClusterSettings.CloudLimits(10, 2),
                    new ClusterSettings.ProcessLimits(1, 200, 1000),
                    5);

    private CellsFile parse(String text) {
        return CellsFile.parse(text.getBytes(StandardCharsets.UTF_8), settings);
    }

    /** Returns the error message for the valid file with one text replaced. */
    private String errorMessageWithReplacement(String from, String to) {
        assertTrue(VALID.contains(from), from);
        return assertThrows(InvalidInputException.class, () -> parse(VALID.replace(from, to)))
                .getMessage();
    }

    @Test
    void readsOwnCellAndItsQuotaSharesFromValidFile() {
        CellsFile file = parse(VALID);
        CellDirectory directory = file.directory();
        assertEquals("east", directory.ownCellName());
        assertEquals("east west", directory.homeCellNames());
        assertEquals(30, directory.ownCell().teams().get("t").maxCpus());
        assertEquals(0, directory.ownCell().teams().get("free").maxCpus(), "no limit stays none");
        // A cell without a share of a quota may run no task of that team; 0 would mean no limit.
        assertTrue(directory.cells().get("spare").teams().get("t").maxCpus() > 0);
        assertEquals(8081, file.addresses().get("west").get("w0").getPort());
        assertEquals(2, file.addresses().size());
    }

    @Test
    void namesInvalidFieldOfCell() {
        assertTrue(
                errorMessageWithReplacement("\"version\":3,", "").contains("version: is missing"));
        assertTrue(
                errorMessageWithReplacement("\"west\"", "\"east\"")
                        .contains("cells[1].name: there are two cells"));
        assertTrue(
                errorMessageWithReplacement("\"west\"", "\"we st\"")
                        .contains("cells[1].name: must be 1 to 40"));
        assertTrue(
                errorMessageWithReplacement("[\"c\"]", "[\"a\"]")
                        .contains("is a zone of cell \"east\" too"));
        assertTrue(errorMessageWithReplacement("\"w0\"", "\"e0\"").contains("there are two nodes"));
        assertTrue(
                errorMessageWithReplacement("127.0.0.3:8081", "west:8081")
                        .contains("cells[1].nodes[0].addr: must be an address"));
    }

    @Test
    void namesContradictionToSettings() {
        assertTrue(
                errorMessageWithReplacement("\"e1\"", "\"e2\"").contains("no cell has this node"));
        assertTrue(errorMessageWithReplacement("\"e0\"", "\"e9\"").contains("the settings have"));
        assertTrue(
                errorMessageWithReplacement("[\"a\",\"b\"]", "[\"a\"]")
                        .contains("lacks the settings' zone \"b\""));
        assertTrue(
                errorMessageWithReplacement("\"cpus_max\":10", "\"cpus_max\":11")
                        .contains("add up to 41.0, the settings have 40.0"));
        assertTrue(
                errorMessageWithReplacement(
                                "\"name\":\"t\",\"cpus\":6", "\"name\":\"x\",\"cpus\":6")
                        .contains("no team \"x\""));
    }

    @Test
    void spreadsHomeCellsEvenlyAndKeepsThemWhenNonHomeCellIsAdded() {
        CellDirectory directory = parse(VALID).directory();
        Map<String, Integer> jobsByHomeCell = new TreeMap<>();
        for (int i = 0; i < 2000; i++) {
            jobsByHomeCell.merge(directory.homeCellOf(String.format("j-%06d", i)), 1, Integer::sum);
        }
        assertEquals(2, jobsByHomeCell.size());
        assertTrue(
                jobsByHomeCell.get("east") > 900 && jobsByHomeCell.get("west") > 900,
                jobsByHomeCell.toString());
        CellDirectory larger =
                parse(
                                VALID.replace(
                                        "{\"name\":\"spare\"",
                                        "{\"name\":\"more\",\"home\":false,\"zones\":[\"e\"],\"nodes\":[{\"label\":\"m0\","
                                                + "\"addr\":\"127.0.0.5:8081\"}]},{\"name\":\"spare\""))
                        .directory();
        for (int i = 0; i < 100; i++) {
            assertEquals(directory.homeCellOf("j-" + i), larger.homeCellOf("j-" + i));
        }
    }
}
