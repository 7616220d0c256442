/** Time that several processes must agree on. */
package org.geraniumford.core.time;
