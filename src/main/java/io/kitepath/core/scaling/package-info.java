/**
 * How many machines are wanted, of which kinds, and which are given back; and the calls to the
 * cloud that see to it. It may know the block, the order of service and the store's keys. It
 * promises never to call a machine gone before the cloud has confirmed its release, and never to
 * use a rental's name for two things.
 */
package io.kitepath.core.scaling;
