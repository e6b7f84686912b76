package io.kitepath.core.model;

/**
 * A kind of machine that can be rented.
 *
 * @param machineType the name of the machine type
 * @param spot whether the machine is a spot instance; otherwise it is on demand
 */
public record MachineKind(String machineType, String zone, boolean spot) {}
