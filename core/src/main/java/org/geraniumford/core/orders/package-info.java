/** Orders to engines: which model version a runner should hold, and when it is safe to order it. */
package org.geraniumford.core.orders;
