/** An entry's state of the backend servers, and the choice of a server for each request. */
package org.geraniumford.core.fleet;
