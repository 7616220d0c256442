/** HTTP/1.1 towards callers and backend servers for requests that are passed on as they are. */
package org.geraniumford.transport.forward;
