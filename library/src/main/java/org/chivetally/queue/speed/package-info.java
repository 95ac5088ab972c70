/** Speeds of workers, learned from the durations of their runs. No I/O; the time is an argument. */
package org.chivetally.queue.speed;
