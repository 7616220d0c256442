/** Bringing the runners of a model to newly named weights, under a lease with a fencing token. */
package org.geraniumford.core.weights;
