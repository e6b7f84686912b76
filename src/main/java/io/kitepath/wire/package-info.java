/**
 * The protocol between a controller node and its neighbours, in bytes: one codec for each neighbour
 * (users, workers, cloud, state service), {@link io.kitepath.wire.SharedCodec} for what several of
 * them have, and {@link io.kitepath.wire.EmulatorCodec} for the other side of the conversation.
 *
 * <p>The protocol's own names for things appear in this package only; the rest of the code has the
 * types of {@code core.model} and {@code core.port}. All classes are stateless and safe for use by
 * several threads. Bodies that do not keep to the protocol are refused by an {@link
 * io.kitepath.core.model.InvalidInputException} that names the field.
 */
package io.kitepath.wire;
