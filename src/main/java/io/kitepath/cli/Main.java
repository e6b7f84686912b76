package io.kitepath.cli;

import io.kitepath.core.model.InvalidInputException;
import io.kitepath.settings.CellsFile;
import io.kitepath.settings.SettingsFile;
import java.nio.file.Path;

/** The program's entry. */
public final class Main {
    private Main() {}

    /**
     * Starts a node at once for {@code --config FILE}; anything else goes through the command
     * line's parser.
     */
    public static void main(String[] args) {
        properties();
        // The platform starts every node as "--config FILE", on a sliver of a core: that way must
        // not load the command line's library first. Everything else goes through it.
        if (args.length == 2 && args[0].equals("--config")) {
            int status = serve(Path.of(args[1]), null);
            if (status != 0) {
                System.exit(status);
            }
            return;
        }
        CommandLineEntry.run(args);
    }

    /**
     * LOG_LEVEL sets the amount of logging, all of it to standard error; small arenas for small
     * machines.
     */
    static void properties() {
        String level = System.getenv("LOG_LEVEL");
        String known =
                level != null && (level.equals("error") || level.equals("debug")) ? level : "info";
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known);
        System.setProperty(
                "org.slf4j.simpleLogger.log.io.netty", known.equals("debug") ? "info" : known);
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("io.netty.allocator.numHeapArenas", "1");
        System.setProperty("io.netty.allocator.numDirectArenas", "1");
        System.setProperty("io.netty.allocator.maxOrder", "3");
        System.setProperty("io.netty.tryReflectionSetAccessible", "false");
        // Netty's channel ids need none; looking for a hardware address costs a start time.
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("io.netty.processId", "1");
    }

    /**
     * Starts a node, with others if a cells file is given; returns 2 for bad files, 1 if it can't
     * listen, else 0.
     */
    static int serve(Path file, Path cells) {
        try {
            SettingsFile settings = SettingsFile.read(file);
            new Node(settings, cells == null ? null : CellsFile.read(cells, settings.settings()))
                    .start();
            return 0;
        } catch (InvalidInputException invalid) {
            System.err.println("kitepath: " + invalid.getMessage());
            return 2;
        } catch (Exception e) {
            System.err.println("kitepath: can't start: " + e);
            return 1;
        }
    }
}
