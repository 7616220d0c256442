/** Benchmarks of the decision path, run by JMH. */
package org.geraniumford.benchmarks;
