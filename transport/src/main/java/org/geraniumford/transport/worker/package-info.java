/** Workers: threads with one kind of work each, fed by a bounded ring buffer. */
package org.geraniumford.transport.worker;
