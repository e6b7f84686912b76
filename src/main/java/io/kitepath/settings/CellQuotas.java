package io.kitepath.settings;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Reads and checks the shares of the teams' quotas and guarantees in the cells file. */
final class CellQuotas {
    /**
     * The quota of a cell without a share of the team's quota. It is smaller than the demand of any
     * task; 0 would mean no limit.
     */
    private static final double ZERO_SHARE_LIMIT = 1e-9;

    /** Tolerated excess of the sum of shares over the quota, due to rounding of decimal numbers. */
    private static final double SUM_TOLERANCE = 1e-6;

    /** Rounds sums in error messages to three decimals. */
    private static final double MESSAGE_ROUNDING_FACTOR = 1000.0;

    /** The amounts of a team with their fields in the file, in the order of the checks. */
    private static final List<Amount> AMOUNTS =
            List.of(
                    new Amount("cpus", ClusterSettings.Team::guaranteedCpus),
                    new Amount("cpus_max", ClusterSettings.Team::maxCpus),
                    new Amount("gpus", ClusterSettings.Team::guaranteedGpus),
                    new Amount("gpus_max", ClusterSettings.Team::maxGpus));

    private record Amount(String field, ToDoubleFunction<ClusterSettings.Team> valueOf) {}

    private CellQuotas() {}

    /** Returns the cell's shares by team; a team that the cell does not name has no share. */
    static Map<String, ClusterSettings.Team> parse(DocumentReader cell, ClusterSettings settings) {
        Map<String, DocumentReader> shares = new HashMap<>();
        if (cell.has("teams")) {
            for (DocumentReader share : cell.children("teams")) {
                String name = share.text("name");
                if (!settings.teams().containsKey(name)) {
                    throw share.invalid("name", "the settings have no team \"" + name + "\"");
                }
                shares.put(name, share);
            }
        }
        Map<String, ClusterSettings.Team> teams = new LinkedHashMap<>();
        for (ClusterSettings.Team total : settings.teams().values()) {
            DocumentReader share = shares.get(total.name());
            teams.put(
                    total.name(),
                    new ClusterSettings.Team(
                            total.name(),
                            share == null ? 0 : share.numberOr("cpus", 0, 0),
                            limit(share, "cpus_max", total.maxCpus()),
                            share == null ? 0 : share.numberOr("gpus", 0, 0),
                            limit(share, "gpus_max", total.maxGpus())));
        }
        return teams;
    }

    /**
     * Returns the cell's limit: 0 if the settings set none for the team, else a positive number.
     *
     * @param share null if the cell does not name the team
     * @param total the team's limit in the settings, 0 if there is none
     */
    private static double limit(DocumentReader share, String field, double total) {
        double limit = share == null ? 0 : share.numberOr(field, 0, 0);
        if (total == 0) {
            if (limit > 0) {
                throw share.invalid(
                        field,
                        "must be 0 or absent, as the settings set no such limit for this team");
            }
            return 0;
        }
        return limit > 0 ? limit : ZERO_SHARE_LIMIT;
    }

    /**
     * Checks that the shares of each quota add up to no more than the quota, which otherwise could
     * be exceeded.
     */
    static void checkSums(
            DocumentReader document, CellDirectory directory, ClusterSettings settings) {
        for (ClusterSettings.Team total : settings.teams().values()) {
            for (Amount amount : AMOUNTS) {
                checkSum(document, directory, total, amount);
            }
        }
    }

    private static void checkSum(
            DocumentReader document,
            CellDirectory directory,
            ClusterSettings.Team total,
            Amount amount) {
        double sum = 0;
        for (CellDirectory.Cell cell : directory.cells().values()) {
            sum += amount.valueOf().applyAsDouble(cell.teams().get(total.name()));
        }
        double limit = amount.valueOf().applyAsDouble(total);
        if (sum > limit + SUM_TOLERANCE) {
            throw document.invalid(
                    "cells",
                    "the shares of \""
                            + amount.field()
                            + "\" of team \""
                            + total.name()
                            + "\" add up to "
                            + Math.round(sum * MESSAGE_ROUNDING_FACTOR) / MESSAGE_ROUNDING_FACTOR
                            + ", the settings have "
                            + limit);
        }
    }
}
