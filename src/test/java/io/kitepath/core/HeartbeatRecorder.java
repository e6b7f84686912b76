package io.kitepath.core;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.WorkerNetworkWrapper;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/** Sees all reports on their way, keeps copies of some, and holds up answers. */
final class HeartbeatRecorder extends WorkerNetworkWrapper {
    final SimulatedCluster cluster;
    final List<Heartbeat> kept = new ArrayList<>();
    Predicate<Heartbeat> keeps = heartbeat -> false;

    /** How long the next answer is held up on its way back to the worker. */
    DoubleSupplier answerHeldS = () -> 0;

    int brought;

    /**
     * Of those, the ones whose token was the one of the holder that got them, and which were
     * answered with it.
     */
    int ofItsToken;

    /** Answers that were held up. */
    int late;

    /** Answers to copies that launch something, which nobody hears. */
    int launches;

    /** Reports of workers with tasks that were answered neither with a token nor with a node. */
    int sentOn;

    HeartbeatRecorder(SimulatedCluster cluster) {
        super(cluster.workerNetwork);
        this.cluster = cluster;
        cluster.workerNetwork = this;
    }

    @Override
    public void heartbeat(String node, Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        if (keeps.test(heartbeat)) {
            kept.add(heartbeat);
        }
        double held = answerHeldS.getAsDouble();
        late += held > 0 ? 1 : 0;
        delegate.heartbeat(
                node,
                heartbeat,
                response -> {
                    sentOn +=
                            response.fencingToken() == 0
                                            && response.redirectNode() == null
                                            && !heartbeat.tasks().isEmpty()
                                    ? 1
                                    : 0;
                    if (held > 0) {
                        cluster.after(held, () -> answer.accept(response));
                    } else {
                        answer.accept(response);
                    }
                });
    }

    /** Nobody hears what is answered to a copy. */
    void bring(Heartbeat heartbeat, SimulatedNode node) {
        node.deliver(
                () -> {
                    brought++;
                    ofItsToken +=
                            heartbeat.fencingToken() == node.controller.fencingTokenIfLeading()
                                    ? 1
                                    : 0;

                    node.controller.onHeartbeat(
                            heartbeat,
                            response ->
                                    launches +=
                                            response.commands().stream()
                                                            .anyMatch(
                                                                    command ->
                                                                            command.action()
                                                                                    == WorkerCommand
                                                                                            .Action
                                                                                            .START)
                                                    ? 1
                                                    : 0);
                });
    }

    void bringAll(List<Heartbeat> reports) {
        reports.forEach(
                heartbeat -> cluster.nodes.values().forEach(node -> bring(heartbeat, node)));
    }
}
