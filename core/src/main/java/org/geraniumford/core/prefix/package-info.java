/** Keys of shared prompt prefixes: blocks, chained digests and the scope that isolates customers and weights. */
package org.geraniumford.core.prefix;
