/** Code shared by the stand-ins: the server with one thread, JSON bodies and routes. */
package org.geraniumford.standins.http;
