/** The messages between entries, sidecars and operators' commands. The transport module encodes them. */
package org.geraniumford.core.wire;
