package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Machine;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Finds machines for a job's tasks, one per call, in stages. Each stage is a set of candidates that
 * is exhausted before the next stage begins: for example, machines that have the image come before
 * machines that have to fetch it (docs/design.md, "Images").
 *
 * <p>The candidates and their scan order are computed once per search, not once per task of a large
 * array. The order stays valid because the tasks are alike: a machine that receives a task has less
 * free capacity, and a machine without capacity stays without it.
 */
final class MachineSearch {
    /**
     * The job waits for machines that have the image, instead of fetching it elsewhere, if those
     * machines have at least this many slots per task of the job.
     */
    private static final double MIN_IMAGE_SLOTS_PER_TASK = 4;

    private final ProbePlacement placement;
    private final JobSpec spec;
    private final List<Machine> candidates;

    /** Whether machines without the image may be left out if enough others have it. */
    private final boolean mayWaitForImage;

    /** The conditions that select the candidates of each stage, in the order of the stages. */
    private final List<Predicate<Machine>> stages = new ArrayList<>();

    private int nextStage;

    /** Whether the stages for machines without the image have not been added yet. */
    private boolean stagesWithoutImagePending;

    private boolean slotsWithImageCounted;
    private boolean enoughSlotsWithImage;

    /**
     * The candidates that had capacity for a task when the search began; capacity only shrinks
     * during a search. Empty until the first call of {@link #nextMachine}.
     */
    private Optional<List<Machine>> machinesWithCapacity = Optional.empty();

    /**
     * The search in the current stage; empty between stages. Capacity only shrinks during a search,
     * so a stage that found nothing is exhausted.
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
        // Work that may use spot machines leaves the other machines to work that may not. A job
        // with a deadline, however, has no time to fetch an image on a spot machine while another
        // machine already has it.
        stages.add(machine -> machine.isSpot() && hasImage(machine));
        if (spec.deadlineSeconds() != null) {
            stages.add(this::hasImage);
        }
        stagesWithoutImagePending = true;
    }

    /**
     * Returns the machine for the next task, or empty if there is none now. The caller has to place
     * the task before it requests the next machine.
     */
    Optional<Machine> nextMachine() {
        if (machinesWithCapacity.isEmpty()) {
            machinesWithCapacity =
                    Optional.of(
                            candidates.stream()
                                    .filter(machine -> placement.hasCapacity(machine, spec))
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

    /**
     * Begins the next stage in which a machine has free capacity; returns false if there is none.
     */
    private boolean beginNextStage() {
        while (nextStage < stages.size() || stagesWithoutImagePending) {
            if (nextStage == stages.size()) {
                addStagesWithoutImage();
                continue;
            }
            Predicate<Machine> stage = stages.get(nextStage++);
            // Without free capacity, probes would fail and a scan would find nothing.
            if (machinesWithCapacity.orElseThrow().stream().anyMatch(stage)) {
                List<Machine> stageCandidates = candidates.stream().filter(stage).toList();
                stageSearch = Optional.of(new StageSearch(placement, spec, stageCandidates));
                return true;
            }
        }
        return false;
    }

    /** Adds the stages that follow when the machines that have the image are full. */
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
            // Where at least half of a machine is free, one fetch serves many tasks, and the
            // machine is not left idle.
            stages.add(
                    machine ->
                            2 * machine.usedCpus() <= placement.typeOf(machine).cpus()
                                    && (machine.isFetching(spec.image()) || !machine.isFetching()));
        }
    }

    /**
     * Adds stages for machines without the image: first those that already fetch it, then those
     * that fetch nothing, then the rest, because concurrent fetches may share a machine's
     * bandwidth.
     */
    private void addFetchStages(Predicate<Machine> condition) {
        stages.add(machine -> condition.test(machine) && machine.isFetching(spec.image()));
        stages.add(machine -> condition.test(machine) && !machine.isFetching());
        stages.add(condition);
    }

    private boolean hasImage(Machine machine) {
        return machine.hasImage(spec.image());
    }

    /**
     * Whether enough machines have or fetch the image that capacity on them is freed sooner than
     * another machine could fetch it. Guards against arrays whose last tasks wait for an image on a
     * machine that fetches three others, while similar tasks end every second on machines that have
     * the image.
     */
    private boolean hasEnoughSlotsWithImage() {
        if (!slotsWithImageCounted) {
            slotsWithImageCounted = true;
            enoughSlotsWithImage =
                    mayWaitForImage
                            && countSlotsWithImage() >= MIN_IMAGE_SLOTS_PER_TASK * spec.taskCount();
        }
        return enoughSlotsWithImage;
    }

    /**
     * Counts the slots on machines that have or fetch the image; stops counting once they suffice.
     */
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
            if (slots >= MIN_IMAGE_SLOTS_PER_TASK * spec.taskCount()) {
                break;
            }
        }
        return slots;
    }

    /**
     * Whether the search leaves the machine out, even if it has free capacity, because enough
     * others have the image.
     */
    boolean leavesOut(Machine machine) {
        return spec.allowsSpot() && !hasImage(machine) && hasEnoughSlotsWithImage();
    }

    /**
     * Whether the search, after it is exhausted, has left out a machine with free capacity only
     * because other machines have the image.
     */
    boolean isWaitingForImage() {
        return enoughSlotsWithImage
                && machinesWithCapacity.orElse(List.of()).stream()
                        .anyMatch(machine -> placement.hasCapacity(machine, spec));
    }

    /**
     * Whether no machine type holds two of the tasks. Only such non-spot work prefers machines that
     * have its image; smaller work is packed, and is not spread over empty machines for its image.
     */
    private boolean fillsWholeMachine() {
        return placement.types().values().stream()
                .allMatch(type -> ProbePlacement.slots(spec, type) < 2);
    }

    /**
     * Returns a new search, starting at the first stage, among the candidates that match the
     * condition.
     */
    MachineSearch restrictedTo(Predicate<Machine> condition) {
        return new MachineSearch(
                placement, spec, candidates.stream().filter(condition).toList(), mayWaitForImage);
    }
}
