/** Claims, which make calls that are not idempotent run at most once. */
package org.geraniumford.core.idempotency;
