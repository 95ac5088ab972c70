/** Frames between entries: questions for outcomes, and the listener that answers them. */
package org.chivetally.entry.peer;
