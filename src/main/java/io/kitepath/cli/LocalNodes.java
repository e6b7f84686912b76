package io.kitepath.cli;

import io.kitepath.settings.JsonCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Nodes as processes of their own on this machine. Each has its settings file and its log in one
 * directory, and can be killed, frozen and started again, also with another version of the program.
 * Safe for use by several threads.
 */
final class LocalNodes {
    private final Path directory;
    private final Optional<Path> earlierVersion;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Map<String, Path> settingsFiles = new ConcurrentHashMap<>();

    /** Nodes whose next process is of this version instead of the earlier one. */
    private final Set<String> toUpgrade = ConcurrentHashMap.newKeySet();

    /** Nodes that have been started with this version. */
    private final Set<String> upgraded = ConcurrentHashMap.newKeySet();

    /** Processes that were killed on purpose. */
    private final Set<Long> killedProcessIds = ConcurrentHashMap.newKeySet();

    private final Queue<String> unexpectedEnds = new ConcurrentLinkedQueue<>();
    private volatile boolean isEnding;

    /**
     * @param earlierVersion the jar of an earlier version that nodes start with, if any
     */
    LocalNodes(Path directory, Optional<Path> earlierVersion) {
        this.directory = directory;
        this.earlierVersion = earlierVersion;
    }

    /** Writes a node's settings file and starts its process. */
    void add(String node, Map<String, Object> settings) throws IOException {
        Path file = directory.resolve(node + ".json");
        Files.write(file, JsonCodec.toJson(settings));
        settingsFiles.put(node, file);
        start(node);
    }

    /** Lets a node run this version from its next start on. */
    void upgradeAtNextStart(String node) {
        toUpgrade.add(node);
    }

    /** Whether nodes started with an earlier version of the program. */
    boolean beganWithEarlierVersion() {
        return earlierVersion.isPresent();
    }

    /** Whether that many nodes have been started with this version. */
    boolean areAllUpgraded(int count) {
        return earlierVersion.isEmpty() || upgraded.size() == count;
    }

    /** Stops a node's process with SIGSTOP and lets it go on after that time. */
    void freeze(String node, long millis) {
        Process process = processes.get(node);
        signal(process, "STOP");
        later("local-unfreeze-" + node, millis, () -> signal(process, "CONT"));
    }

    /** Kills a node's process with SIGKILL and waits until it has ended. */
    void kill(String node) throws InterruptedException {
        Process process = processes.get(node);
        killedProcessIds.add(process.pid());
        process.destroyForcibly().waitFor();
    }

    /** Starts a node after that time, unless its process is alive by then. */
    void restartLater(String node, long millis) {
        later("local-restart-" + node, millis, () -> startIfEnded(node));
    }

    /** Starts a node unless its process is alive. */
    void startIfEnded(String node) {
        if (!processes.get(node).isAlive()) {
            start(node);
        }
    }

    /** Stops a node's process with SIGSTOP until {@link #unfreeze}. */
    void freeze(String node) {
        signal(processes.get(node), "STOP");
    }

    /** Lets a node's process go on. */
    void unfreeze(String node) {
        signal(processes.get(node), "CONT");
    }

    /** Nodes whose processes ended without being killed, with their exit codes. */
    List<String> unexpectedEnds() {
        return List.copyOf(unexpectedEnds);
    }

    /** Kills all processes; none is started from now on by what is due later. */
    void endAll() {
        isEnding = true;
        processes.values().forEach(Process::destroyForcibly);
    }

    private void start(String node) {
        try {
            Process process = processBuilder(node, classPath(node)).start();
            processes.put(node, process);
            process.onExit().thenAccept(ended -> onEnd(node, ended));
        } catch (IOException failure) {
            System.err.println("kitepath: " + node + " can't be started: " + failure);
        }
    }

    private void onEnd(String node, Process ended) {
        if (!isEnding && !killedProcessIds.contains(ended.pid())) {
            unexpectedEnds.add(node + " with exit code " + ended.exitValue());
        }
    }

    /** The version that the node's next process runs. */
    private String classPath(String node) {
        if (earlierVersion.isPresent() && !toUpgrade.contains(node)) {
            return earlierVersion.get().toString();
        }
        upgraded.add(node);
        return System.getProperty("java.class.path");
    }

    private ProcessBuilder processBuilder(String node, String classPath) {
        return new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-Xmx64m",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        classPath,
                        Main.class.getName(),
                        "--config",
                        settingsFiles.get(node).toString())
                .redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(
                                directory.resolve(node + ".log").toFile()));
    }

    private static void signal(Process process, String name) {
        try {
            new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        } catch (IOException | InterruptedException failure) {
            System.err.println("kitepath: can't send SIG" + name + ": " + failure);
        }
    }

    private void later(String threadName, long millis, Runnable action) {
        Thread thread = new Thread(() -> runLater(millis, action), threadName);
        thread.setDaemon(true);
        thread.start();
    }

    private void runLater(long millis, Runnable action) {
        try {
            Thread.sleep(millis);
            if (!isEnding) {
                action.run();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
