/** Limits of customers that hold over all entries, without a write to the platform for each request. */
package org.geraniumford.core.limits;
