/**
 * The command line: the subcommands that start daemons, inspect and drain processes, publish configurations and send
 * load.
 */
package org.geraniumford.daemon.command;
