/**
 * Rolls out newly published weights to the engines that have no sidecar: the entries send the orders. A sidecar orders
 * its own engine, see {@code OrderController} in {@code org.geraniumford.daemon.sidecar}.
 */
package org.geraniumford.daemon.weights;
