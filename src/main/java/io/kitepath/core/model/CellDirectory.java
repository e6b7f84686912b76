package io.kitepath.core.model;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The cells that there are, from the cells file.
 *
 * @param version rises with every change of the file
 * @param ownCellName the cell that this node is part of
 * @param cells by name, this one among them
 */
public record CellDirectory(long version, String ownCellName, Map<String, Cell> cells) {
    private static final Hasher64 HASH = Hashing.xxh3_64();

    /**
     * One cell.
     *
     * @param isHome whether it can be the home of jobs; one that can't only lends its capacity
     * @param isDraining whether it is being emptied: it accepts no tasks of others and hands over
     *     those that wait
     * @param zones where it rents machines; each zone is one cell's
     * @param nodes addresses of its nodes by name
     * @param teams the part of each team's quota and guarantee that is this cell's, by team
     */
    public record Cell(
            String name,
            boolean isHome,
            boolean isDraining,
            List<String> zones,
            Map<String, String> nodes,
            Map<String, ClusterSettings.Team> teams) {}

    /**
     * The cell that accepts, answers and cancels the job and keeps its outcome: the one of the
     * homes whose hash with the id is highest (rendezvous hashing, D. G. Thaler and C. V.
     * Ravishankar, 1998). Guards against a submission that two cells accept because its user came
     * to both: every node works out a job's home alike, without a message.
     */
    public String homeCellOf(String jobId) {
        String best = null;
        long highest = 0;
        for (Cell cell : cells.values()) {
            long hash = HASH.hashCharsToLong(cell.name() + ' ' + jobId);
            if (cell.isHome() && (best == null || Long.compareUnsigned(hash, highest) > 0)) {
                best = cell.name();
                highest = hash;
            }
        }
        return best;
    }

    /** The same for two directories if and only if every job has the same home by both. */
    public String homeCellNames() {
        TreeSet<String> names = new TreeSet<>();
        cells.values().stream().filter(Cell::isHome).forEach(cell -> names.add(cell.name()));
        return String.join(" ", names);
    }

    /** The cell that this node is part of. */
    public Cell ownCell() {
        return cells.get(ownCellName);
    }

    /** The zones of other cells. */
    public Set<String> zonesOfOtherCells() {
        return cells.values().stream()
                .filter(cell -> !cell.name().equals(ownCellName))
                .flatMap(cell -> cell.zones().stream())
                .collect(Collectors.toSet());
    }
}
