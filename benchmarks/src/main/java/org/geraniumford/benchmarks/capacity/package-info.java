/** Measures how each role's state, messages and processor time grow with the size of the deployment. */
package org.geraniumford.benchmarks.capacity;
