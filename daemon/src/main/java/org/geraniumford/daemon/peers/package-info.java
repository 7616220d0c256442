/** What entries tell each other: their load, and what the platform's store told one of them. */
package org.geraniumford.daemon.peers;
