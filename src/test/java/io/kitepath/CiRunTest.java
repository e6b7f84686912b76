package io.kitepath;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What .ci/run makes of KNOWN-RED.txt, with a Maven that is played by a few lines. */
class CiRunTest {
    /**
     * Knows RedTest#fails, RedTest#breaks, RedTest#third and GreenTest#passes; all others together
     * do as "strict" says.
     */
    private static final String MAVEN =
            """
            #!/bin/bash
            echo "$*" >> "$(dirname "$0")/../calls"
            case "$*" in
              *-Dtest=!*|*verify) echo "Tests run: 9, Failures: 0, Errors: 0, Skipped: 0"
                exit "$(cat "$(dirname "$0")/../strict")" ;;
              *-Dtest=RedTest#fails|*-Dtest=RedTest#third) echo "[ERROR]   RedTest.fails:7 expected"
                echo "[ERROR] Tests run: 1, Failures: 1, Errors: 0, Skipped: 0"; exit 1 ;;
              *-Dtest=RedTest#breaks) echo "[ERROR] Tests run: 1, Failures: 0, Errors: 1, Skipped: 0"; exit 1 ;;
              *-Dtest=GreenTest#passes) echo "Tests run: 1, Failures: 0, Errors: 0, Skipped: 0"; exit 0 ;;
              *-Dtest=BadTest#compiles) echo "[ERROR] COMPILATION ERROR :"; exit 1 ;;
              *) echo "[ERROR] No tests matching pattern were executed!"; exit 1 ;;
            esac
            """;

    @TempDir private Path dir;
    private String said;

    @BeforeEach
    void project() throws IOException {
        Files.createDirectories(dir.resolve(".ci"));
        Files.createDirectories(dir.resolve("bin"));
        Files.copy(Path.of(".ci/run"), dir.resolve(".ci/run"));
        Files.writeString(dir.resolve("bin/mvn"), MAVEN);
        assertTrue(dir.resolve("bin/mvn").toFile().setExecutable(true));
        Files.writeString(dir.resolve("strict"), "0");
    }

    private int run(String... lines) throws Exception {
        if (lines.length > 0) {
            Files.write(dir.resolve("KNOWN-RED.txt"), List.of(lines));
        }
        Files.deleteIfExists(dir.resolve("calls"));
        ProcessBuilder b =
                new ProcessBuilder("bash", ".ci/run")
                        .directory(dir.toFile())
                        .redirectErrorStream(true);
        b.environment()
                .merge("PATH", dir.resolve("bin").toString(), (path, first) -> first + ":" + path);
        Process p = b.start();
        p.getOutputStream().close();
        said = new String(p.getInputStream().readAllBytes());
        assertTrue(p.waitFor(30, TimeUnit.SECONDS));
        return p.exitValue();
    }

    private List<String> calls() throws IOException {
        Path calls = dir.resolve("calls");
        return Files.exists(calls) ? Files.readAllLines(calls) : List.of();
    }

    @Test
    void withoutAListItIsTheTestCommandOfTheReadme() throws Exception {
        assertEquals(0, run());
        assertEquals(List.of("-B -ntp verify"), calls());
        assertTrue(Files.readString(Path.of("README.md")).contains("mvn -B -ntp verify"));
        Files.writeString(dir.resolve("strict"), "1");
        assertNotEquals(0, run());
    }

    @Test
    void listedTestsAreRunApartAndPrintedAndFailNothing() throws Exception {
        assertEquals(
                0,
                run(
                        "# mended first next time",
                        "",
                        "RedTest#fails | a cause | issue 36",
                        "RedTest#breaks | another: with signs | issue 7"),
                "exit status");
        assertEquals(
                List.of(
                        "-B -ntp test -Dtest=RedTest#fails",
                        "-B -ntp test -Dtest=RedTest#breaks",
                        "-B -ntp verify -Dtest=!RedTest#fails,!RedTest#breaks"),
                calls());
        assertTrue(said.contains("known red: RedTest#fails fails, as listed"), said);
        assertTrue(said.contains("RedTest.fails:7 expected"), said);
        assertTrue(said.contains("Tests run: 9"), said);
    }

    @Test
    void everythingElseFailsTheBuildAsEver() throws Exception {
        Files.writeString(dir.resolve("strict"), "1");
        assertNotEquals(0, run("RedTest#fails | a cause | issue 36"));
    }

    @Test
    void threeAtMost() throws Exception {
        assertEquals(
                0,
                run(
                        "RedTest#fails | a | issue 1",
                        "RedTest#breaks | b | issue 1",
                        "RedTest#third | c | issue 1"));
        assertNotEquals(
                0,
                run(
                        "RedTest#fails | a | issue 1",
                        "RedTest#breaks | b | issue 1",
                        "RedTest#third | c | issue 1",
                        "RedTest#fourth | d | issue 1"));
        assertTrue(said.contains("4 tests are listed"), said);
        assertEquals(List.of(), calls());
    }

    @Test
    void malformedLinesFailIt() throws Exception {
        for (String line :
                List.of(
                        "RedTest#fails",
                        "RedTest#fails | a cause",
                        "RedTest#fails |  | issue 3",
                        "RedTest#fails | a cause | issue",
                        "RedTest | a cause | issue 3",
                        "*Test#* | all | issue 3",
                        "RedTest#fails,GreenTest#passes | a cause | issue 3",
                        " RedTest#fails | a cause | issue 3")) {
            assertNotEquals(0, run(line), line);
            assertTrue(said.contains("not of the form"), said);
            assertEquals(List.of(), calls());
        }
        assertNotEquals(0, run("RedTest#fails | a | issue 1", "RedTest#fails | a | issue 1"));
        assertNotEquals(0, run("# nothing"));
    }

    @Test
    void aNameThatIsNoTestFailsIt() throws Exception {
        assertNotEquals(0, run("NoTest#here | a cause | issue 3"));
        assertTrue(said.contains("is no test"), said);
        assertNotEquals(0, run("BadTest#compiles | a cause | issue 3"));
        assertFalse(said.contains("as listed"), said);
    }

    @Test
    void aListedTestThatPassesFailsIt() throws Exception {
        assertNotEquals(
                0, run("RedTest#fails | a | issue 1", "GreenTest#passes | a cause | issue 3"));
        assertTrue(said.contains("GreenTest#passes passes"), said);
    }
}
