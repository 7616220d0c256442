/** An entry that passes requests on as they are: the request door, the tries of each request, and shutdown. */
package org.geraniumford.daemon.gateway;
