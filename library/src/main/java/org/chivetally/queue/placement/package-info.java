/** Decisions of an entry under load: whether to accept a job, which task is next and which worker runs it. No I/O. */
package org.chivetally.queue.placement;
