/** Log lines of key=value pairs, one line for each event. */
package org.geraniumford.transport.log;
