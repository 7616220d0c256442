/** The life of one forwarded request as a state machine without I/O: tries, verdicts and the final answer. */
package org.geraniumford.core.forward;
