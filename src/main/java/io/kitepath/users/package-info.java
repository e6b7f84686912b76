/**
 * The HTTP interface to users. It decodes requests, leaves them to the core, and encodes what it
 * answers.
 */
package io.kitepath.users;
