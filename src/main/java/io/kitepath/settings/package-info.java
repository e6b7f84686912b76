/**
 * The files that operators hand over: the settings file and the cells file, read as JSON and
 * checked once at start. What is wrong with them is said by an {@link
 * io.kitepath.core.model.InvalidInputException} with file, field and reason.
 */
package io.kitepath.settings;
