/** Keys of shared prompt prefixes: pieces, chained digests and the scope that isolates customers and weights. */
package org.geraniumford.core.prefix;
