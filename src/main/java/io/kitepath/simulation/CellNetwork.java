package io.kitepath.simulation;

import io.kitepath.core.model.CellMessage;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * The network between the cells of a {@link MultiCellSimulation}. It loses, duplicates, delays and
 * holds back messages as the simulation's fields say.
 */
final class CellNetwork {
    private static final double ONE_WAY_SECONDS = 0.002;
    private static final double TIMEOUT_SECONDS = 1;
    private static final double MAX_DUPLICATE_DELAY_SECONDS = 5;
    private static final double MAX_DELAY_SECONDS = 60;

    private final MultiCellSimulation simulation;
    private final Random random;

    CellNetwork(MultiCellSimulation simulation, Random random) {
        this.simulation = simulation;
        this.random = random;
    }

    /**
     * Sends a message to another cell and answers once: with the response, or with null when the
     * sender's timeout is over.
     *
     * @param node the node to send to, or null for any that is alive
     */
    void ask(
            SimulatedCluster from,
            SimulatedNode sender,
            String cell,
            String node,
            CellMessage message,
            Consumer<CellMessage> answer) {
        simulation.messages++;
        SimulatedCluster to = simulation.clusters.get(cell);
        Consumer<CellMessage> answerOnce = answerOnce(sender, answer);
        simulation.clock.after(TIMEOUT_SECONDS, () -> answerOnce.accept(null));
        String ownCell = from.cellDirectory.ownCellName();
        SimulatedNode receiver = receiver(to, node);
        if (receiver == null || isCut(ownCell, cell)) {
            return;
        }
        Consumer<SimulatedNode> deliver =
                present ->
                        deliver(
                                present,
                                message,
                                response -> sendBack(cell, ownCell, response, answerOnce));
        if (simulation.holdsBack.test(message)) {
            // By the time that it is delivered, any node of the cell may lead.
            simulation.heldBackDeliveries.add(
                    () -> List.copyOf(to.nodes.values()).forEach(deliver));
            simulation.heldBackMessages.add(message);
            return;
        }
        // The process that has that name on arrival gets it.
        send(message, () -> deliver.accept(to.nodes.get(receiver.name)));
    }

    private static Consumer<CellMessage> answerOnce(
            SimulatedNode sender, Consumer<CellMessage> answer) {
        boolean[] isAnswered = new boolean[1];
        return response ->
                sender.deliver(
                        () -> {
                            if (!isAnswered[0]) {
                                isAnswered[0] = true;
                                answer.accept(response);
                            }
                        });
    }

    /** The node with that name, else a random one that is alive; null if there is none. */
    private SimulatedNode receiver(SimulatedCluster cluster, String name) {
        if (name != null) {
            return cluster.nodes.get(name);
        }
        List<SimulatedNode> alive =
                cluster.nodes.values().stream().filter(node -> node.alive).toList();
        return alive.isEmpty() ? null : alive.get(random.nextInt(alive.size()));
    }

    private boolean isCut(String from, String to) {
        return simulation.cutConnections.contains(from + ">" + to);
    }

    private void send(CellMessage message, Runnable delivery) {
        if (simulation.loses.test(message) || random.nextDouble() < simulation.lossProbability) {
            return;
        }
        simulation.clock.after(ONE_WAY_SECONDS, delivery);
        if (random.nextDouble() < simulation.duplicationProbability) {
            simulation.clock.after(
                    ONE_WAY_SECONDS + MAX_DUPLICATE_DELAY_SECONDS * random.nextDouble(), delivery);
        }
        if (random.nextDouble() < simulation.delayProbability) {
            simulation.clock.after(MAX_DELAY_SECONDS * random.nextDouble(), delivery);
        }
    }

    private static void deliver(
            SimulatedNode node, CellMessage message, Consumer<CellMessage> respond) {
        node.deliver(() -> node.controller.otherCells().onMessage(message, respond));
    }

    private void sendBack(
            String from, String to, CellMessage response, Consumer<CellMessage> answer) {
        if (!isCut(from, to)
                && !(response != null && simulation.loses.test(response))
                && random.nextDouble() >= simulation.lossProbability) {
            simulation.clock.after(ONE_WAY_SECONDS, () -> answer.accept(response));
        }
    }
}
