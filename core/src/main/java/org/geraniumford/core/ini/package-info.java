/** INI text as entries that know their lines, with every problem reported by file, line and key. */
package org.geraniumford.core.ini;
