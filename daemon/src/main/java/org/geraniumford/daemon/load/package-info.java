/** The load tool: seeded traffic from a scenario, its figures, and a reference hit rate for the same traffic. */
package org.geraniumford.daemon.load;
