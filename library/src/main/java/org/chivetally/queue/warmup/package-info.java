/**
 * Warm-up of a process by synthetic jobs, in memory and in virtual time, before the first requests arrive. Afterwards,
 * the code on the path of a request is compiled, and its lazy initializations have run.
 */
package org.chivetally.queue.warmup;
