/** Whole processes: a daemon with its operator port, as the command line starts them. */
package org.geraniumford.daemon.process;
