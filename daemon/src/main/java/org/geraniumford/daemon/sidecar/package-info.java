/** The sidecar: the only process that sends requests to one backend server. */
package org.geraniumford.daemon.sidecar;
