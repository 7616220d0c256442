/** Runs whole deployments as separate processes on loopback: the demo, failure tests and measurements. */
package org.geraniumford.trials;
