/**
 * Finds out at which version of its servers' software a stream was begun that a caller takes up again, also after all
 * entries have ended.
 */
package org.geraniumford.daemon.streams;
