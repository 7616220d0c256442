/** The hosts of the system and their states. */
package org.geraniumford.core.membership;
