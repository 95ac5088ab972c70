/** Fair shares of a service's processors for queues that together demand more than there is. No I/O. */
package org.chivetally.queue.share;
