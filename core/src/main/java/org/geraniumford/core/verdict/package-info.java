/** Outcomes of a request: the verdict, the fixed list of refusal reasons, and the refusal that carries both. */
package org.geraniumford.core.verdict;
