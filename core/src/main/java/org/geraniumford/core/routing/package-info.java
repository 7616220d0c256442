/** The choice of the host for each attempt of a model request. */
package org.geraniumford.core.routing;
