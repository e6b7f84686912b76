package io.kitepath.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.InvalidInputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsFileTest {
    private static final String VALID =
            """
            {"label":"kite-0","domain":"a","listen":"10.0.0.1:8080","internal_addr":"10.0.0.1:8081","new_field":1,
             "siblings":[{"label":"kite-1","domain":"b","addr":"10.0.0.2:8081"}],
             "endpoints":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
             "facts":{"nodes":2,"zones":["a","b"],"teams":[{"name":"t","cpus":1.0,"cpus_max":8.0}],
              "objectives":[{"kind":"finished","class":"c","within_s":150.0,"share":0.9}],
              "workers":{"report_s":1.5,"lease_s":10.0,"gang_wait_s":50.0,"gang_peer_s":5.0,"cancel_s":30.0},
              "state":{"rps":150.0,"write_rps":50.0,"value_kb":8.0,"txn_ops":40},"cloud":{"rps":3.0,"list_lag_s":8.0},
              "limits":{"cpu":0.255,"ram_mb":205.0,"sockets":1000},"clock_error_ms":5.0}}
            """;

    @TempDir Path directory;

    private SettingsFile read(String text) throws IOException {
        Path file = directory.resolve("settings.json");
        Files.writeString(file, text);
        return SettingsFile.read(file);
    }

    /** Returns the error message for a file with the given content. */
    private String errorMessage(String text) {
        return assertThrows(InvalidInputException.class, () -> read(text)).getMessage();
    }

    @Test
    void readsValidFileAndIgnoresUnknownFields() throws IOException {
        SettingsFile file = read(VALID);
        assertEquals("kite-0", file.settings().node());
        assertEquals(8, file.settings().teams().get("t").maxCpus());
        assertEquals(150, file.settings().shortestFinishObjectiveSeconds("c", 1));
        assertEquals(256, file.settings().tasksPerPart());
        assertEquals(8081, file.siblingAddresses().get("kite-1").getPort());
    }

    @Test
    void namesInvalidFieldAndItsFile() {
        assertTrue(
                errorMessage(VALID.replace("\"lease_s\":10.0,", ""))
                        .endsWith("settings.json: facts.workers.lease_s: is missing"));
        assertTrue(
                errorMessage(VALID.replace("\"lease_s\":10.0", "\"lease_s\":-1"))
                        .contains("facts.workers.lease_s: must be a finite number"));
        assertTrue(
                errorMessage(VALID.replace("10.2.0.1:2379", "store:2379"))
                        .contains("endpoints.state: must be an address"));
        assertTrue(
                errorMessage(VALID.replace("\"zones\":[\"a\",\"b\"]", "\"zones\":\"a\""))
                        .contains("facts.zones: must be a list"));
    }

    @Test
    void rejectsFileThatIsNotJson() {
        assertTrue(errorMessage("{\"label\":").contains("not JSON"));
        assertTrue(errorMessage("").contains("is empty"));
    }

    @Test
    void namesMissingFile() {
        assertTrue(
                assertThrows(
                                InvalidInputException.class,
                                () -> SettingsFile.read(directory.resolve("none")))
                        .getMessage()
                        .endsWith("none: no such file"));
    }
}
