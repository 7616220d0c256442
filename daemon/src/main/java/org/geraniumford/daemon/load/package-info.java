/** The load tool: seeded traffic from a scenario, its measurement, and the best result that the same traffic allows. */
package org.geraniumford.daemon.load;
