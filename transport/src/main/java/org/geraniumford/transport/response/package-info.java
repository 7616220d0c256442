/** The strict reading of servers' responses, for every HTTP client of the router. */
package org.geraniumford.transport.response;
