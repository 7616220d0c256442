/** Parsing of INI files into entries with line numbers. Problems are reported by file, line and key. */
package org.geraniumford.core.ini;
