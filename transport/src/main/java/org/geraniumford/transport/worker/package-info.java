/** A thread for each duty, fed by a bounded ring. */
package org.geraniumford.transport.worker;
