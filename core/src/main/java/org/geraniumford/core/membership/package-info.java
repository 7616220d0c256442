/** The hosts of the system and what is known of them. */
package org.geraniumford.core.membership;
