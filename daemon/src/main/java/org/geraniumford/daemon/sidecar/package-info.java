/** The sidecar process: runs in front of one backend server, and is the only process that sends requests to it. */
package org.geraniumford.daemon.sidecar;
