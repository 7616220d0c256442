/** A JMH benchmark of computing block keys, and an experiment that compares the gap policies of the cache index. */
package org.geraniumford.benchmarks;
