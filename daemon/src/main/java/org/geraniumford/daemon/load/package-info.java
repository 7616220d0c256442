/** The load tool: seeded traffic from a scenario, its figures, and the best hit rate that the same traffic allows. */
package org.geraniumford.daemon.load;
