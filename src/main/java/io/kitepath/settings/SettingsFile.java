package io.kitepath.settings;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The checked contents of the settings file provided by the platform. Unknown fields are ignored.
 *
 * @param settings the settings of the core
 * @param listenAddress the address for users, workers and health checks
 * @param internalAddress the address for peers
 * @param siblingAddresses the internal addresses of the peers, by node name
 * @param cloudAddress the address of the cloud
 * @param storeAddress the address of the state service
 */
public record SettingsFile(
        ClusterSettings settings,
        InetSocketAddress listenAddress,
        InetSocketAddress internalAddress,
        Map<String, InetSocketAddress> siblingAddresses,
        InetSocketAddress cloudAddress,
        InetSocketAddress storeAddress) {
    /** The smallest valid time or rate; with 0 nothing would ever happen, or everything at once. */
    private static final double MIN_POSITIVE_VALUE = 0.001;

    private static final int MIN_TRANSACTION_OPERATIONS = 4;
    private static final int MAX_TRANSACTION_OPERATIONS = 1_000_000;
    private static final int MIN_SOCKET_LIMIT = 16;

    /**
     * Reads a file.
     *
     * @throws InvalidInputException that names the file, the field and the reason
     */
    public static SettingsFile read(Path file) {
        return InputFile.read(file, SettingsFile::parse);
    }

    /**
     * Parses the content of a file.
     *
     * @throws InvalidInputException that names the field and the reason
     */
    public static SettingsFile parse(byte[] json) {
        return parse(DocumentReader.of(JsonCodec.parseJson(json)));
    }

    private static SettingsFile parse(DocumentReader document) {
        // The order determines which of several invalid fields the error names.
        String node = document.text("label");
        Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
        for (DocumentReader peer : document.children("siblings")) {
            peers.put(peer.text("label"), InputFile.address(peer, "addr"));
        }
        ClusterSettings settings = settings(document, node, List.copyOf(peers.keySet()));
        DocumentReader endpoints = document.child("endpoints");
        return new SettingsFile(
                settings,
                InputFile.address(document, "listen"),
                InputFile.address(document, "internal_addr"),
                peers,
                InputFile.address(endpoints, "cloud"),
                InputFile.address(endpoints, "state"));
    }

    private static ClusterSettings settings(
            DocumentReader document, String node, List<String> peers) {
        DocumentReader factsDocument = document.child("facts");
        Map<String, ClusterSettings.Team> teams = teams(factsDocument);
        List<ClusterSettings.Objective> objectives = objectives(factsDocument);
        DocumentReader workers = factsDocument.child("workers");
        DocumentReader state = factsDocument.child("state");
        DocumentReader cloud = factsDocument.child("cloud");
        DocumentReader limits = factsDocument.child("limits");
        return new ClusterSettings(
                node,
                document.text("domain"),
                peers,
                factsDocument.texts("zones"),
                teams,
                objectives,
                workerTimings(workers),
                storeLimits(state),
                new ClusterSettings.CloudLimits(
                        cloud.number("rps", MIN_POSITIVE_VALUE), cloud.number("list_lag_s", 0)),
                new ClusterSettings.ProcessLimits(
                        limits.number("cpu", MIN_POSITIVE_VALUE),
                        limits.number("ram_mb", 1),
                        (int) limits.integer("sockets", MIN_SOCKET_LIMIT, Integer.MAX_VALUE)),
                factsDocument.numberOr(
                        "clock_error_ms", 0, document.numberOr("clock_error_ms", 0, 0)));
    }

    private static Map<String, ClusterSettings.Team> teams(DocumentReader factsDocument) {
        Map<String, ClusterSettings.Team> teams = new LinkedHashMap<>();
        for (DocumentReader team : factsDocument.children("teams")) {
            teams.put(
                    team.text("name"),
                    new ClusterSettings.Team(
                            team.text("name"),
                            team.numberOr("cpus", 0, 0),
                            team.numberOr("cpus_max", 0, 0),
                            team.numberOr("gpus", 0, 0),
                            team.numberOr("gpus_max", 0, 0)));
        }
        return teams;
    }

    private static List<ClusterSettings.Objective> objectives(DocumentReader factsDocument) {
        List<ClusterSettings.Objective> objectives = new ArrayList<>();
        if (factsDocument.has("objectives")) {
            for (DocumentReader objective : factsDocument.children("objectives")) {
                objectives.add(
                        new ClusterSettings.Objective(
                                objective.text("kind"),
                                objective.textOr("class", ""),
                                objective.numberOr("within_s", 0, 0),
                                objective.numberOr("times", 0, 1),
                                objective.numberOr("share", 0, 0)));
            }
        }
        return objectives;
    }

    private static ClusterSettings.WorkerTimings workerTimings(DocumentReader workers) {
        return new ClusterSettings.WorkerTimings(
                workers.number("report_s", MIN_POSITIVE_VALUE),
                workers.number("lease_s", MIN_POSITIVE_VALUE),
                workers.number("gang_wait_s", 0),
                workers.number("gang_peer_s", 0),
                workers.number("cancel_s", 0));
    }

    /** Returns the state service's limits, tightened by those announced for a later time. */
    private static ClusterSettings.StoreLimits storeLimits(DocumentReader state) {
        ClusterSettings.StoreLimits current =
                new ClusterSettings.StoreLimits(
                        state.number("rps", 1),
                        state.number("write_rps", 1),
                        state.number("value_kb", 1),
                        transactionOperations(state));
        if (!state.has("next")) {
            return current;
        }
        DocumentReader next = state.child("next");
        return current.tightenedBy(
                new ClusterSettings.StoreLimits(
                        next.numberOr("rps", 1, current.requestsPerSecond()),
                        next.numberOr("write_rps", 1, current.writesPerSecond()),
                        next.numberOr("value_kb", 1, current.maxValueKibibytes()),
                        next.has("txn_ops")
                                ? transactionOperations(next)
                                : current.maxTransactionOperations()));
    }

    private static int transactionOperations(DocumentReader state) {
        return (int)
                state.integer("txn_ops", MIN_TRANSACTION_OPERATIONS, MAX_TRANSACTION_OPERATIONS);
    }
}
