/** Claims on idempotency keys, which ensure that calls that are not idempotent run at most once. */
package org.geraniumford.core.idempotency;
