/** The life cycle of one model request at an entry, as a state machine without I/O. */
package org.geraniumford.core.request;
