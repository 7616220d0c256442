/** Compares routing policies on the same seeded arrivals, with every daemon and stand-in in its own process. */
package org.geraniumford.trials.measure;
