package io.kitepath.cli;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.settings.JsonCodec;
import io.kitepath.simulation.Rehearsal.Fault;
import io.kitepath.simulation.Rehearsal.Plan;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The plans of {@code kitepath rehearse}: builtin ones, and those of JSON files.
 *
 * @param cells how many cells builtin plans have
 * @param machines how many machines each of them has
 * @param loadSeconds how long jobs come in builtin plans
 */
record RehearsalPlans(int cells, int machines, double loadSeconds) {
    /** The order matters: random plans draw from it. */
    private static final List<String> FAULT_KINDS =
            List.of("network", "nodes", "store", "holder", "freeze", "zone");

    private static final int RANDOM_FAULTS = 6;

    /**
     * The builtin plan of that name, else the plan in the file of that name.
     *
     * @param seed the run's seed; a file's own seed is raised by as much as this is above 1
     * @throws InvalidInputException if the file can't be read or is no plan
     */
    Plan plan(String name, long seed) {
        return switch (name) {
            case "spill" -> new Plan(cells, machines, 0.5, 5, loadSeconds, 0, seed, List.of());
            case "lost" ->
                    new Plan(
                            cells,
                            machines,
                            0.5,
                            1,
                            loadSeconds,
                            0,
                            seed,
                            List.of(
                                    new Fault("network", 0, loadSeconds / 10, 60),
                                    new Fault("nodes", 0, loadSeconds / 10 + 90, 60),
                                    new Fault("store", 0, loadSeconds / 10 + 180, 60)));
            case "seeds" -> random(seed);
            default -> file(Path.of(name), seed);
        };
    }

    /** Random faults on a bad network. */
    private Plan random(long seed) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < RANDOM_FAULTS; i++) {
            faults.add(
                    new Fault(
                            FAULT_KINDS.get(random.nextInt(FAULT_KINDS.size())),
                            random.nextInt(cells),
                            random.nextDouble() * loadSeconds,
                            2 + 40 * random.nextDouble()));
        }
        return new Plan(
                cells, machines, 0.4, 1 + 4 * random.nextDouble(), loadSeconds, 0.1, seed, faults);
    }

    private static Plan file(Path file, long seed) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidInputException(file + ": can't be read, and is no builtin plan");
        }
        try {
            return plan(DocumentReader.of(JsonCodec.parseJson(bytes)), seed);
        } catch (InvalidInputException invalid) {
            throw new InvalidInputException(file + ": " + invalid.getMessage());
        }
    }

    private static Plan plan(DocumentReader document, long seed) {
        List<Fault> faults = new ArrayList<>();
        int cells = (int) document.integer("cells", 1, 100);
        for (DocumentReader fault : document.children("faults")) {
            faults.add(fault(fault, cells));
        }
        return new Plan(
                cells,
                (int) document.integer("machines", 1, 10_000),
                document.number("load", 0.01),
                document.numberOr("hot", 0, 1),
                document.number("for_s", 1),
                document.numberOr("bad_network", 0, 0),
                document.has("seed") ? document.count("seed") + seed - 1 : seed,
                faults);
    }

    private static Fault fault(DocumentReader document, int cells) {
        String kind = document.text("kind");
        if (!FAULT_KINDS.contains(kind)) {
            throw document.invalid("kind", "must be network, nodes, store, holder, freeze or zone");
        }
        return new Fault(
                kind,
                (int) document.integer("cell", 0, cells - 1),
                document.number("at_s", 0),
                document.number("for_s", 0));
    }
}
