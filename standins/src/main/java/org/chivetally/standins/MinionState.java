package org.chivetally.standins;

/**
 * State as a minion reports it.
 *
 * @param freeSlots tasks that it could start now
 * @param running tasks that it runs now
 * @param draining whether it is leaving and wants no new work; it still runs what it gets, and records it
 * @param healthy whether it says that it works
 * @param overruns tasks refused because slots or connections were exceeded
 * @param drainingSinceNanos reading of the monotonic clock when draining began; null while it is not draining
 */
public record MinionState(
        int freeSlots, int running, boolean draining, boolean healthy, long overruns, Long drainingSinceNanos) {}
