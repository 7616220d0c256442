/** The memory by which a sidecar passes each attempt token at most once. */
package org.geraniumford.core.tokens;
