/**
 * Jobs that a process runs through itself, in memory and in time of their own, before callers come. The code that the
 * first callers meet is then compiled, and all that is set up at a first use is set up.
 */
package org.chivetally.queue.warmup;
