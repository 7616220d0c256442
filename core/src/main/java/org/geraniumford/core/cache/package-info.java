/** The index of one engine's prefix cache, maintained from the engine's cache events. */
package org.geraniumford.core.cache;
