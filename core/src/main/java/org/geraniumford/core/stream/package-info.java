/**
 * Assembles one response from the frames of one or more attempts, and knows at which version of its servers' software a
 * stream was begun.
 */
package org.geraniumford.core.stream;
