package io.kitepath.simulation;

import java.util.List;

/** A worker network around another one, to which a subclass passes heartbeats on as it likes. */
public abstract class WorkerNetworkWrapper implements SimulatedCluster.WorkerNetwork {
    /** The wrapped network. */
    protected final SimulatedCluster.WorkerNetwork delegate;

    /** Wraps the given network; the caller installs the result in the cluster. */
    protected WorkerNetworkWrapper(SimulatedCluster.WorkerNetwork delegate) {
        this.delegate = delegate;
    }

    @Override
    public List<String> aliveNodes() {
        return delegate.aliveNodes();
    }
}
