/** The platform's table service and object store, as the router's decisions see them. */
package org.geraniumford.core.store;
