/** The backend servers with their state as estimated by an entry, and the choice of a server for each request. */
package org.geraniumford.core.fleet;
