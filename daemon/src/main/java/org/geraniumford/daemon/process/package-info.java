/** The processes that the command line starts: a daemon with its operator port. */
package org.geraniumford.daemon.process;
