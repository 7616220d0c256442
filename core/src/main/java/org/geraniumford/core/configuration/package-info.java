/** The operators' configuration of customers, models, priority classes and plain services, and its propagation. */
package org.geraniumford.core.configuration;
