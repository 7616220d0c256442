/** Rollout of newly published weights to the engines that serve a model, under a lease with a fencing token. */
package org.geraniumford.core.weights;
