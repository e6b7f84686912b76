package io.kitepath.core.cell;

import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter;
import java.util.Random;
import java.util.function.Consumer;

/**
 * What every exchange with other cells works with. All of it is used on the node's event loop only.
 *
 * @param ownCell name of this cell
 * @param shard the cell's jobs and machines
 * @param batchQueue takes what is to be written along with the leader's next batch
 * @param timers clocks and timers of the event loop
 * @param cellQuery sends a message to the leader of another cell
 * @param random spreads retries
 */
record CellContext(
        String ownCell,
        ShardState shard,
        Consumer<StateWriter.BatchContributor> batchQueue,
        Timers timers,
        CellQuery cellQuery,
        Random random) {
    /** The longest delay between two tries, in seconds. */
    double leaseSeconds() {
        return shard.settings().workers().leaseSeconds();
    }
}
