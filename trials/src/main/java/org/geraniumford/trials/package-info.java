/** Runs whole deployments as separate processes on loopback, for the demo, failure tests and measurements. */
package org.geraniumford.trials;
