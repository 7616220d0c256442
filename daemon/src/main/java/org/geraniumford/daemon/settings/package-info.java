/** Each process's own settings, read from an INI file and checked at the start. */
package org.geraniumford.daemon.settings;
