/** The life cycle of one forwarded request as a state machine without I/O: its attempts and its outcome. */
package org.geraniumford.core.forward;
