package io.kitepath.settings;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The parts of the teams' quotas and guarantees that the cells file gives each cell. */
final class CellQuotas {
    /**
     * Less than any task takes: the quota of a cell that has no part of one, where 0 would mean no
     * limit.
     */
    private static final double SMALLEST_LIMIT = 1e-9;

    /** How far parts of a whole may add up to more because they are decimal numbers. */
    private static final double SUM_TOLERANCE = 1e-6;

    /** Three decimals are enough for a complaint. */
    private static final double COMPLAINT_PRECISION = 1000.0;

    /** Each amount of a team by its field in the file, in the order in which they are checked. */
    private static final List<Amount> AMOUNTS =
            List.of(
                    new Amount("cpus", ClusterSettings.Team::guaranteedCpus),
                    new Amount("cpus_max", ClusterSettings.Team::maxCpus),
                    new Amount("gpus", ClusterSettings.Team::guaranteedGpus),
                    new Amount("gpus_max", ClusterSettings.Team::maxGpus));

    private record Amount(String field, ToDoubleFunction<ClusterSettings.Team> of) {}

    private CellQuotas() {}

    /** A cell's part by team; a team that the cell does not name has none. */
    static Map<String, ClusterSettings.Team> parse(DocumentReader cell, ClusterSettings settings) {
        Map<String, DocumentReader> parts = new HashMap<>();
        if (cell.has("teams")) {
            for (DocumentReader part : cell.children("teams")) {
                String name = part.text("name");
                if (!settings.teams().containsKey(name)) {
                    throw part.invalid("name", "the settings have no team \"" + name + "\"");
                }
                parts.put(name, part);
            }
        }
        Map<String, ClusterSettings.Team> teams = new LinkedHashMap<>();
        for (ClusterSettings.Team whole : settings.teams().values()) {
            DocumentReader part = parts.get(whole.name());
            teams.put(
                    whole.name(),
                    new ClusterSettings.Team(
                            whole.name(),
                            part == null ? 0 : part.numberOr("cpus", 0, 0),
                            limit(part, "cpus_max", whole.maxCpus()),
                            part == null ? 0 : part.numberOr("gpus", 0, 0),
                            limit(part, "gpus_max", whole.maxGpus())));
        }
        return teams;
    }

    /** {@code part}: null if the cell does not name the team. */
    private static double limit(DocumentReader part, String field, double whole) {
        double limit = part == null ? 0 : part.numberOr(field, 0, 0);
        if (whole == 0) {
            if (limit > 0) {
                throw part.invalid(field, "the settings limit this team to nothing there");
            }
            return 0;
        }
        return limit > 0 ? limit : SMALLEST_LIMIT;
    }

    /** Parts that add up to more than the whole would be a limit that nobody keeps. */
    static void checkSums(
            DocumentReader document, CellDirectory directory, ClusterSettings settings) {
        for (ClusterSettings.Team whole : settings.teams().values()) {
            for (Amount amount : AMOUNTS) {
                checkSum(document, directory, whole, amount);
            }
        }
    }

    private static void checkSum(
            DocumentReader document,
            CellDirectory directory,
            ClusterSettings.Team whole,
            Amount amount) {
        double sum = 0;
        for (CellDirectory.Cell cell : directory.cells().values()) {
            sum += amount.of().applyAsDouble(cell.teams().get(whole.name()));
        }
        double limit = amount.of().applyAsDouble(whole);
        if (sum > limit + SUM_TOLERANCE) {
            throw document.invalid(
                    "cells",
                    "the parts of \""
                            + amount.field()
                            + "\" of team \""
                            + whole.name()
                            + "\" add up to "
                            + Math.round(sum * COMPLAINT_PRECISION) / COMPLAINT_PRECISION
                            + ", the settings have "
                            + limit);
        }
    }
}
