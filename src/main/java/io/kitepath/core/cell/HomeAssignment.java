package io.kitepath.core.cell;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.StoreKeys;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * By which homes this cell goes, which its store says. Guards against a file that names other homes
 * being rolled out node by node: two nodes would each send the same job to another home, and both
 * homes would accept it. A node whose homes are not the cell's answers no user until it has the
 * right file; everything else in the file may differ.
 */
final class HomeAssignment {
    private static final Logger LOG = LoggerFactory.getLogger(HomeAssignment.class);

    private final CellDirectory cellDirectory;
    private final Store store;
    private final Timers timers;
    private boolean agreed;
    private boolean disagreementLogged;

    HomeAssignment(CellDirectory cellDirectory, Store store, Timers timers) {
        this.cellDirectory = cellDirectory;
        this.store = store;
        this.timers = timers;
    }

    boolean agreed() {
        return agreed;
    }

    void check() {
        store.get(
                StoreKeys.CELLS,
                (outcome, entry) -> {
                    if (outcome == Outcome.OK) {
                        DocumentReader document = DocumentReader.of(entry.value());
                        compare(document.text("homes"));
                        if (agreed && document.count("version") < cellDirectory.version()) {
                            write(entry.revision());
                        }
                    } else if (outcome == Outcome.REJECTED) {
                        write(0);
                        return;
                    }
                    if (!agreed) {
                        timers.schedule(outcome == Outcome.OK ? 10 : 0.5, this::check);
                    }
                });
    }

    private void compare(String theirs) {
        agreed = theirs.equals(cellDirectory.homeCellNames());
        if (!agreed && !disagreementLogged) {
            disagreementLogged = true;
            LOG.error(
                    "the cells file names the homes \"{}\", this cell goes by \"{}\": no user is answered here",
                    cellDirectory.homeCellNames(),
                    theirs);
        }
    }

    private void write(long revision) {
        store.commit(
                new Transaction()
                        .requireRevision(StoreKeys.CELLS, revision)
                        .put(
                                StoreKeys.CELLS,
                                Map.of(
                                        "version",
                                        cellDirectory.version(),
                                        "homes",
                                        cellDirectory.homeCellNames())),
                result -> {
                    if (!agreed) {
                        timers.schedule(0.1, this::check);
                    }
                });
    }
}
