/** A caller of the router: sends requests and checks that answers are whole and in order. */
package org.geraniumford.trials.caller;
