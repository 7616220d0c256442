/** Small processes that take the place of the outside systems in tests, in the demo and in measurements. */
package org.geraniumford.standins;
