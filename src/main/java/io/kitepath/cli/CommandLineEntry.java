package io.kitepath.cli;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.settings.CellsFile;
import io.kitepath.settings.JsonCodec;
import io.kitepath.settings.SettingsFile;
import io.kitepath.wire.MessagePackCodec;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands for people. */
@Command(
        name = "kitepath",
        mixinStandardHelpOptions = true,
        versionProvider = CommandLineEntry.Version.class,
        description = "A cluster scheduler.",
        subcommands = {
            CommandLineEntry.Serve.class,
            CommandLineEntry.Submit.class,
            CommandLineEntry.Status.class,
            CommandLineEntry.Cancel.class,
            CommandLineEntry.Check.class,
            CommandLineEntry.Duties.class,
            StateCommand.class,
            LocalCommand.class,
            SoakCommand.class,
            RehearseCommand.class
        })
final class CommandLineEntry implements Callable<Integer> {
    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "Without a command: serve with these settings.")
    Path config;

    @Option(
            names = "--cells",
            paramLabel = "FILE",
            description = "With --config: the file that names the cells.")
    Path cells;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    static void run(String[] args) {
        int status = new CommandLine(new CommandLineEntry()).execute(args);
        if (status != 0 || !serving) {
            System.exit(status);
        }
    }

    private static boolean serving;

    @Override
    public Integer call() {
        if (config == null) {
            spec.commandLine().usage(System.err);
            return 2;
        }
        return serve(config, cells);
    }

    private static int serve(Path config, Path cells) {
        int status = Main.serve(config, cells);
        serving = status == 0;
        return status;
    }

    /** The version as the jar's manifest has it. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String v = CommandLineEntry.class.getPackage().getImplementationVersion();
            return new String[] {"kitepath " + (v == null ? "(unpackaged)" : v)};
        }
    }

    /** Runs a controller node until it is stopped. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Runs a controller node.")
    static final class Serve implements Callable<Integer> {
        @Option(
                names = "--config",
                paramLabel = "FILE",
                required = true,
                description = "The settings file.")
        Path config;

        @Option(
                names = "--cells",
                paramLabel = "FILE",
                description = "The file that names the cells.")
        Path cells;

        @Override
        public Integer call() {
            return serve(config, cells);
        }
    }

    /** Checks a settings file, and a cells file if there is one, without starting a node. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Checks a settings file; exits 2 and says what is wrong, if anything is.")
    static final class Check implements Callable<Integer> {
        @Option(
                names = "--config",
                paramLabel = "FILE",
                required = true,
                description = "The settings file.")
        Path config;

        @Option(
                names = "--cells",
                paramLabel = "FILE",
                description = "The file that names the cells.")
        Path cells;

        @Override
        public Integer call() {
            try {
                SettingsFile s = SettingsFile.read(config);
                System.out.println(
                        config
                                + ": ok, node "
                                + s.settings().node()
                                + " of "
                                + (s.siblingAddresses().size() + 1));
                if (cells != null) {
                    CellDirectory directory = CellsFile.read(cells, s.settings()).directory();
                    System.out.println(
                            cells
                                    + ": ok, cell "
                                    + directory.ownCellName()
                                    + " of "
                                    + directory.cells().size()
                                    + ", homes: "
                                    + directory.homeCellNames());
                }
                return 0;
            } catch (InvalidInputException invalid) {
                System.err.println("kitepath: " + invalid.getMessage());
                return 2;
            }
        }
    }

    /** Where to ask, and how the answer is shown. */
    static final class Target {
        @Option(
                names = "--node",
                paramLabel = "HOST:PORT",
                required = true,
                description = "A controller node.")
        String node;

        int call(String method, String path, byte[] body) throws Exception {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + node + path))
                            .timeout(Duration.ofSeconds(5))
                            .method(
                                    method,
                                    body == null
                                            ? HttpRequest.BodyPublishers.noBody()
                                            : HttpRequest.BodyPublishers.ofByteArray(body))
                            .build();
            HttpResponse<byte[]> r;
            try {
                r =
                        HttpClient.newHttpClient()
                                .send(request, HttpResponse.BodyHandlers.ofByteArray());
            } catch (java.io.IOException e) {
                System.err.println("kitepath: " + node + " did not answer: " + e);
                return 1;
            }
            boolean good = r.statusCode() / 100 == 2;
            String shown = r.body().length == 0 ? "" : " " + MessagePackCodec.decode(r.body());
            (good ? System.out : System.err).println(r.statusCode() + shown);
            return good ? 0 : 1;
        }
    }

    /** Submits a job that a JSON file describes. */
    @Command(
            name = "submit",
            mixinStandardHelpOptions = true,
            description = "Submits a job described in a JSON file with the protocol's fields.")
    static final class Submit implements Callable<Integer> {
        @Mixin Target target;

        @Parameters(paramLabel = "FILE", description = "The job, as JSON.")
        Path file;

        @Override
        public Integer call() throws Exception {
            Object job;
            try {
                job = JsonCodec.parseJson(Files.readAllBytes(file));
            } catch (java.io.IOException | InvalidInputException e) {
                System.err.println("kitepath: " + file + ": " + e.getMessage());
                return 2;
            }
            return target.call("POST", "/submissions", MessagePackCodec.encode(job));
        }
    }

    /** Asks a node for a job's state. */
    @Command(name = "status", mixinStandardHelpOptions = true, description = "Shows a job's state.")
    static final class Status implements Callable<Integer> {
        @Mixin Target target;

        @Parameters(paramLabel = "JOB", description = "The job's id.")
        String jobId;

        @Override
        public Integer call() throws Exception {
            return target.call("GET", "/submissions/" + jobId, null);
        }
    }

    /** Asks a node which node holds which leased role. */
    @Command(
            name = "duties",
            mixinStandardHelpOptions = true,
            description = "Shows which node has which duty, as far as the asked one knows.")
    static final class Duties implements Callable<Integer> {
        @Mixin Target target;

        @Override
        public Integer call() throws Exception {
            return target.call("GET", "/duties", null);
        }
    }

    /** Cancels a job. */
    @Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancels a job.")
    static final class Cancel implements Callable<Integer> {
        @Mixin Target target;

        @Parameters(paramLabel = "JOB", description = "The job's id.")
        String jobId;

        @Override
        public Integer call() throws Exception {
            return target.call(
                    "POST",
                    "/submissions/" + jobId + "/withdraw",
                    MessagePackCodec.encode(Map.of()));
        }
    }
}
