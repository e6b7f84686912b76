package io.kitepath.core;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/** Sees all reports on their way, keeps copies of some, and holds up answers. */
final class ReportCopies implements SimulatedCluster.Reach {
    final SimulatedCluster w;
    final SimulatedCluster.Reach usual;
    final List<Heartbeat> kept = new ArrayList<>();
    Predicate<Heartbeat> keeps = r -> false;

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

    ReportCopies(SimulatedCluster w) {
        this.w = w;
        this.usual = w.reach;
        w.reach = this;
    }

    @Override
    public List<String> up() {
        return usual.up();
    }

    @Override
    public void heartbeat(String node, Heartbeat report, Consumer<HeartbeatResponse> answer) {
        if (keeps.test(report)) {
            kept.add(report);
        }
        double held = answerHeldS.getAsDouble();
        late += held > 0 ? 1 : 0;
        usual.heartbeat(
                node,
                report,
                a -> {
                    sentOn +=
                            a.token() == 0 && a.anchor() == null && !report.tasks().isEmpty()
                                    ? 1
                                    : 0;
                    if (held > 0) {
                        w.after(held, () -> answer.accept(a));
                    } else {
                        answer.accept(a);
                    }
                });
    }

    /** Nobody hears what is answered to a copy. */
    void bring(Heartbeat r, SimulatedNode n) {
        n.deliver(
                () -> {
                    brought++;
                    ofItsToken += r.token() == n.controller.leadsWith() ? 1 : 0;

                    n.controller.heartbeat(
                            r,
                            c ->
                                    launches +=
                                            c.orders().stream()
                                                            .anyMatch(
                                                                    o ->
                                                                            o.verb()
                                                                                    == WorkerCommand
                                                                                            .Action
                                                                                            .START)
                                                    ? 1
                                                    : 0);
                });
    }

    void bringAll(List<Heartbeat> reports) {
        reports.forEach(r -> w.nodes.values().forEach(n -> bring(r, n)));
    }
}
