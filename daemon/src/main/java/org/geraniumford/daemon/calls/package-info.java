/** Calls of plain services that may not be repeated, as an entry makes them. */
package org.geraniumford.daemon.calls;
