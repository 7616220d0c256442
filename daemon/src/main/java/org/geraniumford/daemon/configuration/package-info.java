/** The propagation of configurations to processes, and their publication by operators. */
package org.geraniumford.daemon.configuration;
