/**
 * The prompt segments under which engines end, how often each was counted, and how long requests with them are held.
 */
package org.geraniumford.core.quarantine;
