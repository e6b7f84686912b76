/**
 * The program without its sockets: one controller node, put together from the packages below and
 * run by their loops. It knows all of them and none knows it. Everything in here happens on one
 * event loop, takes time and chance from outside, and touches no file, socket or clock of its own.
 */
package io.kitepath.core;
