/** Rolls out to the engines of a deployment the weights that the operator publishes. */
package org.geraniumford.daemon.weights;
