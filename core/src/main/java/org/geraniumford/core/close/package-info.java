/** Ownership of resources and their release in order. */
package org.geraniumford.core.close;
