package io.kitepath.core.model;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The cells there are, as the cells file says.
 *
 * @param version rises with every change of the file
 * @param ownCellName the cell that this node is of
 * @param cells by name, this one among them
 */
public record CellDirectory(long version, String ownCellName, Map<String, Cell> cells) {
    private static final Hasher64 HASH = Hashing.xxh3_64();

    /**
     * One cell.
     *
     * @param isHome whether jobs are at home here; one that is not only lends its room
     * @param isDraining whether it is being emptied: it takes nothing of others and hands over what
     *     waits
     * @param nodes addresses of its nodes by name
     * @param teams the part of each team's limits and guarantees that is this cell's
     */
    public record Cell(
            String name,
            boolean isHome,
            boolean isDraining,
            List<String> zones,
            Map<String, String> nodes,
            Map<String, ClusterSettings.Team> teams) {}

    /**
     * The cell that accepts, answers and cancels the job and keeps its end: the one of the homes
     * whose hash with the id is highest (rendezvous hashing, D. G. Thaler and C. V. Ravishankar,
     * 1998). Guards against a submission that two cells accept because its user came to both: where
     * a job is at home is a fact that every node works out alike and that needs no message.
     */
    public String homeCellOf(String jobId) {
        String best = null;
        long most = 0;
        for (Cell cell : cells.values()) {
            long h = HASH.hashCharsToLong(cell.name() + ' ' + jobId);
            if (cell.isHome() && (best == null || Long.compareUnsigned(h, most) > 0)) {
                best = cell.name();
                most = h;
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
