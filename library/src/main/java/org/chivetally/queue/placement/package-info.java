/** Decisions of an owner under load: whether to take a job, which task comes next, and where it goes. No I/O. */
package org.chivetally.queue.placement;
