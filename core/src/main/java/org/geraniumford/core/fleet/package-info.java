/** What an entry believes of the backend servers, and the choice of one for a request. */
package org.geraniumford.core.fleet;
