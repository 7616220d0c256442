/** The admission queue of a sidecar: which request it forwards to its engine next, and which it refuses. */
package org.geraniumford.core.admission;
