package io.kitepath.core.state;

import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter.BatchContributor;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes down, once in a deployment, how many tasks a part of a job holds whose record does not say
 * so. Guards against settings that change: a part's key would mean other tasks, and those on
 * machines would be started once more.
 */
final class LayoutRecord implements BatchContributor {
    private static final Logger LOG = LoggerFactory.getLogger(LayoutRecord.class);

    private final ShardState shard;

    LayoutRecord(ShardState shard) {
        this.shard = shard;
    }

    @Override
    public boolean isUrgent() {
        return false;
    }

    @Override
    public boolean isStillWanted() {
        return true;
    }

    @Override
    public void contributeTo(Transaction transaction) {
        transaction
                .requireRevision(StoreKeys.LAYOUT, 0)
                .put(StoreKeys.LAYOUT, Map.of("partTasks", (long) shard.tasksPerPart()));
    }

    @Override
    public void onCommitted(long revision) {
        LOG.info("record layout written: tasksPerPart={}", shard.tasksPerPart());
    }
}
