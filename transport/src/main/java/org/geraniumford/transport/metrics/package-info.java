/** Counters that every daemon exports. */
package org.geraniumford.transport.metrics;
