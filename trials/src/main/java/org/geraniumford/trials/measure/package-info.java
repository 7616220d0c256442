/** Compares routing policies on the same seeded arrivals, with every role in its own process. */
package org.geraniumford.trials.measure;
