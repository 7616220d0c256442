/** Decides whether and when a request is tried again. */
package org.geraniumford.core.retry;
