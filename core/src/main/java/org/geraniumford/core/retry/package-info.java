/** Decides whether and when a request is retried. */
package org.geraniumford.core.retry;
