/** Links: the connections between the router's processes, over TCP, with frames that hold MessagePack values. */
package org.geraniumford.transport.link;
