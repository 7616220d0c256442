/** The stand-in for the platform: tables, objects, weights and the list of hosts. */
package org.geraniumford.standins.platform;
