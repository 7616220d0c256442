/** Stand-ins for the external systems, used in tests, in the demo and in measurements. */
package org.geraniumford.standins;
