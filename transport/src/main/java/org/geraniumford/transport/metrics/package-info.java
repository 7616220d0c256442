/** Counters that every daemon has. */
package org.geraniumford.transport.metrics;
