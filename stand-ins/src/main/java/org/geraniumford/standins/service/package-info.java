/** The stand-in for a plain service with idempotent calls and calls that are not idempotent. */
package org.geraniumford.standins.service;
