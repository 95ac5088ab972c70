/**
 * The entry: accepts jobs, stores durable jobs in the log, places tasks on workers and coordinates their runs. It owns
 * the partitions of durable jobs that the platform assigns to it, and forwards requests about other partitions to the
 * entries that own these.
 */
package org.chivetally.queue.entry;
