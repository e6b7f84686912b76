package io.kitepath.core.model;

/** One kind of machine to rent: a type, in a zone, as a spot or an ordinary one. */
public record MachineKind(String machineType, String zone, boolean spot) {}
