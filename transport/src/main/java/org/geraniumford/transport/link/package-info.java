/** The connections between the router's processes: TCP frames that hold MessagePack arrays. */
package org.geraniumford.transport.link;
