package io.kitepath.core.model;

/**
 * One kind of machine that can be rented.
 *
 * @param machineType name of the type
 * @param spot as a spot instance; otherwise on demand
 */
public record MachineKind(String machineType, String zone, boolean spot) {}
