/** HTTP/1.1 servers and clients with which requests and responses are forwarded between callers and backend servers. */
package org.geraniumford.transport.forward;
