/**
 * What the queue path asks of the platform's log: streams whose newest value of each key is kept, writers that fence
 * each other by epochs, and a group that deals partitions out. Outcomes are values; callbacks come on the event loop.
 */
package org.chivetally.queue.log;
