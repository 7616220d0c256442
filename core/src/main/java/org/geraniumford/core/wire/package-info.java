/** The messages between entries and sidecars. How they are encoded is the transport's business. */
package org.geraniumford.core.wire;
