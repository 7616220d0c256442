/** The command line. */
package org.geraniumford.daemon.command;
