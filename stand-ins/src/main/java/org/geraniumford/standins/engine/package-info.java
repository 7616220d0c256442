/** The stand-in for a model engine: prefix cache, continuous batching, cache events and orders. */
package org.geraniumford.standins.engine;
