/**
 * The gateway of an entry, which forwards requests unchanged: admission, the attempts of each request, and shutdown.
 */
package org.geraniumford.daemon.gateway;
