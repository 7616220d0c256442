/** Outcomes of a request: the verdict, the fixed list of refusal reasons, and the failure that carries both. */
package org.geraniumford.core.verdict;
