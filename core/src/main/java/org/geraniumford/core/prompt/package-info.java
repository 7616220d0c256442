/** The description of a prompt: its model, its size in tokens, and the segments that it shares with other prompts. */
package org.geraniumford.core.prompt;
