package io.kitepath.core.model;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * All cells, as listed in the cells file.
 *
 * @param version increases with every change of the file
 * @param ownCellName the name of the cell that this node belongs to
 * @param cells all cells by name, including this node's own
 */
public record CellDirectory(long version, String ownCellName, Map<String, Cell> cells) {
    private static final Hasher64 HASH = Hashing.xxh3_64();

    /**
     * A cell and its configuration.
     *
     * @param isHome whether the cell can be the home cell of jobs; other cells only run tasks on
     *     loan
     * @param isDraining whether the cell is being drained: it accepts no tasks from other cells and
     *     hands over its waiting ones
     * @param zones the zones where the cell rents machines; each zone belongs to one cell
     * @param nodes the addresses of the cell's nodes by node name
     * @param teams this cell's part of each team's quota and guarantee, by team name
     */
    public record Cell(
            String name,
            boolean isHome,
            boolean isDraining,
            List<String> zones,
            Map<String, String> nodes,
            Map<String, ClusterSettings.Team> teams) {}

    /**
     * Returns the job's home cell, which accepts the job, responds to status queries, cancels it
     * and stores its outcome. It is the cell with the highest hash of its name and the job id among
     * those that can be home cells (rendezvous hashing, D. G. Thaler and C. V. Ravishankar, 1998).
     * Every node computes the same home cell without exchanging messages. Guards against a
     * submission that is sent to two cells and accepted by both.
     */
    public String homeCellOf(String jobId) {
        String homeCellName = null;
        long highestHash = 0;
        for (Cell cell : cells.values()) {
            long hash = HASH.hashCharsToLong(cell.name() + ' ' + jobId);
            if (cell.isHome()
                    && (homeCellName == null || Long.compareUnsigned(hash, highestHash) > 0)) {
                homeCellName = cell.name();
                highestHash = hash;
            }
        }
        return homeCellName;
    }

    /**
     * Returns the names of all home cells, separated by spaces. Two directories return the same
     * text if and only if they assign every job the same home cell.
     */
    public String homeCellNames() {
        TreeSet<String> names = new TreeSet<>();
        cells.values().stream().filter(Cell::isHome).forEach(cell -> names.add(cell.name()));
        return String.join(" ", names);
    }

    /** Returns the cell that this node belongs to. */
    public Cell ownCell() {
        return cells.get(ownCellName);
    }

    /** Returns the zones of all other cells. */
    public Set<String> zonesOfOtherCells() {
        return cells.values().stream()
                .filter(cell -> !cell.name().equals(ownCellName))
                .flatMap(cell -> cell.zones().stream())
                .collect(Collectors.toSet());
    }
}
