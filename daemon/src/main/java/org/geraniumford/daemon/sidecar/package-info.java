/** The sidecar: the only way to one backend server. */
package org.geraniumford.daemon.sidecar;
