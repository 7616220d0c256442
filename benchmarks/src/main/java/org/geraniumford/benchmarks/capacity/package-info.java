/** Measures how state, messages and processor time of entries and sidecars grow with the size of the deployment. */
package org.geraniumford.benchmarks.capacity;
