/** Gossip between entries: their load, and state that one of them read from the platform's store. */
package org.geraniumford.daemon.peers;
