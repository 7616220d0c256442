/** A deployment of daemons and stand-ins as separate processes on loopback. */
package org.geraniumford.trials.deployment;
