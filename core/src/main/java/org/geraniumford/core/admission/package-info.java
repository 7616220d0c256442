/** Which request a sidecar passes to its engine next, and which it refuses. */
package org.geraniumford.core.admission;
