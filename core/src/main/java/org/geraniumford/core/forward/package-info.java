/** The life cycle of one forwarded request as a state machine without I/O: attempts, verdicts and the last step. */
package org.geraniumford.core.forward;
