/** Ownership and orderly release of resources. */
package org.geraniumford.core.close;
