/** The demonstration: a small deployment, some requests, and checks of what they show. */
package org.geraniumford.trials.demo;
