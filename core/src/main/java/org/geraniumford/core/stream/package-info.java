/** Assembles one response from the frames of one or more attempts. */
package org.geraniumford.core.stream;
