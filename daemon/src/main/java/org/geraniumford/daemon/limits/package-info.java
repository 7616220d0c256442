/** Exchanges customers' usage and shares between the entries. */
package org.geraniumford.daemon.limits;
