package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Machine;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Finds machines for a job's tasks, one call after the other, in stages: each stage is a set of
 * candidates that is exhausted before the next one is tried, for example machines that have the
 * image before machines that have to fetch it (docs/design.md, "Images").
 *
 * <p>The candidates and their scan order are worked out once per search, not once per task of a
 * large array. The order stays valid because the tasks are alike: a machine that gets one becomes
 * fuller still, and one without room stays so.
 */
final class MachineSearch {
    /**
     * Machines that have the image suffice if their slots are this many times the job's tasks: then
     * the job waits for those machines instead of fetching the image elsewhere.
     */
    private static final double IMAGE_SLOTS_FACTOR = 4;

    private final ProbePlacement placement;
    private final JobSpec spec;
    private final List<Machine> candidates;

    /** Whether machines without the image may be left out where enough others have it. */
    private final boolean mayWaitForImage;

    /** Which candidates come first, which after those, and so on. */
    private final List<Predicate<Machine>> stages = new ArrayList<>();

    private int nextStage;

    /** Whether the stages for machines without the image have still to be added. */
    private boolean stagesWithoutImagePending;

    private boolean slotsWithImageCounted;
    private boolean enoughSlotsWithImage;

    /**
     * The candidates that had room for a task when the search began; room only shrinks during a
     * search. Empty until the first call.
     */
    private Optional<List<Machine>> machinesWithRoom = Optional.empty();

    /**
     * The search in the present stage; empty between stages. Room only shrinks during a search, so
     * a stage that found nothing is finished.
     */
    private Optional<StageSearch> stageSearch = Optional.empty();

    MachineSearch(
            ProbePlacement placement,
            JobSpec spec,
            List<Machine> candidates,
            boolean mayWaitForImage) {
        this.placement = placement;
        this.spec = spec;
        this.candidates = candidates;
        this.mayWaitForImage = mayWaitForImage;
        if (!spec.allowsSpot()) {
            if (fillsWholeMachine()) {
                stages.add(this::hasImage);
            }
            stages.add(machine -> true);
            return;
        }
        // Work that may use spot machines leaves the others to work that may not; but with a
        // deadline there is no time to fetch an image on a spot machine while another machine
        // already has it.
        stages.add(machine -> machine.isSpot() && hasImage(machine));
        if (spec.deadlineSeconds() != null) {
            stages.add(this::hasImage);
        }
        stagesWithoutImagePending = true;
    }

    /**
     * The machine for the next task, or empty if there is none now. The caller has to place the
     * task before it asks for the next machine.
     */
    Optional<Machine> nextMachine() {
        if (machinesWithRoom.isEmpty()) {
            machinesWithRoom =
                    Optional.of(
                            candidates.stream()
                                    .filter(machine -> placement.hasRoom(machine, spec))
                                    .toList());
        }
        while (stageSearch.isPresent() || beginNextStage()) {
            Optional<Machine> machine = stageSearch.flatMap(StageSearch::nextMachine);
            if (machine.isPresent()) {
                return machine;
            }
            stageSearch = Optional.empty();
        }
        return Optional.empty();
    }

    /** Begins the next stage in which a machine has room; false if none is left. */
    private boolean beginNextStage() {
        while (nextStage < stages.size() || stagesWithoutImagePending) {
            if (nextStage == stages.size()) {
                addStagesWithoutImage();
                continue;
            }
            Predicate<Machine> stage = stages.get(nextStage++);
            // Without room, probes would miss and a scan would find nothing.
            if (machinesWithRoom.orElseThrow().stream().anyMatch(stage)) {
                List<Machine> ofStage = candidates.stream().filter(stage).toList();
                stageSearch = Optional.of(new StageSearch(placement, spec, ofStage));
                return true;
            }
        }
        return false;
    }

    /** Adds the stages that follow once the machines that have the image are full. */
    private void addStagesWithoutImage() {
        stagesWithoutImagePending = false;
        if (!hasEnoughSlotsWithImage()) {
            addFetchStages(Machine::isSpot);
        }
        if (spec.deadlineSeconds() == null) {
            stages.add(this::hasImage);
        }
        if (!hasEnoughSlotsWithImage()) {
            addFetchStages(machine -> true);
        } else {
            // Where half a machine is free, one fetch serves many tasks, and nothing is left idle.
            stages.add(
                    machine ->
                            2 * machine.usedCpus() <= placement.typeOf(machine).cpus()
                                    && (machine.isFetching(spec.image()) || !machine.isFetching()));
        }
    }

    /**
     * Adds stages for machines that lack the image: those that already fetch it, then those that
     * fetch nothing, then the rest, since concurrent fetches may share a machine's bandwidth.
     */
    private void addFetchStages(Predicate<Machine> among) {
        stages.add(machine -> among.test(machine) && machine.isFetching(spec.image()));
        stages.add(machine -> among.test(machine) && !machine.isFetching());
        stages.add(among);
    }

    private boolean hasImage(Machine machine) {
        return machine.hasImage(spec.image());
    }

    /**
     * Whether so many machines have or fetch the image that room on them comes free sooner than
     * another machine would have fetched it. Guards against arrays whose last tasks wait for an
     * image on a machine that fetches three others, while tasks like them end every second on
     * machines that have the image.
     */
    private boolean hasEnoughSlotsWithImage() {
        if (!slotsWithImageCounted) {
            slotsWithImageCounted = true;
            enoughSlotsWithImage =
                    mayWaitForImage
                            && countSlotsWithImage() >= IMAGE_SLOTS_FACTOR * spec.taskCount();
        }
        return enoughSlotsWithImage;
    }

    /** Slots on machines that have or fetch the image; stops counting once they suffice. */
    private double countSlotsWithImage() {
        double slots = 0;
        for (Machine machine : candidates) {
            if (hasImage(machine) || machine.isFetching(spec.image())) {
                MachineType type = placement.typeOf(machine);
                slots +=
                        ProbePlacement.maxSlots(
                                spec,
                                type.cpus() - machine.nonSpotCpus(),
                                type.gpus(),
                                type.memoryGigabytes());
            }
            if (slots >= IMAGE_SLOTS_FACTOR * spec.taskCount()) {
                break;
            }
        }
        return slots;
    }

    /**
     * Whether the search leaves the machine out, even if it had room, as enough others have the
     * image.
     */
    boolean leavesOut(Machine machine) {
        return spec.allowsSpot() && !hasImage(machine) && hasEnoughSlotsWithImage();
    }

    /**
     * Whether the search, which has found all that it finds, left out a machine with room only
     * because others have the image.
     */
    boolean isWaitingForImage() {
        return enoughSlotsWithImage
                && machinesWithRoom.orElse(List.of()).stream()
                        .anyMatch(machine -> placement.hasRoom(machine, spec));
    }

    /**
     * Whether no machine type holds two of the tasks. Only such non-spot work looks for its image
     * first; smaller work packs, and is not spread over empty machines for the sake of its image.
     */
    private boolean fillsWholeMachine() {
        return placement.types().values().stream()
                .allMatch(type -> ProbePlacement.slots(spec, type) < 2);
    }

    /** The same search among those of the candidates, begun anew. */
    MachineSearch restrictedTo(Predicate<Machine> among) {
        return new MachineSearch(
                placement, spec, candidates.stream().filter(among).toList(), mayWaitForImage);
    }
}
