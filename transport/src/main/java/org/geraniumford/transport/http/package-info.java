/** The server side of HTTP/1.1 and HTTP/2, based on Netty. */
package org.geraniumford.transport.http;
