/** HTTP/1.1 and HTTP/2 server ends, by Netty. */
package org.geraniumford.transport.http;
