/** The demo: starts a small deployment, sends requests and checks the responses. */
package org.geraniumford.trials.demo;
