/** The HTTP client of the platform: tables, objects, hosts and weights. */
package org.geraniumford.transport.platform;
