/** The settings of each process, read from an INI file and validated at the start. */
package org.geraniumford.daemon.settings;
