/**
 * The files provided by operators: the settings file and the cells file, read as JSON and checked
 * once at start. An {@link io.kitepath.core.model.InvalidInputException} reports invalid input with
 * file, field and reason.
 */
package io.kitepath.settings;
