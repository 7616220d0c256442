/** Brings the engines of an installation to the weights that the operator names. */
package org.geraniumford.daemon.weights;
