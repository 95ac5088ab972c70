package org.chivetally.standins;

/**
 * State that a minion reports.
 *
 * @param freeSlots number of tasks that it can start now
 * @param running number of tasks that are running
 * @param draining whether it is draining and expects no new tasks; it still runs and records any that it receives
 * @param healthy whether it reports itself as healthy
 * @param overruns number of tasks refused because the limit of slots or of connections was exceeded
 * @param drainingSinceNanos reading of the monotonic clock when draining began, in nanoseconds; null if it isn't
 *     draining
 */
public record MinionState(
        int freeSlots, int running, boolean draining, boolean healthy, long overruns, Long drainingSinceNanos) {}
