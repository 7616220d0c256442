/** The shape of a prompt: its model, its sizes in tokens and the parts that it shares with others. */
package org.geraniumford.core.prompt;
