/** How a process learns of configurations, and how an operator publishes one. */
package org.geraniumford.daemon.configuration;
