/** Orders to engines: the model version that each runner should load, and when it is safe to order it. */
package org.geraniumford.core.orders;
