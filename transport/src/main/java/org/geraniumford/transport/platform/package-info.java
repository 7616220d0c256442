/** The HTTP client of the platform, for tables, objects, hosts and weights. */
package org.geraniumford.transport.platform;
