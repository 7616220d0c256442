/** Rollout of newly published weights to the runners of a model, under a lease with a fencing token. */
package org.geraniumford.core.weights;
