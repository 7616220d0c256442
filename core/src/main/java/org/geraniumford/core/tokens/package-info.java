/** The registry by which a sidecar uses each attempt token at most once. */
package org.geraniumford.core.tokens;
