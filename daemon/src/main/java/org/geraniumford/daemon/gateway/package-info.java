/**
 * The gateway of an entry, which forwards requests with unchanged bodies: admission, the attempts of each request, and
 * shutdown.
 */
package org.geraniumford.daemon.gateway;
