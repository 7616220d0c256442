/** Encodings of free text, such as names that others choose, for places that cannot carry every character. */
package org.geraniumford.core.text;
