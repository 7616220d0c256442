/** The index of one engine's prefix cache, kept from its events. */
package org.geraniumford.core.cache;
