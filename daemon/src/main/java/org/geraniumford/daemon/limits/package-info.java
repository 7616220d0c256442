/** Exchanges customers' usage and their shares of limits between the entries. */
package org.geraniumford.daemon.limits;
