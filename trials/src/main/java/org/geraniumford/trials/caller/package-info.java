/** An HTTP client of the router that records how each response begins and ends. */
package org.geraniumford.trials.caller;
