/** The operators' configuration: what customers, models, priority classes and plain services exist. */
package org.geraniumford.core.configuration;
