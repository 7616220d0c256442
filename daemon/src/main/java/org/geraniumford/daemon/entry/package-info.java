/** The entry: callers' HTTP, routing, retries and stream assembly. */
package org.geraniumford.daemon.entry;
