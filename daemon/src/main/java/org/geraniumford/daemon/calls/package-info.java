/** An entry's calls of plain services that are not idempotent and must run at most once. */
package org.geraniumford.daemon.calls;
