/** The interface to the platform's table service and object store. */
package org.geraniumford.core.store;
