/** The HTTP interface for operators: health, readiness, metrics, status, explanations and draining. */
package org.geraniumford.daemon.operator;
