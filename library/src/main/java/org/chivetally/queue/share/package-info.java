/** Division of a service's processors among queues that together ask for more than there is. No I/O. */
package org.chivetally.queue.share;
