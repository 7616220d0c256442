/** Ownership of resources, which are closed in the reverse of the order in which they were added. */
package org.geraniumford.core.close;
