/** Links between entries: queries about jobs, keys, members and configuration, and the listener that answers them. */
package org.chivetally.entry.peer;
