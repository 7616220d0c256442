/** A model engine: prefix cache, continuous batching, cache events, orders. */
package org.geraniumford.standins.engine;
