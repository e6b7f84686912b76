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
 * The settings file that the platform hands over, checked. Fields that this version does not know
 * are ignored.
 *
 * @param settings what the core has to know
 * @param listenAddress where users, workers and health checks connect to
 * @param internalAddress where peers connect to
 * @param siblingAddresses the peers' internal addresses, by name
 * @param cloudAddress the cloud's
 * @param storeAddress the state service's
 */
public record SettingsFile(
        ClusterSettings settings,
        InetSocketAddress listenAddress,
        InetSocketAddress internalAddress,
        Map<String, InetSocketAddress> siblingAddresses,
        InetSocketAddress cloudAddress,
        InetSocketAddress storeAddress) {
    /** Times and rates of 0 would mean that nothing ever happens, or all at once. */
    private static final double SMALLEST_POSITIVE = 0.001;

    private static final int MIN_TRANSACTION_OPERATIONS = 4;
    private static final int MAX_TRANSACTION_OPERATIONS = 1_000_000;
    private static final int MIN_SOCKETS = 16;

    /** Reads a file; an {@link InvalidInputException} names file, field and reason. */
    public static SettingsFile read(Path file) {
        return InputFile.read(file, SettingsFile::parse);
    }

    /** Reads a file's content; an {@link InvalidInputException} names field and reason. */
    public static SettingsFile parse(byte[] json) {
        return parse(DocumentReader.of(JsonCodec.parseJson(json)));
    }

    private static SettingsFile parse(DocumentReader document) {
        // The order decides which of several wrong fields is named.
        String node = document.text("label");
        Map<String, InetSocketAddress> siblings = new LinkedHashMap<>();
        for (DocumentReader sibling : document.children("siblings")) {
            siblings.put(sibling.text("label"), InputFile.address(sibling, "addr"));
        }
        ClusterSettings settings = settings(document, node, List.copyOf(siblings.keySet()));
        DocumentReader endpoints = document.child("endpoints");
        return new SettingsFile(
                settings,
                InputFile.address(document, "listen"),
                InputFile.address(document, "internal_addr"),
                siblings,
                InputFile.address(endpoints, "cloud"),
                InputFile.address(endpoints, "state"));
    }

    private static ClusterSettings settings(
            DocumentReader document, String node, List<String> siblings) {
        DocumentReader facts = document.child("facts");
        Map<String, ClusterSettings.Team> teams = teams(facts);
        List<ClusterSettings.Objective> objectives = objectives(facts);
        DocumentReader workers = facts.child("workers");
        DocumentReader state = facts.child("state");
        DocumentReader cloud = facts.child("cloud");
        DocumentReader limits = facts.child("limits");
        return new ClusterSettings(
                node,
                document.text("domain"),
                siblings,
                facts.texts("zones"),
                teams,
                objectives,
                workerTimings(workers),
                storeLimits(state),
                new ClusterSettings.CloudLimits(
                        cloud.number("rps", SMALLEST_POSITIVE), cloud.number("list_lag_s", 0)),
                new ClusterSettings.ProcessLimits(
                        limits.number("cpu", SMALLEST_POSITIVE),
                        limits.number("ram_mb", 1),
                        (int) limits.integer("sockets", MIN_SOCKETS, Integer.MAX_VALUE)),
                facts.numberOr("clock_error_ms", 0, document.numberOr("clock_error_ms", 0, 0)));
    }

    private static Map<String, ClusterSettings.Team> teams(DocumentReader facts) {
        Map<String, ClusterSettings.Team> teams = new LinkedHashMap<>();
        for (DocumentReader team : facts.children("teams")) {
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

    private static List<ClusterSettings.Objective> objectives(DocumentReader facts) {
        List<ClusterSettings.Objective> objectives = new ArrayList<>();
        if (facts.has("objectives")) {
            for (DocumentReader objective : facts.children("objectives")) {
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
                workers.number("report_s", SMALLEST_POSITIVE),
                workers.number("lease_s", SMALLEST_POSITIVE),
                workers.number("gang_wait_s", 0),
                workers.number("gang_peer_s", 0),
                workers.number("cancel_s", 0));
    }

    /** The state service's limits, tightened by those that are announced for some later time. */
    private static ClusterSettings.StoreLimits storeLimits(DocumentReader state) {
        ClusterSettings.StoreLimits now =
                new ClusterSettings.StoreLimits(
                        state.number("rps", 1),
                        state.number("write_rps", 1),
                        state.number("value_kb", 1),
                        transactionOperations(state));
        if (!state.has("next")) {
            return now;
        }
        DocumentReader next = state.child("next");
        return now.tightenedBy(
                new ClusterSettings.StoreLimits(
                        next.numberOr("rps", 1, now.requestsPerSecond()),
                        next.numberOr("write_rps", 1, now.writesPerSecond()),
                        next.numberOr("value_kb", 1, now.maxValueKibibytes()),
                        next.has("txn_ops")
                                ? transactionOperations(next)
                                : now.maxTransactionOperations()));
    }

    private static int transactionOperations(DocumentReader state) {
        return (int)
                state.integer("txn_ops", MIN_TRANSACTION_OPERATIONS, MAX_TRANSACTION_OPERATIONS);
    }
}
