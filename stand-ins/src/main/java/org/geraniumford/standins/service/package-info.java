/** The stand-in for a plain service with idempotent and other calls. */
package org.geraniumford.standins.service;
