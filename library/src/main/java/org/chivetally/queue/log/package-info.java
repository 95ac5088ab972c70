/**
 * Access of the queues to the platform log: streams that retain the newest value of each key, writers that are fenced
 * by epochs, and a group whose members are assigned partitions. Outcomes are values; callbacks run on the event loop.
 */
package org.chivetally.queue.log;
