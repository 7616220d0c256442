/** Compares routing policies on the same seeded arrivals, on real processes. */
package org.geraniumford.trials.measure;
