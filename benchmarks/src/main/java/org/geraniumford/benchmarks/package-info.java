/** JMH benchmarks of the routing decision, and an experiment that compares the gap policies of the cache index. */
package org.geraniumford.benchmarks;
