/** Starts, restarts and stops deployments of daemons and stand-ins as separate processes on loopback. */
package org.geraniumford.trials.deployment;
