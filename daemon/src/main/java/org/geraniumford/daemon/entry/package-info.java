/** The entry process: HTTP for callers, authentication, routing, retries and stream assembly. */
package org.geraniumford.daemon.entry;
